/** How much of a fleet one entry connects to, and how often it pings: bounded, however large the fleet is. */
import type {ListedHost} from '../../store/common/host-list.js';
import {subsetOf} from '../../routing/common/subset.js';
import {roles} from '../../wire/common/messages.js';

const shortestPingMs = 500;
/** What pings and their answers may take of an entry's traffic; with more links, pings come more seldom. */
const pingBytesPerSecond = 10_000;
/** One ping with its answer, a report of the load. */
const pingExchangeBytes = 221;
/** Links an entry keeps; a larger fleet is shared out among the entries. */
const mostLinks = 96;
const fewestOfPool = 8;

/**
Gives the time between two pings on each link.
@param links - links the entry keeps.
@returns milliseconds.
*/
export function pingIntervalMs(links: number): number {
	return Math.max(shortestPingMs, links * pingExchangeBytes * 1000 / pingBytesPerSecond);
}

/**
Chooses the agents that an entry connects to.
@param hosts - the platform's list.
@param entryId - the entry.
@returns all of a small fleet, an even share of each pool of a large one.
*/
export function shareOf(hosts: readonly ListedHost[], entryId: string): ListedHost[] {
	const agents = hosts.filter(host => host.role === roles.agent);
	if (agents.length <= mostLinks) {
		return agents;
	}

	const entryIds = hosts.filter(host => host.role === roles.entry).map(host => host.hostId).toSorted((a, b) => (a < b ? -1 : 1));
	const position = Math.max(0, entryIds.indexOf(entryId));
	const pools = new Set(agents.map(host => host.pool));
	return [...pools].flatMap(name => {
		const pool = agents.filter(host => host.pool === name);
		const size = Math.max(fewestOfPool, Math.floor(mostLinks * pool.length / agents.length));
		return subsetOf(pool, position, size);
	});
}
