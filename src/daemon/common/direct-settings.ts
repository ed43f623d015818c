/** Settings of a host whose entry calls upstreams itself; the adapter of a platform makes them of what that platform gives. */
import type {Endpoint} from '../../wire/common/endpoint.js';
import type {HostResources} from '../../routing/common/host-capacity.js';
import type {ColdBounds} from '../../routing/common/rate-bound.js';
import type {RepeatBounds} from '../../routing/common/windowed-budget.js';

export type DirectEntrySettings = {
	readonly hostId: string;
	readonly hall: string;
	/** Where callers connect. */
	readonly callers: Endpoint;
	/** Where the balancer asks whether this host is ready. */
	readonly readiness: Endpoint;
	/** Where other hosts of the deployment connect. */
	readonly peers: Endpoint;
	/** Where some of the other hosts may listen for peers. */
	readonly seeds: readonly Endpoint[];
	/** Repeats allowed over all hosts together. */
	readonly repeats: RepeatBounds;
	/** Bounds on what a cold upstream gets from all hosts together; nothing is bounded where absent. */
	readonly cold?: ColdBounds;
	/** From the request to stop until the process is ended from outside. */
	readonly stopGraceMs: number;
	/** Within this time after the store took it a declaration must be in force. */
	readonly declarationWithinMs: number;
	/** Within this time after the store took it a server that leaves must get no more. */
	readonly leavingWithinMs: number;
	/** What this host may use. */
	readonly capacity: HostResources;
	/** Where figures are served; nowhere if absent. */
	readonly metrics?: Endpoint;
	/** Shared by all hosts of a deployment. */
	readonly wireSecret: string;
};
