/** Validation of single nodes and of complete settings trees. */
import type {InputProblem} from '../../base/common/errors.js';
import {kindOfPath} from './node-path.js';
import {nodeSchemas, type NodeFields} from './schema.js';
import type {SettingsTree} from './settings-tree.js';

const source = 'settings';
const workspacesPrefix = '/workspaces/';

function problemAt(code: string, path: string, message: string): InputProblem {
	return {code, message, place: {source, path}};
}

/**
Validates one node against the schema of its kind, without regard to other nodes.
@param path - the node's path.
@param fields - the node's own fields.
@returns the problems found.
*/
export function checkNode(path: string, fields: NodeFields): InputProblem[] {
	const kind = kindOfPath(path);
	if (!kind) {
		return [problemAt('unknownPath', path, 'no such place in the tree')];
	}

	const parsed = nodeSchemas[kind].safeParse(fields);
	if (parsed.success) {
		return [];
	}

	return parsed.error.issues.map(issue => issue.code === 'unrecognized_keys'
		? problemAt('unknownField', path, `unknown field "${issue.keys.join('", "')}"`)
		: problemAt('badValue', `${path}/${issue.path.join('/')}`, issue.message));
}

/**
Checks that the stages, pools, models and parents that nodes refer to exist.
@param tree - the complete tree, with the edits applied.
@param editedPaths - paths that changed, if the rest was checked before; if omitted, all nodes are checked.
@returns the problems found.
*/
export function checkTree(tree: SettingsTree, editedPaths?: readonly string[]): InputProblem[] {
	const problems: InputProblem[] = [];
	for (const path of editedPaths ? affectedPaths(tree, editedPaths) : tree.paths) {
		problems.push(...checkParent(tree, path));
		const kind = kindOfPath(path);
		if (kind === 'pipeline') {
			problems.push(...checkPipeline(tree, path));
		} else if (kind === 'service') {
			problems.push(...checkPoolReference(tree, path, 'service'));
		}
	}

	return problems;
}

/** Returns the paths that edits can invalidate: an edit inside a workspace affects only that workspace, any other edit affects all nodes. */
function affectedPaths(tree: SettingsTree, editedPaths: readonly string[]): string[] {
	const workspaces = new Set(editedPaths.map(path => workspaceOf(path)));
	return workspaces.has(undefined) ? tree.paths : tree.paths.filter(path => workspaces.has(workspaceOf(path)));
}

function workspaceOf(path: string): string | undefined {
	return path.startsWith(workspacesPrefix) ? path.split('/', 3)[2] : undefined;
}

function checkParent(tree: SettingsTree, path: string): InputProblem[] {
	const parts = path.split('/');
	const parent = parts.slice(0, -2).join('/');
	const isOrphan = parts.length > 3 && !tree.get(parent);
	return isOrphan ? [problemAt('noParent', path, `"${parent}" does not exist`)] : [];
}

function checkPipeline(tree: SettingsTree, path: string): InputProblem[] {
	const {workspace, pipeline} = parsePipelinePath(path);
	const order = tree.stagesOf(workspace, pipeline);
	if (!order) {
		return [problemAt('noStages', path, 'neither the node nor the fleet\'s pipeline of this name has "order"')];
	}

	return order.flatMap(stage => {
		const stagePath = `${path}/stages/${stage}`;
		const kind = tree.stageKind(workspace, pipeline, stage);
		if (!kind) {
			return [problemAt('unknownStage', `${path}/order`, `stage "${stage}" has no node with a "kind"`)];
		}

		const problems = checkPoolReference(tree, stagePath, kind === 'generate' ? 'engine' : 'worker');
		if (kind === 'generate' && tree.policyAt(stagePath).model === undefined) {
			problems.push(problemAt('noModel', stagePath, 'a generating stage needs "model"'));
		}

		return problems;
	});
}

function parsePipelinePath(path: string): {workspace: string; pipeline: string} {
	const parts = path.split('/');
	return parts[1] === 'workspaces' ? {workspace: parts[2], pipeline: parts[4]} : {workspace: '', pipeline: parts[2]};
}

function checkPoolReference(tree: SettingsTree, path: string, kind: string): InputProblem[] {
	const {pool} = tree.policyAt(path);
	if (pool === undefined) {
		return [problemAt('noPool', path, 'needs "pool"')];
	}

	const poolNode = tree.pool(pool);
	if (!poolNode) {
		return [problemAt('unknownPool', path, `pool "${pool}" is not declared`)];
	}

	return poolNode.kind === kind ? [] : [problemAt('wrongPool', path, `pool "${pool}" is of kind "${poolNode.kind}", not "${kind}"`)];
}
