/** Caches the scheduled pools of each version of the declaration. */
import type {DeploymentIndex} from '../../deployment/common/deployment-index.js';
import {scheduledPools} from './scheduled-pools.js';

/** Determines the scheduled pools of a declaration once, since they are looked up for each request. */
export class ScheduledPoolsByIndex {
	static create(): ScheduledPoolsByIndex {
		return new ScheduledPoolsByIndex();
	}

	/** Requests that were received under a former declaration still need its pools. */
	private readonly known = new WeakMap<DeploymentIndex, ReadonlySet<string>>();

	/**
	Returns the names of the scheduled pools.
	@param index - index of the declaration.
	*/
	of(index: DeploymentIndex): ReadonlySet<string> {
		let pools = this.known.get(index);
		if (!pools) {
			pools = scheduledPools(index.deployment);
			this.known.set(index, pools);
		}

		return pools;
	}
}
