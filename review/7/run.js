/** Servers are silent for a moment between the last event of a stream and its end, while hosts are stopped as planned. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	configOf, note, routeOf, send,
} from '../lib-2/calls.js';
import {addressOf, startFleet} from '../lib-2/fleet.js';
import {hasTrouble, runCase} from '../lib-2/run-case.js';
import {startServer} from '../lib-2/servers.js';
import {startStore} from '../lib-2/store.js';

const hostCount = 3;
const serverCount = 6;
const eventCount = 24;
const eventMs = 30;
/** How long a server is silent before the end of a stream. */
const endPauseMs = hasTrouble ? 1500 : 0;
/** Time in which a server reads the prompt of a request that goes on behind the last event, after its head: 17,020 tokens at 61.2 a millisecond. */
const emptyMs = 280;
const streamEveryMs = 100;
const calmMs = 4000;
const stopEveryMs = 11_000;
/** Requests sent until then are to be answered in full: the balancer has taken the host out by then. */
const sentForMs = 2500;
const graceMs = 8000;
/** A stream whose server is at work in the last sixth of the grace doesn't count; those of the judged requests end before. */
const judgedMs = graceMs * 5 / 6;

const config = configOf(1, [
	routeOf('quote', 'streaming', 'scieur-llm', {
		timeoutMs: 8000, goalMs: 1600, maxAttempts: 2, isSticky: true, canResume: true,
	}),
], [{name: 'scieur-llm', maxConns: 370, runtime: {slotCount: 64, kvCapacity: 614_608}}]);

async function play(atEnd) {
	const store = await startStore(addressOf(0));
	atEnd(() => {
		store.close();
	});
	store.put('op', 'config', config);
	const servers = [];
	for (let index = 0; index < serverCount; index++) {
		servers.push(await startServer(store, {
			kind: 'model',
			pool: 'scieur-llm',
			id: `llm-${index}`,
			address: addressOf(20 + index),
			behaviour: {
				eventCount, eventMs, endPauseMs, emptyMs,
			},
		}));
	}

	atEnd(() => {
		for (const {child} of servers) {
			child.disconnect();
		}
	});
	const fleet = await startFleet(hostCount, store.port);
	atEnd(async () => fleet.stop());
	await fleet.waitUntilReady();
	note('all hosts are ready');

	/** When each host was told to stop, and whether it still gets requests. */
	const stopsMs = Array.from({length: hostCount}, () => Infinity);
	const isIn = Array.from({length: hostCount}, () => true);
	const requests = [];
	const pending = [];
	let count = 0;
	const timer = setInterval(() => {
		count++;
		const open = fleet.hosts.filter(({index}) => isIn[index]);
		const host = open[count % open.length];
		const request = {id: `s${count}`, host: host.index, sentMs: performance.now()};
		requests.push(request);
		note(`caller sends ${request.id} to host ${host.index}`);
		pending.push((async () => {
			const answer = await send(host, {
				method: 'POST',
				path: `/quote/${count}`,
				body: `prompt ${count}`,
				id: request.id,
				deadlineMs: 8000,
				headers: {'model-name': 'm', 'token-count': '17020,120', 'prompt-prefix': `${(4096 + count).toString(16)}:17020`},
			});
			Object.assign(request, {endMs: performance.now(), answer, events: [...answer.text.matchAll(/^id: /gmv)].length});
			note(`caller of ${request.id} gets ${answer.status} ${answer.isWhole ? 'whole' : `not whole: ${answer.error}`}, ${request.events} events, after ${answer.tookMs.toFixed(0)} ms`);
		})());
	}, streamEveryMs);

	await sleep(calmMs);
	for (let stop = 0; stop < hostCount; stop++) {
		const host = fleet.hosts[stop];
		stopsMs[stop] = performance.now();
		host.child.kill('SIGTERM');
		note(`host ${stop} gets SIGTERM`);
		await sleep(sentForMs);
		isIn[stop] = false;
		await sleep(stopEveryMs - sentForMs);
		fleet.restart(stop);
		await sleep(2500);
		isIn[stop] = true;
	}

	clearInterval(timer);
	await Promise.race([Promise.all(pending), sleep(9000)]);
	const judged = requests.filter(({host, sentMs, endMs, answer}) => answer && endMs > stopsMs[host] && sentMs < stopsMs[host] + sentForMs && endMs < stopsMs[host] + judgedMs);
	const cut = judged.filter(({answer}) => answer.status === 200 && !answer.isWhole && answer.tookMs < 7500);
	const ranOf = ({id}) => servers.filter(server => server.runs.some(run => run.id === id)).map(server => server.id);
	for (const request of cut) {
		note(`LOST ${request.id} at host ${request.host}: ended after ${request.answer.tookMs.toFixed(0)} ms with ${request.events} of ${eventCount} events, ${(request.endMs - stopsMs[request.host]).toFixed(0)} ms after SIGTERM; run by ${ranOf(request).join(', ')}`);
	}

	const all = requests.filter(({answer}) => answer);
	return {
		isBroken: cut.length > 0,
		found: `of ${judged.length} streams around the stops of their hosts ${cut.length} ended without a complete answer, long before any time limit; of all ${all.length} streams ${all.filter(({answer}) => !answer.isWhole).length}`,
	};
}

await runCase(new URL('.', import.meta.url), play);
