/** Paths of nodes in the settings tree, such as `/workspaces/a/pipelines/quote/stages/rerank`. */
import type {NodeFields, NodeKind} from './schema.js';

export const fleetPath = '/';

/** The collections that each kind of node may contain, and the kind of their nodes. */
const collections: Readonly<Partial<Record<NodeKind, Readonly<Record<string, NodeKind>>>>> = {
	fleet: {
		pools: 'pool', operators: 'operator', pipelines: 'pipeline', services: 'service', workspaces: 'workspace',
	},
	workspace: {pipelines: 'pipeline', services: 'service'},
	pipeline: {stages: 'stage'},
};

/**
Determines the kind of node that a path refers to.
@param path - any text.
@returns the kind, or undefined if the path is not a valid node path.
*/
export function kindOfPath(path: string): NodeKind | undefined {
	if (path === fleetPath) {
		return 'fleet';
	}

	const parts = path.split('/');
	if (parts.shift() !== '' || parts.length % 2 === 1) {
		return undefined;
	}

	let kind: NodeKind | undefined = 'fleet';
	for (let index = 0; index < parts.length && kind; index += 2) {
		const childKinds: Readonly<Record<string, NodeKind>> = collections[kind] ?? {};
		kind = Object.hasOwn(childKinds, parts[index]) && isValidName(parts[index + 1]) ? childKinds[parts[index]] : undefined;
	}

	return kind;
}

function isValidName(part: string): boolean {
	return /^[a-z0-9][a-z0-9.\-]{0,62}$/v.test(part);
}

/**
Splits a declaration into its nodes.
@param declaration - a valid declaration.
@returns the own fields of each node, by path.
*/
export function flattenDeclaration(declaration: NodeFields): Map<string, NodeFields> {
	const nodes = new Map<string, NodeFields>();
	collectNodes(declaration, 'fleet', '', nodes);
	return nodes;
}

function collectNodes(value: NodeFields, kind: NodeKind, path: string, nodes: Map<string, NodeFields>): void {
	const childKinds: Readonly<Record<string, NodeKind>> = collections[kind] ?? {};
	const ownFields = Object.fromEntries(Object.entries(value).filter(([key]) => !Object.hasOwn(childKinds, key)));
	nodes.set(path === '' ? fleetPath : path, ownFields);
	for (const [collection, childKind] of Object.entries(childKinds)) {
		const children = value[collection];
		for (const [name, child] of Object.entries(isFields(children) ? children : {})) {
			collectNodes(isFields(child) ? child : {}, childKind, `${path}/${collection}/${name}`, nodes);
		}
	}
}

function isFields(value: unknown): value is NodeFields {
	return typeof value === 'object' && value !== null;
}

/**
Splits a path into the object keys that lead to its node in a declaration.
@param path - a node's path.
@returns the keys, outermost first.
*/
export function keysOf(path: string): string[] {
	return path.split('/').filter(part => part !== '');
}
