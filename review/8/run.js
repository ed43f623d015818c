/** Requests whose prompts share a part that crashes servers: the part is behind the 64th of each prompt. */
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	configOf, note, routeOf, send,
} from '../lib-2/calls.js';
import {addressOf, startFleet} from '../lib-2/fleet.js';
import {hasTrouble, runCase} from '../lib-2/run-case.js';
import {startServer} from '../lib-2/servers.js';
import {startStore} from '../lib-2/store.js';

const hostCount = 2;
const serverCount = 13;
/** Events of a stream, so that most sound streams are complete before the next server crashes. */
const eventCount = 10;
const partCount = 70;
/** Position of the fatal part in the prompts; the last part belongs to the request alone. */
const fatalAt = Number(process.env.PART_AT ?? 66);
const fatalPart = 'fa7a1';
const contactMs = 3000;
const backAfterMs = 3000;
const soundEveryMs = 150;
const fatalEveryMs = 700;
const calmMs = 3000;
const troubleMs = 35_000;
/** BUDGET allows this many requests with the part later than `contactMs` after this many crashes. */
const allowedRequests = 3;
const crashesToCount = 5;

const config = configOf(1, [
	routeOf('draft', 'streaming', 'scieur-llm', {
		timeoutMs: 8000, goalMs: 1600, maxAttempts: 1, isSticky: true,
	}),
], [{name: 'scieur-llm', maxConns: 370, runtime: {slotCount: 64, kvCapacity: 614_608}}]);

/** Returns a prompt: parts that all requests share, and a last one of its own. */
function promptOf(count, isFatal) {
	const parts = Array.from({length: partCount - 1}, (_, index) => `${(4096 + index).toString(16)}:40`);
	if (isFatal) {
		parts[fatalAt] = `${fatalPart}:40`;
	}

	return [...parts, `${(0x10_00_00 + count).toString(16)}:300`].join(',');
}

async function play(atEnd) {
	const store = await startStore(addressOf(0));
	atEnd(() => {
		store.close();
	});
	store.put('op', 'config', config);
	const crashesMs = [];
	const fatalArrivalsMs = [];
	let isOver = false;
	const servers = new Map();
	const start = async index => {
		const server = await startServer(store, {
			kind: 'model', pool: 'scieur-llm', id: `llm-${index}`, address: addressOf(20 + index), behaviour: {eventCount, fatalPart: hasTrouble ? fatalPart : undefined},
		});
		servers.set(index, server);
		if (isOver) {
			server.child.disconnect();
		}

		server.onRun = ({headers}) => {
			if (headers['prompt-prefix'].includes(`${fatalPart}:`)) {
				fatalArrivalsMs.push(performance.now());
			}
		};

		server.onExit = async () => {
			if (!isOver) {
				crashesMs.push(performance.now());
				await sleep(backAfterMs);
				if (!isOver) {
					await start(index);
				}
			}
		};
	};

	atEnd(() => {
		isOver = true;
		for (const {child, hasExited} of servers.values()) {
			if (!hasExited) {
				child.disconnect();
			}
		}
	});
	for (let index = 0; index < serverCount; index++) {
		await start(index);
	}

	const fleet = await startFleet(hostCount, store.port);
	atEnd(async () => fleet.stop());
	await fleet.waitUntilReady();
	note('all hosts are ready');

	const answers = new Map();
	const pending = [];
	let count = 0;
	const take = isFatal => {
		count++;
		const id = `${isFatal ? 'f' : 's'}${count}`;
		const host = fleet.hosts[count % hostCount];
		note(`caller sends ${id} to host ${host.index}`);
		pending.push((async () => {
			const answer = await send(host, {
				method: 'POST', path: `/draft/${count}`, body: `prompt ${count}`, id, deadlineMs: 8000, headers: {'model-name': 'm', 'token-count': '3100,100', 'prompt-prefix': promptOf(count, isFatal)},
			});
			const text = `${isFatal ? 'fatal' : 'sound'}: ${answer.status} ${answer.isWhole ? 'whole' : 'not whole'}`;
			note(`caller of ${id} gets ${text}`);
			answers.set(text, (answers.get(text) ?? 0) + 1);
		})());
	};

	const soundTimer = setInterval(() => {
		take(false);
	}, soundEveryMs);
	await sleep(calmMs);
	const fatalTimer = setInterval(() => {
		take(true);
	}, fatalEveryMs);
	await sleep(troubleMs);
	clearInterval(soundTimer);
	clearInterval(fatalTimer);
	await Promise.race([Promise.all(pending), sleep(9000)]);
	const fromMs = (crashesMs[crashesToCount - 1] ?? Infinity) + contactMs;
	const late = fatalArrivalsMs.filter(atMs => atMs > fromMs).length;
	return {
		isBroken: late > allowedRequests,
		found: `${crashesMs.length} crashes; ${late} requests with the part reached servers later than ${contactMs} ms after crash ${crashesToCount}, ${allowedRequests} are allowed; answers ${JSON.stringify(Object.fromEntries(answers))}`,
	};
}

await runCase(new URL('.', import.meta.url), play);
