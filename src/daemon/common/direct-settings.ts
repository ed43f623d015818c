/** Settings of a host whose entry calls upstreams itself; a platform's adapter creates them from what that platform provides. */
import type {Endpoint} from '../../wire/common/endpoint.js';
import type {HostResources} from '../../routing/common/host-capacity.js';
import type {ColdBounds} from '../../routing/common/rate-bound.js';
import type {RepeatBounds} from '../../routing/common/windowed-budget.js';

export type DirectEntrySettings = {
	readonly hostId: string;
	readonly hall: string;
	/** Endpoint for callers. */
	readonly callers: Endpoint;
	/** Endpoint at which the load balancer checks whether this host is ready. */
	readonly readiness: Endpoint;
	/** Endpoint for other hosts of the deployment. */
	readonly peers: Endpoint;
	/** Endpoints at which some of the other hosts may listen for peers. */
	readonly seeds: readonly Endpoint[];
	/** Bounds on the repeated sends of all hosts together. */
	readonly repeats: RepeatBounds;
	/** Whether the whole deployment starts for the first time, so that no host has a former process. */
	readonly isFirstStart: boolean;
	/** Bounds on what all hosts together send to a cold upstream; unbounded if absent. */
	readonly cold?: ColdBounds;
	/** Time from the stop signal until the process is terminated from outside. */
	readonly stopGraceMs: number;
	/** Maximum time from when the store accepts a declaration until it is in force. */
	readonly declarationWithinMs: number;
	/** Maximum time from when the store accepts that a server is leaving until no more requests are sent to that server. */
	readonly leavingWithinMs: number;
	/** Resources that this host may use. */
	readonly capacity: HostResources;
	/** Endpoint at which metrics are served; they are not served if absent. */
	readonly metrics?: Endpoint;
	/** Secret shared by all hosts of a deployment. */
	readonly wireSecret: string;
};
