/**
A server as a process of its own: of a plain service, of a stage or of a model. It works on some requests at once, queues a few more and
rejects the rest. Its parent is told what it runs, and can change how it behaves.
*/
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const [kind, instanceId, address, version = 'v1', port = '0'] = process.argv.slice(2);
const {slotCount, queueCount} = {
	plain: {slotCount: 6, queueCount: 24}, stage: {slotCount: 1, queueCount: 2}, model: {slotCount: 64, queueCount: 134},
}[kind];
const behaviour = {
	workMs: kind === 'stage' ? 150 : 60,
	eventCount: 20,
	eventMs: 30,
	/** Pause of a stream between its last event and its end, and between its head and its end if no event is left. */
	endPauseMs: 0,
	emptyMs: 0,
	/** What an answer has instead of its body, again and again until the caller closes the connection. */
	endless: undefined,
	/** Status of such answers. */
	endlessStatus: '200 OK',
	/** Headers that all answers carry. */
	headers: {},
	/** Part of a prompt that ends the process when it begins to answer a request with it. */
	fatalPart: undefined,
	/** Body of a request that ends the process some time after it has begun to run, whether or not its caller still waits. */
	fatalBody: undefined,
	fatalMs: 0,
};

let running = 0;
let resultCount = 0;
const waiting = [];
const tell = message => {
	if (process.connected) {
		process.send(message, () => undefined);
	}
};

async function takeSlot() {
	if (running >= slotCount) {
		await new Promise(resolve => {
			waiting.push(resolve);
		});
	} else {
		running++;
	}
}

function freeSlot() {
	const next = waiting.shift();
	if (next) {
		next();
	} else {
		running--;
	}
}

/** Sends the same bytes until the caller closes the connection, as fast as it takes them. */
async function sendWithoutEnd(id, socket, type) {
	const flood = Buffer.from(behaviour.endless.repeat(Math.ceil(65_536 / behaviour.endless.length)));
	socket.write(`HTTP/1.1 ${behaviour.endlessStatus}\r\nAttempt-Id: ${id}\r\nServer-Stamp: stamp.${instanceId}.${id}\r\nContent-Type: ${type}\r\nTransfer-Encoding: chunked\r\n\r\n`);
	while (!socket.destroyed) {
		if (socket.write(flood)) {
			await sleep(0);
		} else {
			await new Promise(resolve => {
				socket.once('drain', resolve);
				socket.once('close', resolve);
			});
		}
	}
}

async function stream(request, response, headers) {
	const first = Number(request.headers['last-event-id'] ?? 0) + 1;
	response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
	response.flushHeaders();
	for (let index = first; index <= behaviour.eventCount && !response.destroyed; index++) {
		await sleep(behaviour.eventMs);
		response.write(`id: ${index}\ndata: ${version} ${instanceId} ${index}\n\n`);
	}

	await sleep(first > behaviour.eventCount ? behaviour.emptyMs : behaviour.endPauseMs);
	response.end();
}

async function run(request, response, body, id) {
	const headers = {'attempt-id': id, 'server-stamp': `stamp.${instanceId}.${id}`, ...behaviour.headers};
	if (kind === 'stage' && request.url === '/v1/stage-free') {
		response.writeHead(200, headers).end('{}');
		return;
	}

	tell({
		type: 'run', id, path: request.url, headers: request.headers, body,
	});
	if (behaviour.fatalBody !== undefined && body === behaviour.fatalBody) {
		await sleep(behaviour.fatalMs);
		process.exit(1); // eslint-disable-line unicorn/no-process-exit
	}

	if (behaviour.endless !== undefined) {
		await sendWithoutEnd(id, request.socket, kind === 'model' ? 'text/event-stream' : 'application/json');
	} else if (kind === 'stage') {
		const {entries} = JSON.parse(body);
		await sleep(behaviour.workMs + (18 * entries.length));
		const answers = entries.map(() => {
			resultCount++;
			return {session: `${address}:${server.address().port}/${instanceId}-${resultCount}`};
		});
		response.writeHead(200, {...headers, 'content-type': 'application/json', 'server-load': `${running},${waiting.length},${slotCount}`});
		response.end(JSON.stringify({entries: answers}));
	} else if (kind === 'model') {
		if (behaviour.fatalPart !== undefined && String(request.headers['prompt-prefix']).split(',').some(part => part.startsWith(`${behaviour.fatalPart}:`))) {
			await sleep(behaviour.eventMs);
			process.exit(1); // eslint-disable-line unicorn/no-process-exit
		}

		await stream(request, response, headers);
	} else {
		await sleep(behaviour.workMs);
		response.writeHead(200, headers);
		response.end(`answer ${instanceId} ${id}`.padEnd(800, '.'));
	}
}

const server = createServer(async (request, response) => {
	const id = String(request.headers['attempt-id'] ?? '');
	const pieces = [];
	for await (const piece of request) {
		pieces.push(piece);
	}

	const notRun = {'attempt-id': id, 'not-executed': '1', ...behaviour.headers};
	if (request.headers['expect-instance'] !== undefined && request.headers['expect-instance'] !== instanceId) {
		response.writeHead(421, notRun).end();
		return;
	}

	if (waiting.length >= queueCount) {
		response.writeHead(503, notRun).end();
		return;
	}

	await takeSlot();
	if (!request.socket.destroyed) {
		await run(request, response, Buffer.concat(pieces).toString(), id);
		tell({type: 'end', id, isWhole: response.writableFinished});
	}

	freeSlot();
});
server.keepAliveTimeout = 5000;
server.listen(Number(port), address, () => {
	tell({type: 'listening', port: server.address().port});
});
process.on('message', change => {
	Object.assign(behaviour, change);
});
process.on('disconnect', () => {
	process.exit();
});
// The parent may have ended while this program was loaded.
if (!process.connected) {
	process.exit(); // eslint-disable-line unicorn/no-process-exit
}
