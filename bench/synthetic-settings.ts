/** Synthetic settings trees of any size, for the benchmarks. */
import {flattenDeclaration} from '../src/settings/common/node-path.js';
import {SettingsTree, type SettingsSnapshot} from '../src/settings/common/settings-tree.js';

const pipelineCount = 34;

/**
Makes the settings of a fleet: 34 pipelines of four stages, and workspaces that override some of them.
@param workspaces - number of workspaces.
@returns a snapshot.
*/
export function makeSnapshot(workspaces: number): SettingsSnapshot {
	const stages = {
		encode: {kind: 'run', pool: 'encoders'},
		retrieve: {kind: 'run', pool: 'retrievers'},
		rerank: {kind: 'run', pool: 'rerankers'},
		generate: {
			kind: 'generate', pool: 'models', model: 'm', version: 'v1', maxTokens: 48,
		},
	};
	const pipelines = Object.fromEntries(Array.from({length: pipelineCount}, (_, number) => [`p${number}`, {order: Object.keys(stages), stages}]));
	const own = (number: number) => ({
		tokenHashes: ['0'.repeat(64)],
		fairShare: 1 + (number % 3),
		pipelines: {[`p${number % pipelineCount}`]: {deadlineMs: 1500, stages: {generate: {maxTokens: 64}}}},
	});
	const declaration = {
		deadlineMs: 2000,
		pools: {
			encoders: {kind: 'worker'}, retrievers: {kind: 'worker'}, rerankers: {kind: 'worker'}, models: {kind: 'engine', slots: 8},
		},
		pipelines,
		workspaces: Object.fromEntries(Array.from({length: workspaces}, (_, number) => [`w${number}`, own(number)])),
	};
	return {revision: 1, nodes: Array.from(flattenDeclaration(declaration), ([path, fields]) => ({path, fields: {...fields}, revision: 1}))};
}

/**
Makes a settings tree from the snapshot that `makeSnapshot` returns.
@param workspaces - number of workspaces.
@returns the tree.
*/
export function makeTree(workspaces: number): SettingsTree {
	const tree = SettingsTree.create();
	tree.restore(makeSnapshot(workspaces));
	return tree;
}
