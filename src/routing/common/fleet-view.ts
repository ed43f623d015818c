/** The hosts of a deployment as one of them knows them. */

/** The hosts that share what is bounded over the whole deployment. */
export type FleetView = {
	/** This host's own name. */
	readonly own: string;
	/** Names of all hosts, this one included; the same object while they are the same. */
	readonly hosts: readonly string[];
	/** Whether this host knows enough of the others to take a share: it has none to share with, or met them a while ago. */
	readonly isSettled: boolean;
};
