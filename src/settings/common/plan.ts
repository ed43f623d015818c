/** Reads declarations and computes how they differ from the settings in force. */
import type {InputProblem} from '../../base/common/errors.js';
import {checkDocument, readJsonc} from '../../base/common/jsonc.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import type {ChangeRequest, PlannedEdit} from './change.js';
import {flattenDeclaration, keysOf} from './node-path.js';
import {declarationSchema, type NodeFields} from './schema.js';
import {SettingsTree, type SettingsNode} from './settings-tree.js';
import {checkTree} from './validate.js';

/**
Parses and validates a declaration.
@param bytes - the text of the declaration.
@param source - name of the declaration for problem reports, such as its file name.
@returns the nodes by path, or all problems, each with its position in the text.
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

	const nodes = flattenDeclaration(declaration.value);
	const tree = SettingsTree.create();
	tree.restore({revision: 1, nodes: [...nodes].map(([path, fields]) => ({path, fields, revision: 1}))});
	const problems = checkTree(tree).map(problem => ({
		...problem, place: document.value.locationOf(keysOf(problem.place.path ?? '')),
	}));
	return problems.length > 0 ? fail(problems) : ok(nodes);
}

/**
Computes the edits that turn the settings in force into a declaration.
@param wanted - nodes of the declaration, by path.
@param current - nodes in force, by path.
@returns the edits, ordered by path.
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
Creates one change request from the edits of a plan.
@param edits - the plan.
@param changeId - the id under which the change takes effect at most once.
@param reason - the reason for the change, for the audit trail.
@returns the change request.
*/
export function toChangeRequest(edits: readonly PlannedEdit[], changeId: string, reason: string): ChangeRequest {
	return {
		changeId,
		reason,
		edits: edits.map(({path, baseRevision, after}) => ({path, baseRevision, ...(after && {after})})),
	};
}

/**
Compares two JSON values, ignoring the order of object keys.
@param left - a value.
@param right - the value to compare it with.
@returns whether they are equal.
*/
export function isSameValue(left: unknown, right: unknown): boolean {
	return canonicalJson(left) === canonicalJson(right);
}

function canonicalJson(value: unknown): string {
	return JSON.stringify(value, (_key, inner: unknown) => {
		if (typeof inner !== 'object' || inner === null || Array.isArray(inner)) {
			return inner;
		}

		return Object.fromEntries(Object.entries(inner).toSorted(([a], [b]) => (a < b ? -1 : 1)));
	});
}
