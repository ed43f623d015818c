import t from 'tap';
import {routeKinds, type Deployment, type Route} from '../../deployment/common/declaration.js';
import {DeploymentIndex} from '../../deployment/common/deployment-index.js';
import {admit, type AdmissionRequest} from './admission.js';

const route: Route = {
	name: 'r', hostName: 'h', pathPrefix: '/', kind: routeKinds.stream, timeoutMs: 8000, targetMs: 1000, rank: 0, targets: [{pool: 'model', weight: 1}],
	maxAttempts: 1, steps: [{pool: 'a', after: [], resultBytes: 1}, {pool: 'b', after: [0], resultBytes: 1}], isPublic: false, hasAffinity: false, isResumable: false,
};
const batch = {
	slots: 1, batchSize: 10, callMs: 150, itemMs: 10, roomBytes: 1, resultTtlMs: 1,
};
const deployment: Deployment = {
	version: 1, routes: [route], pools: ['a', 'b'].map(name => ({name, maxConnections: 1, batch})), limits: {
		maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
};
const request: AdmissionRequest = {
	index: DeploymentIndex.create(deployment), route, pieceCounts: [1, 1], rank: 0, firstTokenMs: 100, sinceFirstTryMs: 0, jitter: 0,
};
const waits = (waitMs: number) => ({waitMs: () => waitMs});

t.test('the predicted time is the sum of waits, step calls and time to the first token', async t => {
	t.same(admit(request, waits(0)), {isAdmitted: true, predictedMs: 500});
	t.same(admit({...request, pieceCounts: [1, 0]}, waits(50)), {isAdmitted: true, predictedMs: 350}, 'a step without pieces is skipped');
});

t.test('a request that would be late is refused with a retry delay that grows with the queue', async t => {
	const short = admit(request, waits(400));
	const long = admit(request, waits(900));
	t.match([short, long], [{isAdmitted: false}, {isAdmitted: false}]);
	if (!short.isAdmitted && !long.isAdmitted) {
		t.ok(long.retryAfterMs > short.retryAfterMs && short.retryAfterMs >= 600);
	}
});

t.test('a retry is admitted up to one and a half times the target', async t => {
	t.equal(admit({...request, sinceFirstTryMs: 2000}, waits(450)).isAdmitted, true);
	t.equal(admit({...request, sinceFirstTryMs: 2000}, waits(1000)).isAdmitted, false);
});

t.test('a first attempt predicted to miss its target is refused: a late response earns less than a retry in time', async t => {
	t.equal(admit(request, waits(240)).isAdmitted, true, 'predicted 980 ms of 1000');
	t.equal(admit(request, waits(260)).isAdmitted, false, 'predicted 1020 ms');
});
