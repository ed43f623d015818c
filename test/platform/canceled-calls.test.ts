/**
Callers that give their requests up, before real entries.

Seen: of 60 that did, each took along one request that came in the same moment and may run only once: it ended with 502, though nothing of it was sent. A stream that
fell silent was given up, and its second try failed within 6 ms.
*/
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import t from 'tap';
import {sendRequest, streamCall} from './direct-harness.js';
import {addHosts, makeFleet, stepsCall} from './direct-load.js';

const rounds = 40;
const maxPauseMs = 20;
/** Every other time the next requests come at once. */
const pauseOf = (round: number) => round % 2 === 0 ? 0 : Math.floor(round * maxPauseMs / rounds);

t.test('a caller that gives its request up takes no other one along', async t => {
	const fleet = await makeFleet(t);
	const [plain] = await fleet.addServers('plain', 1, 40);
	await fleet.addServers('model', 1, 5);
	await fleet.addServers('stage', 1, 5);
	const [host] = await addHosts(fleet, 1);
	// On connections that are open, requests reach the host in the moment in which the other caller's close does.
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
	t.equal(books.length, rounds, 'each of those that may run only once has run once');
});
