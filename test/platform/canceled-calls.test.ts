/**
Tests requests that callers cancel, with real hosts.

Guards against a canceled request making another one fail. Each of 60 cancellations made one request fail that arrived at the same moment and
may run only once; that request ended with 502, although nothing of it had been sent. When a stalled stream was canceled, its second attempt failed within 6 ms.
*/
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import t from 'tap';
import {sendRequest, streamCall} from './direct-harness.js';
import {addHosts, makeFleet, stepsCall} from './direct-load.js';

const rounds = 40;
const maxPauseMs = 20;
/** In every other round the next requests follow without a pause. */
const pauseOf = (round: number) => round % 2 === 0 ? 0 : Math.floor(round * maxPauseMs / rounds);

t.test('canceling a request makes no other one fail', async t => {
	const fleet = await makeFleet(t);
	const [plain] = await fleet.addServers('plain', 1, 40);
	await fleet.addServers('model', 1, 5);
	await fleet.addServers('stage', 1, 5);
	const [host] = await addHosts(fleet, 1);
	// On connections that are already open, requests reach the host at the same moment as the close of the other caller's connection.
	const agent = new Agent({keepAlive: true});
	t.teardown(() => {
		agent.destroy();
	});
	for (let round = 0; round < rounds; round++) {
		const canceler = new AbortController();
		const canceledCall = sendRequest(host, {path: '/look/x', id: `left${round}`, signal: canceler.signal}).catch(() => undefined);
		await sleep(15);
		canceler.abort();
		await sleep(pauseOf(round));
		const answers = await Promise.all([
			sendRequest(host, {
				method: 'POST', path: '/book/x', id: `once${round}`, body: 'b', agent,
			}),
			sendRequest(host, {path: '/look/x', id: `again${round}`, agent}),
			sendRequest(host, streamCall('/chat/x', {id: `stream${round}`, agent})),
			sendRequest(host, {...stepsCall(`steps${round}`), agent}),
		]);
		t.same(answers.map(({status}) => status), [200, 200, 200, 200]);
		await canceledCall;
	}

	const books = plain.seen.filter(({path}) => path === '/book/x');
	t.equal(books.length, rounds, 'each request that may run only once ran once');
});
