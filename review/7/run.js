/** A request that crashes the servers that begin to run it comes again and again, and its caller leaves before the crash. */
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
const goalMs = 1600;
/** Callers leave within half of the objective. With STAYS=1 the caller stays, which shows that the request is found out then. */
const leaveMs = process.env.STAYS === '1' ? undefined : 300;
const crashMs = 500;
const fatalBody = 'a prompt that no server survives';
const contactMs = 3000;
const backAfterMs = 3000;
const soundEveryMs = 150;
const fatalEveryMs = 700;
const calmMs = 3000;
const troubleMs = 30_000;
/** BUDGET allows this many retries later than `contactMs` after this many crashes. */
const allowedRequests = 3;
const crashesToCount = 3;

const config = configOf(1, [
	routeOf('draft', 'streaming', 'scieur-llm', {
		timeoutMs: 8000, goalMs, maxAttempts: 1, isSticky: true,
	}),
], [{name: 'scieur-llm', maxConns: 370, runtime: {slotCount: 64, kvCapacity: 614_608}}]);

async function play(atEnd) {
	const store = await startStore(addressOf(0));
	atEnd(() => {
		store.close();
	});
	store.put('op', 'config', config);
	const crashesMs = [];
	const arrivalsMs = [];
	let isOver = false;
	const servers = new Map();
	const start = async index => {
		const server = await startServer(store, {
			kind: 'model', pool: 'scieur-llm', id: `llm-${index}`, address: addressOf(20 + index), behaviour: {fatalBody: hasTrouble ? fatalBody : undefined, fatalMs: crashMs},
		});
		servers.set(index, server);
		server.onRun = ({body}) => {
			if (body === fatalBody) {
				arrivalsMs.push(performance.now());
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
				method: 'POST',
				path: isFatal ? '/draft/f' : `/draft/${count}`,
				body: isFatal ? fatalBody : `prompt ${count}`,
				id,
				deadlineMs: 8000,
				signal: isFatal && leaveMs !== undefined ? AbortSignal.timeout(leaveMs) : undefined,
				headers: {'model-name': 'm', 'token-count': '2890,100', 'prompt-prefix': `${(0x10_00_00 + count).toString(16)}:2890`},
			});
			const text = `${isFatal ? 'fatal' : 'sound'}: ${answer.status} ${answer.isWhole ? 'whole' : 'not whole'}`;
			note(`caller of ${id} gets ${text} ${answer.error}`);
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
	const late = arrivalsMs.filter(atMs => atMs > fromMs).length;
	return {
		isBroken: late > allowedRequests,
		found: `${crashesMs.length} crashes; the request reached servers ${late} times later than ${contactMs} ms after crash ${crashesToCount}, ${allowedRequests} are allowed; answers ${JSON.stringify(Object.fromEntries(answers))}`,
	};
}

await runCase(new URL('.', import.meta.url), play);
