/**
Tests a pool whose workers all take longer than declared, with real hosts.

Guards against refusals while workers are idle: with all workers of a pool three times slower than declared, 705 requests within 15 seconds
were refused on admission, although all four workers were idle and nothing was queued.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import t from 'tap';
import {
	sendRequest, DirectFleet, streamCall, type CallerResponse, type RunningEntry,
} from './direct-harness.js';

/** The harness declares 20 ms per call and 2 ms per piece. */
const callDurationMs = 60;
const requestCount = 40;
const requestIntervalMs = 100;

t.test('a pool whose workers all take three times as long as declared serves its load', async t => {
	for (const hostCount of [1, 3]) {
		const fleet = await DirectFleet.create();
		t.teardown(() => {
			fleet.dispose();
		});
		await fleet.addServers('model', 2);
		await fleet.addServers('stage', 3, callDurationMs);
		const hosts: RunningEntry[] = [];
		for (let index = 0; index < hostCount; index++) {
			hosts.push(await fleet.addReadyEntry());
		}

		const answers: Array<Promise<CallerResponse>> = [];
		for (let index = 0; index < requestCount; index++) {
			answers.push(sendRequest(hosts[index % hostCount], streamCall('/staged/1', {
				id: `q${index}`, deadlineMs: 3000, headers: {'chunk-count': '2,1', 'chunk-key': `k${index}`, 'prompt-prefix': `${index}a:10,bb:5`},
			})));
			await sleep(requestIntervalMs);
		}

		const served = (await Promise.all(answers)).filter(({status}) => status === 200).length;
		t.ok(served >= 0.97 * requestCount, `${served} of ${requestCount} at ${hostCount} hosts`);
	}
});
