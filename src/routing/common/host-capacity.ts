/** Selects the hosts that do shared work for all others. The processors and links of the hosts of one deployment may differ by large factors. */

/** Traffic in Mbit/s that shared work causes per core it uses. Converts link bandwidth to cores, so that a host with a slow link counts as one with few cores. */
const linkMbpsPerCore = 70;
/** Hosts with less than this share of the capacity of the largest host take no shared work. */
const minCapacityShare = 0.5;

/** Resources that a host may use. */
export type HostResources = {
	/** Number of cores; may be a fraction. */
	readonly cores: number;
	readonly linkMbps: number;
};

/**
Computes the capacity of a host for shared work, for comparison with other hosts.
@param resources - the resources of the host.
@returns the capacity in cores; a slow link counts as few cores.
*/
export function sharedCapacityOf({cores, linkMbps}: HostResources): number {
	return Math.min(cores, linkMbps / linkMbpsPerCore);
}

/**
Checks whether a host takes shared work.
@param capacity - the capacity of the host.
@param maxCapacity - the capacity of the largest host.
*/
export function isHighCapacity(capacity: number, maxCapacity: number): boolean {
	return capacity >= maxCapacity * minCapacityShare;
}

/**
Selects the hosts that take shared work.
@param capacities - the capacity of each live host, by host id.
@returns the ids of the selected hosts.
*/
export function highCapacityHosts(capacities: ReadonlyMap<string, number>): string[] {
	const maxCapacity = Math.max(0, ...capacities.values());
	return [...capacities].filter(([, capacity]) => isHighCapacity(capacity, maxCapacity)).map(([hostId]) => hostId);
}
