/** The parts of an agent, in one visible place. */
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

export const gateToken: InjectionToken<GateStateMachine> = Symbol('GateMachine');
export const agentServiceToken: InjectionToken<AgentService> = Symbol('AgentService');

/** The driver for each kind of upstream; a new kind is added here. */
const driverMakers: Readonly<Record<PoolKind, (origin: string) => UpstreamDriver>> = {
	[poolKinds.engine]: origin => EngineDriver.create(origin),
	[poolKinds.worker]: origin => HttpDriver.create(origin),
	[poolKinds.service]: origin => HttpDriver.create(origin),
};

/**
Puts an agent together.
@param host - checked settings of the host.
@param secrets - what the settings name.
@returns the container; resolving `agentServiceToken` makes the agent.
*/
export function composeAgent(host: AgentHostSettings, secrets: HostSecrets) {
	const {parts, register} = composeCommon({host, secrets});
	const lifecycle = parts.resolve(lifecycleToken);
	register(gateToken, () => GateStateMachine.create(defaultLimits));
	register(upstreamDriverToken, () => lifecycle.register(driverMakers[host.upstream.kind](host.upstream.origin)));
	register(agentServiceToken, () => lifecycle.register(AgentService.create({
		identity: parts.resolve(identityToken),
		gate: parts.resolve(gateToken),
		driver: parts.resolve(upstreamDriverToken),
		server: parts.resolve(wireServerToken),
		settings: parts.resolve(settingsServiceToken),
		table: parts.resolve(tableServiceToken),
		sync: parts.resolve(settingsSyncToken),
		clock: parts.resolve(clockToken),
		log: parts.resolve(loggerFactoryToken).for('agent'),
		metrics: parts.resolve(metricsToken),
		lifecycle,
	})));
	return parts;
}
