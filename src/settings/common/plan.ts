/** Differences between a declaration and the settings in force. */
import type {InputProblem} from '../../base/common/errors.js';
import {checkDocument, readJsonc} from '../../base/common/jsonc.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import type {ChangeRequest, PlannedEdit} from './change.js';
import {flatten, keysOf} from './node-path.js';
import {declarationSchema, type NodeFields} from './schema.js';
import {SettingsTree, type SettingsNode} from './settings-tree.js';
import {checkTree} from './validate.js';

/**
Reads and checks a declaration.
@param bytes - its text.
@param source - its name, for errors.
@returns its nodes by path, or everything wrong with it, each with its place.
*/
export function readDeclaration(bytes: Uint8Array | string, source: string): Outcome<Map<string, NodeFields>, InputProblem[]> {
	const document = readJsonc(bytes, source);
	if (!document.ok) {
		return document;
	}

	const declaration = checkDocument(document.value, declarationSchema);
	if (!declaration.ok) {
		return declaration;
	}

	const nodes = flatten(declaration.value);
	const tree = SettingsTree.create();
	tree.restore({revision: 1, nodes: [...nodes].map(([path, fields]) => ({path, fields, revision: 1}))});
	const problems = checkTree(tree).map(problem => ({
		...problem, place: document.value.locationOf(keysOf(problem.place.path ?? '')),
	}));
	return problems.length > 0 ? fail(problems) : ok(nodes);
}

/**
Compares.
@param wanted - nodes of a declaration.
@param current - nodes in force, by path.
@returns what would change, in order of paths.
*/
export function planEdits(wanted: ReadonlyMap<string, NodeFields>, current: ReadonlyMap<string, SettingsNode>): PlannedEdit[] {
	const edits: PlannedEdit[] = [];
	for (const path of new Set([...wanted.keys(), ...current.keys()])) {
		const before = current.get(path);
		const after = wanted.get(path);
		if (!before && after) {
			edits.push({
				kind: 'add', path, after, baseRevision: 0,
			});
		} else if (before && !after) {
			edits.push({
				kind: 'remove', path, before: before.fields, baseRevision: before.revision,
			});
		} else if (before && after && !isSameValue(before.fields, after)) {
			edits.push({
				kind: 'change', path, before: before.fields, after, baseRevision: before.revision,
			});
		}
	}

	return edits.toSorted((a, b) => a.path.localeCompare(b.path));
}

/**
Makes one change of a plan.
@param edits - the plan.
@param changeId - the id under which it takes effect at most once.
@param reason - why, for the audit trail.
@returns the request.
*/
export function requestOf(edits: readonly PlannedEdit[], changeId: string, reason: string): ChangeRequest {
	return {
		changeId,
		reason,
		edits: edits.map(({path, baseRevision, after}) => ({path, baseRevision, ...(after && {after})})),
	};
}

/**
Compares JSON values, whatever the order of their keys.
@param left - a value.
@param right - another.
@returns whether they are equal.
*/
export function isSameValue(left: unknown, right: unknown): boolean {
	return canonical(left) === canonical(right);
}

function canonical(value: unknown): string {
	return JSON.stringify(value, (_key, inner: unknown) => {
		if (typeof inner !== 'object' || inner === null || Array.isArray(inner)) {
			return inner;
		}

		return Object.fromEntries(Object.entries(inner).toSorted(([a], [b]) => (a < b ? -1 : 1)));
	});
}
