/** Chooses the hosts that remember where a stream began, by rendezvous hashing: all hosts compute the same ones from the id of the stream. */
import {isAmongFirst, rendezvousOrder} from '../../routing/common/rendezvous.js';

/** Number of hosts that remember a stream. Several may be lost at once, and hosts that disagree on who is live compute different ones. */
export const keeperCount = 4;

/**
Returns the other hosts that remember a stream.
@param streamId - id of the stream.
@param peers - the live hosts without this one.
*/
export function keepersOf(streamId: string, peers: readonly string[]): string[] {
	return rendezvousOrder(streamId, peers, host => host).slice(0, keeperCount);
}

/**
Returns whether a host is one of those that remember a stream.
@param streamId - id of the stream.
@param host - the host.
@param others - the other live hosts.
*/
export function isKeeper(streamId: string, host: string, others: readonly string[]): boolean {
	return isAmongFirst(streamId, host, others, keeperCount);
}
