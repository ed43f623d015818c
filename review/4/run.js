/** A caller sends requests with bodies inside the limit of the config, in small chunks. */
import {Agent} from 'node:http';
import {connect} from 'node:net';
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	configOf, note, routeOf, send,
} from '../lib-2/calls.js';
import {addressOf, residentMb, startFleet} from '../lib-2/fleet.js';
import {hasTrouble, runCase} from '../lib-2/run-case.js';
import {startServer} from '../lib-2/servers.js';
import {startStore} from '../lib-2/store.js';

const hostCount = 2;
const calmMs = 3000;
const troubleMs = 60_000;
const plainEveryMs = 80;
/** Size of each body; the config's limit is 4,194,304 bytes. */
const bodyBytes = 4_190_000;
/** Bytes of each chunk, and bodies that are sent to each host at once. */
const chunkBytes = Number(process.env.CHUNK ?? 1);
const uploadCount = Number(process.env.UPLOADS ?? 1);
const uploadDeadlineMs = 8000;
/** Time after which a process that has ended is started again, as the platform does. */
const restartMs = 3000;
/** LOST allows each machine this many requests of kept connections that it closes without an answer. */
const allowedLost = 3;
/** Fault: on two machines at least, processes end by themselves three times in the day. */
const faultMachines = 2;
const faultEnds = 3;

const config = configOf(1, [
	routeOf('upload', 'mutating', 'stock-api', {maxAttempts: 1, timeoutMs: uploadDeadlineMs}),
	routeOf('lookup', 'mutating', 'stock-api', {maxAttempts: 1}),
	routeOf('reserve', 'idempotent', 'stock-api'),
], [{name: 'stock-api', maxConns: 110}]);

/** Sends a body, in chunks or with its length, as fast as the host takes it, and returns the status line of the answer. */
async function upload({address, frontend}, id) {
	const socket = connect(frontend, address);
	let answer = '';
	const ended = new Promise(resolve => {
		socket.on('data', data => {
			answer += data.toString('latin1');
			resolve();
		});
		socket.on('error', ({message}) => {
			answer ||= message;
		});
		socket.on('close', resolve);
		setTimeout(resolve, uploadDeadlineMs);
	});
	const framing = hasTrouble ? 'Transfer-Encoding: chunked' : `Content-Length: ${bodyBytes}`;
	socket.write(`POST /upload/1 HTTP/1.1\r\nHost: stock.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: ${uploadDeadlineMs}\r\nAuthorization: Bearer key-1\r\n${framing}\r\n\r\n`);
	const content = 'x'.repeat(chunkBytes);
	const chunk = hasTrouble ? `${chunkBytes.toString(16)}\r\n${content}\r\n` : content;
	const chunksPerWrite = Math.ceil(4096 / chunkBytes);
	for (let left = Math.floor(bodyBytes / chunkBytes); left > 0 && !socket.destroyed; left -= chunksPerWrite) {
		if (!socket.write(chunk.repeat(Math.min(left, chunksPerWrite)))) {
			await new Promise(resolve => {
				socket.once('drain', resolve);
				socket.once('close', resolve);
			});
		}
	}

	socket.write(hasTrouble ? '0\r\n\r\n' : content.repeat(bodyBytes % chunkBytes));
	await ended;
	socket.destroy();
	return answer.split('\r\n')[0];
}

async function play(atEnd) {
	const store = await startStore(addressOf(0));
	atEnd(() => {
		store.close();
	});
	store.put('op', 'config', config);
	const servers = [];
	for (let index = 0; index < 3; index++) {
		servers.push(await startServer(store, {
			kind: 'plain', pool: 'stock-api', id: `stock-api-${index}`, address: addressOf(20 + index),
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

	const ownEnds = Array.from({length: hostCount}, () => 0);
	const lost = Array.from({length: hostCount}, () => 0);
	const answers = new Map();
	const record = text => {
		answers.set(text, (answers.get(text) ?? 0) + 1);
	};

	const agents = Array.from({length: hostCount}, () => new Agent({keepAlive: true, maxSockets: 40}));
	const pending = [];
	const state = {isOver: false};
	let count = 0;
	const plainTimer = setInterval(() => {
		count++;
		const index = count % hostCount;
		const id = `r${count}`;
		const call = count % 3 === 0 ? {path: '/reserve/1'} : {method: 'POST', path: '/lookup/1', body: 'planks'};
		note(`caller sends ${id} ${call.path} to host ${index}`);
		pending.push((async () => {
			const answer = await send(fleet.hosts[index], {...call, id, agent: agents[index]});
			const ranAt = servers.find(server => server.runs.some(run => run.id === id));
			const text = `${answer.status} ${answer.isWhole ? 'whole' : `not whole: ${answer.error}`}`;
			note(`caller of ${id} gets ${text}${answer.isReused ? ' on a kept connection' : ''}${ranAt ? `, run by ${ranAt.id}` : ''}`);
			record(text.replace(/ECONNREFUSED.*/v, 'ECONNREFUSED'));
			if (answer.status === 0 && answer.isReused && ranAt) {
				lost[index]++;
			}
		})());
	}, plainEveryMs);

	await sleep(calmMs);
	const uploadTo = async (index, serial) => {
		for (let number = 0; !state.isOver; number++) {
			const host = fleet.hosts[index];
			if (host.ended) {
				await sleep(250);
				continue;
			}

			const id = `u${index}.${serial}.${number}`;
			note(`caller begins to send ${id}, a body of ${bodyBytes} bytes ${hasTrouble ? `in chunks of ${chunkBytes}` : 'with its length'}, to host ${index}`);
			const line = await upload(host, id);
			note(`caller of ${id} gets ${line === '' ? 'no answer' : line}`);
			record(`upload: ${line.replace(/ECONNREFUSED.*/v, 'ECONNREFUSED')}`);
			await sleep(500);
		}
	};

	const uploads = [];
	for (const {index} of fleet.hosts) {
		for (let serial = 0; serial < uploadCount; serial++) {
			uploads.push(uploadTo(index, serial));
		}
	}

	const isFault = () => ownEnds.filter(ends => ends >= faultEnds).length >= faultMachines;
	const untilMs = performance.now() + troubleMs;
	while (performance.now() < untilMs && !isFault()) {
		await sleep(250);
		for (const host of fleet.hosts) {
			if (host.ended && performance.now() - host.ended.atMs >= restartMs) {
				ownEnds[host.index]++;
				const reason = /FATAL ERROR: .*/v.exec(host.readOutput())?.[0] ?? '';
				note(`the process of host ${host.index} ended by itself: code ${host.ended.code}, signal ${host.ended.signal} ${reason}; it is started again`);
				fleet.restart(host.index);
			}
		}

		note(`resident MB of the hosts: ${fleet.hosts.map(({child}) => residentMb(child.pid).toFixed(0)).join(' ')}`);
	}

	state.isOver = true;
	clearInterval(plainTimer);
	await Promise.race([Promise.all(pending), sleep(4000)]);
	const isLost = lost.some(each => each > allowedLost);
	return {
		isBroken: isLost || isFault(),
		found: `processes ended by themselves on the hosts ${ownEnds.join(', ')} times (Fault: ${isFault()}); requests of kept connections run by a sound server and closed without an answer ${lost.join(', ')} (LOST: ${isLost}); answers ${JSON.stringify(Object.fromEntries(answers))}`,
	};
}

await runCase(new URL('.', import.meta.url), play);
