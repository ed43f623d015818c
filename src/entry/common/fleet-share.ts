/** Bounds on the number of agents that one entry connects to and on its ping traffic, independent of the fleet's size. */
import type {ListedHost} from '../../store/common/host-list.js';
import {subsetOf} from '../../routing/common/subset.js';
import {roles} from '../../wire/common/messages.js';

const minPingIntervalMs = 500;
/** Maximum traffic of an entry for pings and their replies; with more links, pings are sent less often. */
const maxPingBytesPerSecond = 10_000;
/** Size of a ping and its reply, which reports the load. */
const pingExchangeBytes = 221;
/** Maximum number of links of an entry; a larger fleet is divided among the entries. */
const maxLinks = 96;
const minAgentsPerPool = 8;

/**
Returns the time between two pings on each link.
@param linkCount - number of links of the entry.
@returns the time in milliseconds.
*/
export function pingIntervalMs(linkCount: number): number {
	return Math.max(minPingIntervalMs, linkCount * pingExchangeBytes * 1000 / maxPingBytesPerSecond);
}

/**
Chooses the agents that an entry connects to.
@param hosts - the platform's host list.
@param entryId - host id of the entry.
@returns all agents of a small fleet, or an even share of each pool of a large one.
*/
export function agentsForEntry(hosts: readonly ListedHost[], entryId: string): ListedHost[] {
	const agents = hosts.filter(host => host.role === roles.agent);
	if (agents.length <= maxLinks) {
		return agents;
	}

	const entryIds = hosts.filter(host => host.role === roles.entry).map(host => host.hostId).toSorted((a, b) => (a < b ? -1 : 1));
	const position = Math.max(0, entryIds.indexOf(entryId));
	const pools = new Set(agents.map(host => host.pool));
	return [...pools].flatMap(name => {
		const pool = agents.filter(host => host.pool === name);
		const size = Math.max(minAgentsPerPool, Math.floor(maxLinks * pool.length / agents.length));
		return subsetOf(pool, position, size);
	});
}
