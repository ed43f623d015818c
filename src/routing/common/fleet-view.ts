/** The hosts of a deployment as known to one of them. */

/** The hosts that share bounds on the whole deployment. */
export type FleetView = {
	/** The name of this host. */
	readonly ownName: string;
	/** Names of all hosts, including this one; the same array instance while they do not change. */
	readonly hosts: readonly string[];
	/** Whether this host knows the others well enough to take a share: either there are no others, or it has been in contact with them for a while. */
	readonly isSettled: boolean;
	/** Number of seeds, other than this host, that this host has not been in contact with. */
	readonly unseenSeedCount: number;
};
