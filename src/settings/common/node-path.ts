/** Paths of nodes in the settings tree, as `/workspaces/a/pipelines/quote/stages/rerank`. */
import type {NodeFields, NodeKind} from './schema.js';

export const fleetPath = '/';

/** Collections a node may hold, and the kind of node in each. */
const collections: Readonly<Partial<Record<NodeKind, Readonly<Record<string, NodeKind>>>>> = {
	fleet: {
		pools: 'pool', operators: 'operator', pipelines: 'pipeline', services: 'service', workspaces: 'workspace',
	},
	workspace: {pipelines: 'pipeline', services: 'service'},
	pipeline: {stages: 'stage'},
};

/**
Tells the kind of node a path leads to.
@param path - any text.
@returns the kind, or nothing where no such node can be.
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
Takes a declaration apart into nodes.
@param declaration - a checked declaration.
@returns the own fields of each node, by path.
*/
export function flatten(declaration: NodeFields): Map<string, NodeFields> {
	const nodes = new Map<string, NodeFields>();
	collect(declaration, 'fleet', '', nodes);
	return nodes;
}

function collect(value: NodeFields, kind: NodeKind, path: string, nodes: Map<string, NodeFields>): void {
	const childKinds: Readonly<Record<string, NodeKind>> = collections[kind] ?? {};
	const ownFields = Object.fromEntries(Object.entries(value).filter(([key]) => !Object.hasOwn(childKinds, key)));
	nodes.set(path === '' ? fleetPath : path, ownFields);
	for (const [collection, childKind] of Object.entries(childKinds)) {
		const children = value[collection];
		for (const [name, child] of Object.entries(isFields(children) ? children : {})) {
			collect(isFields(child) ? child : {}, childKind, `${path}/${collection}/${name}`, nodes);
		}
	}
}

function isFields(value: unknown): value is NodeFields {
	return typeof value === 'object' && value !== null;
}

/**
Splits a path into the keys that lead to it in a declaration.
@param path - a node's path.
@returns its keys.
*/
export function keysOf(path: string): string[] {
	return path.split('/').filter(part => part !== '');
}
