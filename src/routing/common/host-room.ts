/** Which hosts take work for all others: hosts of one deployment may differ in processor and link by many times. */

/** Traffic of shared work for each core that it takes, in Mbit/s: a host with a thin link counts as one with few cores. */
const linkMbpsPerCore = 70;
/** Hosts with less room than this part of the roomiest one's take no shared work. */
const leastShare = 0.5;

/** What a host may use. */
export type HostCapacity = {
	/** Cores, as a share or several. */
	readonly cores: number;
	readonly linkMbps: number;
};

/**
Gives the room of a host for shared work, to compare with other hosts'.
@param capacity - what it may use.
@returns in cores; a thin link counts as few cores.
*/
export function roomOf({cores, linkMbps}: HostCapacity): number {
	return Math.min(cores, linkMbps / linkMbpsPerCore);
}

/**
Tells whether a host takes shared work.
@param room - of the host.
@param mostRoom - of the roomiest one.
*/
export function isRoomy(room: number, mostRoom: number): boolean {
	return room >= mostRoom * leastShare;
}

/**
Chooses the hosts that take shared work.
@param rooms - of each live host, by its id.
@returns their ids.
*/
export function roomiestHosts(rooms: ReadonlyMap<string, number>): string[] {
	const mostRoom = Math.max(0, ...rooms.values());
	return [...rooms].filter(([, room]) => isRoomy(room, mostRoom)).map(([hostId]) => hostId);
}
