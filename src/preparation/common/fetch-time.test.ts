import t from 'tap';
import type {PoolDeclaration} from '../../deployment/common/declaration.js';
import {DeploymentIndex} from '../../deployment/common/deployment-index.js';
import {inputFetchTimeMs} from './fetch-time.js';

const batch = {
	slots: 1, batchSize: 50, callMs: 200, itemMs: 3, roomBytes: 1e6, resultTtlMs: 8000,
};
const indexOf = (...pools: PoolDeclaration[]) => DeploymentIndex.create({
	version: 1, routes: [], pools, limits: {
		maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
});

/*
Guards against inputs that are released before a call has fetched them, because the slower of the links or the number of pieces was
not counted, and against a time that the schema of the message refuses, which would close the connection to the peer.
*/
t.test('the time for the inputs of a call counts those of a full call on the links of both sides', async t => {
	const index = indexOf(
		{name: 'from', maxConnections: 1, batch: {...batch, linkBytesPerMs: 1000}},
		{name: 'slow', maxConnections: 1, batch: {...batch, linkBytesPerMs: 100}},
		{name: 'to', maxConnections: 1, batch: {...batch, linkBytesPerMs: 2000}},
		{name: 'plain', maxConnections: 1},
	);
	const step = {pool: 'to', inputPools: ['from'], inputBytes: 120};
	t.equal(inputFetchTimeMs(step, index), 20 + (2 * 6) + 3, '6,000 bytes; twice on the link that may serve two calls');
	t.equal(inputFetchTimeMs({...step, inputPools: ['from', 'slow']}, index), 20 + (2 * 60) + 3, 'the slowest link of its inputs');
	t.equal(inputFetchTimeMs({...step, inputBytes: 1e12}, index), undefined, 'longer than any request waits');
	t.equal(inputFetchTimeMs({...step, pool: 'plain'}, index), undefined);
	t.equal(inputFetchTimeMs(step, undefined), undefined);
});
