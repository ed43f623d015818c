/** Composes all components of an agent in one place. */
import type {InjectionToken} from 'tsyringe';
import {EngineDriver} from '../../agent/node/engine-driver.js';
import {HttpDriver} from '../../agent/node/http-driver.js';
import {AgentService, defaultLimits} from '../../agent/node/agent-service.js';
import {upstreamDriverToken, type UpstreamDriver} from '../../agent/common/upstream-driver.js';
import {clockToken} from '../../base/common/clock.js';
import {loggerFactoryToken} from '../../base/common/logger.js';
import {metricsToken} from '../../base/common/metrics.js';
import {tableServiceToken} from '../../store/common/table-service.js';
import {GateStateMachine} from '../../request/common/gate-state-machine.js';
import {poolKinds, type PoolKind} from '../../settings/common/schema.js';
import {settingsServiceToken} from '../../settings/common/settings-service.js';
import type {AgentHostSettings} from '../common/host-settings.js';
import {composeCommon, identityToken, settingsSyncToken} from './compose-common.js';
import {lifecycleToken, wireServerToken} from './daemon-tokens.js';
import type {HostSecrets} from './load-host-settings.js';

export const gateToken: InjectionToken<GateStateMachine> = Symbol('GateStateMachine');
export const agentServiceToken: InjectionToken<AgentService> = Symbol('AgentService');

/** Creates the driver for each kind of upstream; a new kind is added here. */
const driverFactories: Readonly<Record<PoolKind, (origin: string) => UpstreamDriver>> = {
	[poolKinds.engine]: origin => EngineDriver.create(origin),
	[poolKinds.worker]: origin => HttpDriver.create(origin),
	[poolKinds.service]: origin => HttpDriver.create(origin),
};

/**
Composes an agent.
@param host - validated settings of the host.
@param secrets - secrets that the settings refer to.
@returns the container; resolving `agentServiceToken` creates the agent.
*/
export function composeAgent(host: AgentHostSettings, secrets: HostSecrets) {
	const {components, register} = composeCommon({host, secrets});
	const lifecycle = components.resolve(lifecycleToken);
	register(gateToken, () => GateStateMachine.create(defaultLimits));
	register(upstreamDriverToken, () => lifecycle.register(driverFactories[host.upstream.kind](host.upstream.origin)));
	register(agentServiceToken, () => lifecycle.register(AgentService.create({
		identity: components.resolve(identityToken),
		gate: components.resolve(gateToken),
		driver: components.resolve(upstreamDriverToken),
		server: components.resolve(wireServerToken),
		settings: components.resolve(settingsServiceToken),
		table: components.resolve(tableServiceToken),
		sync: components.resolve(settingsSyncToken),
		clock: components.resolve(clockToken),
		log: components.resolve(loggerFactoryToken).for('agent'),
		metrics: components.resolve(metricsToken),
		lifecycle,
	})));
	return components;
}
