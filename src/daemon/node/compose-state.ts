/** Registers a host's state of the deployment, which is the same on all hosts once they have received the same updates. */
import {randomToken} from '../../base/common/random.js';
import {DeploymentTracker, deploymentTrackerToken} from '../../deployment/common/deployment-tracker.js';
import {HallDrains, hallDrainsToken} from '../../deployment/common/hall-drains.js';
import {LeavingServers, leavingServersToken} from '../../deployment/common/leaving-servers.js';
import {ServerLimits, serverLimitsToken} from '../../deployment/common/server-limits.js';
import {ServerNotices, serverNoticesToken} from '../../deployment/common/server-notices.js';
import {ServerRegistry, serverRegistryToken} from '../../deployment/common/server-registry.js';
import {ServerBackoffs, serverBackoffsToken} from '../../deployment/common/server-backoffs.js';
import {peerMeshToken} from '../../peers/node/peer-mesh.js';
import {ReportedLoads, reportedLoadsToken} from '../../routing/common/reported-load.js';
import {SendBounds, sendBoundsToken} from '../../routing/common/send-bounds.js';
import {SendShare} from '../../routing/common/send-share.js';
import {ServerRefusals, serverRefusalsToken} from '../../routing/common/server-refusals.js';
import type {Composition} from './direct-composition.js';

/**
Registers the declaration in force, the list of servers, what the servers report about themselves, and the resulting bounds on what may be sent to them.
@param composition - composition of the entry.
*/
export function registerState({settings, metrics, logOf, register, get, hostCount}: Composition): void {
	register(deploymentTrackerToken, () => DeploymentTracker.create(logOf('declaration')));
	register(hallDrainsToken, () => HallDrains.create());
	register(leavingServersToken, () => LeavingServers.create(logOf('servers')));
	register(serverRegistryToken, () => ServerRegistry.create({
		log: logOf('servers'), leavingWithinMs: settings.leavingWithinMs, drains: get(hallDrainsToken), leaving: get(leavingServersToken),
	}));
	register(serverLimitsToken, () => ServerLimits.create({random: get(randomToken), log: logOf('servers'), metrics}));
	register(serverBackoffsToken, () => ServerBackoffs.create({log: logOf('servers'), metrics}));
	register(reportedLoadsToken, () => ReportedLoads.create({registry: get(serverRegistryToken), log: logOf('servers'), metrics}));
	register(serverNoticesToken, () => ServerNotices.create({
		limits: get(serverLimitsToken), leaving: get(leavingServersToken), backoffs: get(serverBackoffsToken), loads: get(reportedLoadsToken), metrics,
	}));
	register(serverRefusalsToken, () => ServerRefusals.create(logOf('servers'), hostCount));
	register(sendBoundsToken, () => SendBounds.create({
		registry: get(serverRegistryToken),
		limits: get(serverLimitsToken),
		backoffs: get(serverBackoffsToken),
		share: SendShare.create(nowMs => get(peerMeshToken).fleetView(nowMs)),
		cold: settings.cold,
		toleratedPerS: pool => get(deploymentTrackerToken).current?.pool(pool)?.cold?.bearsPerS ?? 0,
	}));
}
