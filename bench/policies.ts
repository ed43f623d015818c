/** The policies that are compared: that of the product, and simple baselines. */
import {instanceCachingFactory, type DependencyContainer} from 'tsyringe';
import {defaultLimits} from '../src/agent/node/agent-service.js';
import {randomToken} from '../src/base/common/random.js';
import {newId} from '../src/base/node/ids.js';
import {identityToken} from '../src/daemon/node/compose-common.js';
import {gateToken} from '../src/daemon/node/compose-agent.js';
import {membersToken, prefixesToken, routerToken} from '../src/daemon/node/compose-entry.js';
import {FleetRouter} from '../src/entry/common/fleet-router.js';
import {GateStateMachine} from '../src/request/common/gate-state-machine.js';
import {
	LeastInFlightChooser, RandomChooser, RoundRobinChooser, type UpstreamChooser,
} from '../src/routing/common/chooser.js';
import {FifoQueue} from '../src/routing/common/fair-queue.js';

/** A named policy, with a function that registers its components in the container of a daemon; none for the default policy. */
export type Policy = {readonly name: string; readonly adjust?: (parts: DependencyContainer) => void};

/** Creates a baseline policy: a simple choice of upstreams and FIFO queues, without ejection and without refusals by predicted time. */
function baseline(name: string, chooserOf: (parts: DependencyContainer) => UpstreamChooser): Policy {
	return {
		name,
		adjust(parts) {
			parts.register(gateToken, {useFactory: instanceCachingFactory(() => GateStateMachine.create(defaultLimits, FifoQueue.create()))});
			parts.register(routerToken, {
				useFactory: instanceCachingFactory(() => FleetRouter.create({
					hall: parts.resolve(identityToken).hall,
					members: parts.resolve(membersToken),
					chooser: chooserOf(parts),
					prefixes: parts.resolve(prefixesToken),
					newDispatchId: newId,
					isAdaptive: false,
				})),
			});
		},
	};
}

export const policies: readonly Policy[] = [
	{name: 'pumicehatch'},
	baseline('random', parts => RandomChooser.create(parts.resolve(randomToken))),
	baseline('roundRobin', () => RoundRobinChooser.create()),
	baseline('leastInFlight', parts => LeastInFlightChooser.create(parts.resolve(randomToken))),
];
