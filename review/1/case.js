/** A server crashes in the middle of streams that may be resumed, while another server fails part of its requests. */
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {call, newId} from '../lib/caller.js';
import {hasTrouble, runCase} from '../lib/case.js';
import {configOf, routeOf} from '../lib/config.js';
import {eventOf} from '../lib/events.js';
import {makeHosts} from '../lib/hosts.js';
import {ModelServer} from '../lib/servers.js';
import {Store} from '../lib/store.js';

const folder = fileURLToPath(new URL('.', import.meta.url));
const limitMs = 110_000;
/** The share .15 of `srv_crash` and of `srv_grey` is one of seven servers. */
const serverCount = 7;
const hostCount = 2;
const playMs = 84_000;
/** A spell: one server fails part of its requests (`srv_grey`, x .4, 5 s), and another one crashes a second later (`srv_crash`, 5 s). */
const firstSpellMs = 3000;
const spellEveryMs = 7000;
const spellMs = 5000;
const crashAfterMs = 1000;
const errorShare = 0.4;
const streamsPerS = 40;
const stream = {eventMs: 100, eventCount: 40, prefillMs: 150};
const deadlineMs = 8000;

/** The model servers, and their disruption. */
class Servers {
	constructor(running, store) {
		this.running = running;
		this.store = store;
		this.list = [];
	}

	async start() {
		const {running, store} = this;
		const server = await ModelServer.start({
			store,
			backend: 'huvo11a',
			running,
			address: `${running.network}.30`,
			onReport({id}, {type, attempt, from}) {
				running.note(`server ${id} runs ${attempt}${from > 0 ? ` from event ${from + 1}` : ''}${type === 'error' ? ' and answers 500' : ''}`);
			},
			...stream,
		});
		running.note(`server ${server.id} starts`);
		this.list.push(server);
	}

	/** Takes a random server out of the list. */
	take() {
		return this.list.splice(Math.trunc(Math.random() * this.list.length), 1)[0];
	}

	async disturb() {
		const {running} = this;
		const grey = this.take();
		grey.setShares({error: errorShare});
		running.note(`server ${grey.id} fails ${errorShare} of its requests`);
		await sleep(crashAfterMs);
		const victim = this.take();
		victim.crash();
		running.note(`server ${victim.id} crashes`);
		await sleep(spellMs - crashAfterMs);
		grey.setShares({error: 0});
		running.note(`server ${grey.id} fails no more`);
		this.list.push(grey);
		await sleep(crashAfterMs);
		await this.start();
	}
}

/** Sends one stream and returns what became of it. */
async function sendStream(running, host) {
	const id = newId();
	const path = `/cufi501/${id}`;
	running.note(`caller sends ${id} to ${host.name}`);
	const {status, text, isWhole, headers} = await call({
		frontend: host.frontend,
		path,
		id,
		deadlineMs,
		headers: {'model-name': 'm', 'token-count': '1110,200', 'prompt-prefix': `${id.slice(0, 4)}:350,${id}:760`},
	});
	running.note(`caller gets ${status} for ${id}, stamp ${headers['server-stamp'] ?? 'none'}, ${text.length} bytes, ${isWhole ? 'complete' : 'cut off'}`);
	if (status !== 200) {
		return {kind: `status ${status}`};
	}

	if (!isWhole) {
		return {kind: 'cut off'};
	}

	const expected = Array.from({length: stream.eventCount}, (_, index) => eventOf(path, index + 1)).join('');
	if (text === expected) {
		return {kind: 'whole'};
	}

	const count = text.split('\n\n').length - 1;
	return {kind: 'wrong', violation: `MIXED, ORDER: ${id} got 200 and a complete answer with ${count} of ${stream.eventCount} events, which ends with ${JSON.stringify(text.slice(-40))}`};
}

async function play(running) {
	const store = await Store.create(`${running.network}.7`);
	store.put('op', 'config', configOf([routeOf('r-quote', '/cufi501/', {maxAttempts: 2, canResume: true})]));
	const servers = new Servers(running, store);
	for (let count = 0; count < serverCount; count++) {
		await servers.start();
	}

	const hosts = await makeHosts({...running, count: hostCount, store});
	for (const host of hosts) {
		running.own(host.start());
	}

	await Promise.all(hosts.map(async host => host.waitUntilReady(servers.list.map(({id}) => id))));
	running.note('the hosts are ready');
	const streams = [];
	const spells = [];
	const startMs = performance.now();
	let nextSpellMs = startMs + firstSpellMs;
	while (performance.now() < startMs + playMs) {
		streams.push(sendStream(running, hosts[streams.length % hostCount]));
		if (hasTrouble && performance.now() >= nextSpellMs) {
			nextSpellMs += spellEveryMs;
			spells.push(servers.disturb());
		}

		await sleep(1000 / streamsPerS);
	}

	const outcomes = await Promise.all(streams);
	await Promise.all(spells);
	for (const kind of new Set(outcomes.map(outcome => outcome.kind))) {
		running.note(`${outcomes.filter(outcome => outcome.kind === kind).length} of ${outcomes.length} streams: ${kind}`);
	}

	return outcomes.flatMap(({violation}) => violation ?? []);
}

await runCase(folder, limitMs, play);
