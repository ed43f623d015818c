/** Rendezvous hashing: all hosts compute the same order of nodes for a key, and removing a node moves only the keys assigned to it. */
import {hashText} from '../../base/common/hash.js';

/**
Orders nodes by their preference for a key.
@param key - the key to assign.
@param nodes - the nodes that it may be assigned to.
@param nameOf - returns the name of a node, which must be the same on every host.
@returns the nodes, most preferred first.
*/
export function rendezvousOrder<T>(key: string, nodes: readonly T[], nameOf: (node: T) => string): T[] {
	return nodes
		.map(node => ({node, weight: weightOf(key, nameOf(node))}))
		.toSorted((left, right) => right.weight - left.weight)
		.map(({node}) => node);
}

/**
Finds the most preferred node for a key.
@param key - the key to assign.
@param nodes - the names of the nodes, which must be the same on every host.
@returns the node, or undefined if there are no nodes.
*/
export function rendezvousOwner(key: string, nodes: readonly string[]): string | undefined {
	let owner: string | undefined;
	let maxWeight = -1;
	for (const node of nodes) {
		const weight = weightOf(key, node);
		if (weight > maxWeight) {
			maxWeight = weight;
			owner = node;
		}
	}

	return owner;
}

/**
Computes the position of one node in the order for a key.
@param key - the key to assign.
@param node - the name of the node.
@param nodes - the names of all nodes.
@returns the position; 0 for the most preferred node.
*/
export function rendezvousRank(key: string, node: string, nodes: readonly string[]): number {
	const ownWeight = weightOf(key, node);
	return nodes.filter(other => weightOf(key, other) > ownWeight).length;
}

/**
Returns whether a node is among the most preferred ones for a key. It is faster than `rendezvousRank`, as it compares only until the answer is known.
@param key - the key to assign.
@param node - the name of the node.
@param others - the names of the other nodes.
@param count - the number of nodes that count as most preferred.
*/
export function isAmongFirst(key: string, node: string, others: readonly string[], count: number): boolean {
	const ownWeight = weightOf(key, node);
	let preferred = 0;
	for (const other of others) {
		preferred += weightOf(key, other) > ownWeight ? 1 : 0;
		if (preferred >= count) {
			return false;
		}
	}

	return true;
}

function weightOf(key: string, node: string): number {
	return hashText(`${key}\n${node}`);
}
