/** Checks of nodes, and of a tree as a whole. */
import type {InputProblem} from '../../base/common/errors.js';
import {kindOfPath} from './node-path.js';
import {nodeSchemas, type NodeFields} from './schema.js';
import type {SettingsTree} from './settings-tree.js';

const source = 'settings';
const workspacesPrefix = '/workspaces/';

function problem(code: string, path: string, message: string): InputProblem {
	return {code, message, place: {source, path}};
}

/**
Checks one node by itself.
@param path - where it stands.
@param fields - its own fields.
@returns what is wrong.
*/
export function checkNode(path: string, fields: NodeFields): InputProblem[] {
	const kind = kindOfPath(path);
	if (!kind) {
		return [problem('unknownPath', path, 'no such place in the tree')];
	}

	const parsed = nodeSchemas[kind].safeParse(fields);
	if (parsed.success) {
		return [];
	}

	return parsed.error.issues.map(issue => issue.code === 'unrecognized_keys'
		? problem('unknownField', path, `unknown field "${issue.keys.join('", "')}"`)
		: problem('badValue', `${path}/${issue.path.join('/')}`, issue.message));
}

/**
Checks that what nodes name exists: stages, pools, models, parents.
@param tree - the whole tree as it would be.
@param edited - paths that changed, where all else was checked before; nothing checks everything.
@returns what is wrong.
*/
export function checkTree(tree: SettingsTree, edited?: readonly string[]): InputProblem[] {
	const problems: InputProblem[] = [];
	for (const path of edited ? affectedPaths(tree, edited) : tree.paths) {
		problems.push(...checkParent(tree, path));
		const kind = kindOfPath(path);
		if (kind === 'pipeline') {
			problems.push(...checkPipeline(tree, path));
		} else if (kind === 'service') {
			problems.push(...checkPool(tree, path, 'service'));
		}
	}

	return problems;
}

/** A workspace's settings bear on that workspace only; what stands above bears on all. */
function affectedPaths(tree: SettingsTree, edited: readonly string[]): string[] {
	const workspaces = new Set(edited.map(path => workspaceOf(path)));
	return workspaces.has(undefined) ? tree.paths : tree.paths.filter(path => workspaces.has(workspaceOf(path)));
}

function workspaceOf(path: string): string | undefined {
	return path.startsWith(workspacesPrefix) ? path.split('/', 3)[2] : undefined;
}

function checkParent(tree: SettingsTree, path: string): InputProblem[] {
	const parts = path.split('/');
	const parent = parts.slice(0, -2).join('/');
	const isOrphan = parts.length > 3 && !tree.get(parent);
	return isOrphan ? [problem('noParent', path, `"${parent}" does not exist`)] : [];
}

function checkPipeline(tree: SettingsTree, path: string): InputProblem[] {
	const {workspace, pipeline} = namesOf(path);
	const order = tree.stagesOf(workspace, pipeline);
	if (!order) {
		return [problem('noStages', path, 'neither the node nor the fleet\'s pipeline of this name has "order"')];
	}

	return order.flatMap(stage => {
		const stagePath = `${path}/stages/${stage}`;
		const kind = tree.stageKind(workspace, pipeline, stage);
		if (!kind) {
			return [problem('unknownStage', `${path}/order`, `stage "${stage}" has no node with a "kind"`)];
		}

		const problems = checkPool(tree, stagePath, kind === 'generate' ? 'engine' : 'worker');
		if (kind === 'generate' && tree.policyAt(stagePath).model === undefined) {
			problems.push(problem('noModel', stagePath, 'a generating stage needs "model"'));
		}

		return problems;
	});
}

function namesOf(path: string): {workspace: string; pipeline: string} {
	const parts = path.split('/');
	return parts[1] === 'workspaces' ? {workspace: parts[2], pipeline: parts[4]} : {workspace: '', pipeline: parts[2]};
}

function checkPool(tree: SettingsTree, path: string, kind: string): InputProblem[] {
	const {pool} = tree.policyAt(path);
	if (pool === undefined) {
		return [problem('noPool', path, 'needs "pool"')];
	}

	const found = tree.pool(pool);
	if (!found) {
		return [problem('unknownPool', path, `pool "${pool}" is not declared`)];
	}

	return found.kind === kind ? [] : [problem('wrongPool', path, `pool "${pool}" is of kind "${found.kind}", not "${kind}"`)];
}
