/** The operator's config of a small deployment: a pool of model servers, stages, and a plain service (as in the examples of the pages). */
import {hostName, key} from './caller.js';

const modelBackend = {
	name: 'huvo11a', healthPath: '/healthz', maxConns: 370, protocol: 'h1', useTls: false,
	runtime: {
		slotCount: 64, kvCapacity: 614_608, kvTokenBytes: 163_840, linkMbps: 1_100_000, migrations: true, backupList: true, strideLen: 5, most: 12, pinMs: 4000,
		holdMs: 2000, sessionTtlS: 5, modelList: [{name: 'm'}],
	},
};
const reqLimits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

/** Returns a route of the deployment. */
export function routeOf(name, pathPrefix, more) {
	return {
		name, hostname: hostName, pathPrefix, routeType: 'streaming', timeoutMs: 8000, goalMs: 1600, prio: 0, backend: 'huvo11a', maxAttempts: 1, isPublic: false,
		isSticky: true, canResume: false, itlTargetMs: 200, ...more,
	};
}

/** Returns a config with these routes and further services. */
export function configOf(routes, backends = []) {
	return {
		generationNum: 7, routes, backends: [modelBackend, ...backends], reqLimits, tenantList: [{name: 'bozi300', apiKeys: [key], prio: 1}],
	};
}

/** A service for a stage: `invoice-svc` of the small deployment. */
export const stageBackend = {
	name: 'kafi81c',
	healthPath: '/healthz',
	maxConns: 370,
	protocol: 'h1',
	useTls: false,
	segments: {
		slotCount: 1, queueName: 2, batchSize: 7, callMs: 150, itemMs: 18.285_714, headroomMb: 34.125, sessionTtlS: 4, linkMbps: 10_000,
	},
};
