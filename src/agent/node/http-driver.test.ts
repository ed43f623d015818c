import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import t, {type Test} from 'tap';
import type {CallEnd} from '../../request/common/gate-actions.js';
import type {DispatchMessage, UpstreamCall} from '../../wire/common/messages.js';
import {HttpDriver} from './http-driver.js';

const callCount = 20;
const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** What the upstream does with its connection once the driver has received the first bytes of the response. */
type Ending = (socket: Socket, stopListening: () => Promise<void>) => Promise<void> | void;

/** What the driver reported about one call. */
type DriverReport = {readonly end: CallEnd; readonly text: string; readonly status: number | undefined};

const httpCall: UpstreamCall = {
	kind: 'http', method: 'GET', path: '/', headers: [], body: new Uint8Array(0),
};
const runCall: UpstreamCall = {kind: 'run', input: encoder.encode('{}')};

function dispatchOf(call: UpstreamCall, isRepeatable: boolean): DispatchMessage {
	return {
		type: 'dispatch', dispatchId: 'dispatch-1', requestId: 'request-1', workspace: 'buyers', pipeline: 'stock', stage: 'stock', stageIndex: 0,
		startWithinMs: 1000, dueInMs: 1000, isRepeatable, settingsRevision: 1, weight: 1, creditChunks: 64, call,
	};
}

/** Makes one call to a new upstream that writes the given bytes, and ends its connection in the given way after they have arrived. */
async function runCallTo(t: Test, bytes: string, ending: Ending, {call = httpCall, isRepeatable = true, endsAtOnce = false} = {}): Promise<DriverReport> {
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		sockets.push(socket);
		socket.on('error', () => {
			// Some of these connections are reset on purpose.
		});
		socket.once('data', () => {
			socket.write(bytes);
			if (endsAtOnce) {
				void ending(socket, stopListening);
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const driver = HttpDriver.create(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
	const stopListening = async () => new Promise<void>(resolve => {
		server.close();
		// The listening socket is closed in a later turn of the event loop.
		setImmediate(resolve);
	});
	t.teardown(() => {
		driver.dispose();
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});

	let text = '';
	let status: number | undefined;
	const end = await driver.run(dispatchOf(call, isRepeatable), {
		started(http) {
			status = http?.status;
			if (!endsAtOnce && bytes.endsWith('\r\n\r\n')) {
				void ending(sockets[0], stopListening);
			}
		},
		chunk(_units, data) {
			text += decoder.decode(data);
			if (!endsAtOnce) {
				void ending(sockets[0], stopListening);
			}
		},
		async ready() {
			// Accepts everything at once.
		},
	}, new AbortController().signal);
	return {end, text, status};
}

async function countCompleted(run: () => Promise<DriverReport>): Promise<number> {
	let count = 0;
	for (let number = 0; number < callCount; number++) {
		const {end} = await run();
		count += end.state === 'completed' ? 1 : 0;
	}

	return count;
}

const reset: Ending = socket => {
	socket.resetAndDestroy();
};

/** The close of all sockets of a process that crashes. */
const crash: Ending = async (socket, stopListening) => {
	await stopListening();
	socket.end();
};

/** A crash in which the listening socket is closed last. */
const crashInSteps: Ending = async (socket, stopListening) => {
	socket.end();
	await sleep(5);
	await stopListening();
};

const close: Ending = socket => {
	socket.end();
};

const keepOpen: Ending = () => {
	// The length of the response ends it.
};

// Guards against taking the reset of a connection for the end of a response that has neither a length nor chunks: the HTTP client reports such a response as complete.
t.test('a response without a length whose connection is reset is not complete', async t => {
	const bytes = 'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nhalf of the ans';
	t.equal(await countCompleted(async () => runCallTo(t, bytes, reset)), 0);
	t.equal(await countCompleted(async () => runCallTo(t, bytes, reset, {call: runCall})), 0);
	t.equal((await runCallTo(t, bytes, reset, {isRepeatable: false})).end.state, 'unknown', 'work that may not run again');
});

// Guards against taking the end of a crashed process for the end of its response: the kernel closes the connections of a process in order, so the close alone proves nothing.
t.test('a response without a length is not complete if the process of its upstream is gone directly after', async t => {
	const bytes = 'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nhalf of the ans';
	t.equal(await countCompleted(async () => runCallTo(t, bytes, crash)), 0);
	t.equal(await countCompleted(async () => runCallTo(t, bytes, crash, {call: runCall})), 0);
	t.equal((await runCallTo(t, bytes, crash, {isRepeatable: false})).end.state, 'unknown', 'work that may not run again');
	t.match(await runCallTo(t, 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole', crash), {end: {state: 'completed'}}, 'its length proves that it is complete');
});

// Guards against a check that comes too early: of 120 processes that were killed, 25 still accepted a connection when the close of another had just been read.
t.test('a response without a length is not complete if the process of its upstream is about to be gone', async t => {
	t.equal(await countCompleted(async () => runCallTo(t, 'HTTP/1.1 200 OK\r\n\r\nhalf of the ans', crashInSteps)), 0);
});

// Guards against taking every `Transfer-Encoding` for chunks: with other codings, or with others after `chunked`, a response ends with its connection.
t.test('a response with transfer codings that do not end in chunks is not complete if its connection is lost', async t => {
	for (const fields of [
		'transfer-encoding: gzip', 'transfer-encoding: identity', 'transfer-encoding: chunked, gzip', 'transfer-encoding: chunked\r\ntransfer-encoding: gzip', 'transfer-encoding:',
	]) {
		for (const ending of [reset, crash]) {
			t.match(await runCallTo(t, `HTTP/1.1 200 OK\r\n${fields}\r\n\r\nhalf of the ans`, ending), {end: {state: 'failed'}}, fields);
		}
	}

	for (const fields of ['transfer-encoding: gzip, chunked', 'transfer-encoding: gzip\r\ntransfer-encoding: chunked', 'Transfer-Encoding: Chunked']) {
		const bytes = `HTTP/1.1 200 OK\r\n${fields}\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`;
		t.match(await runCallTo(t, bytes, keepOpen), {end: {state: 'completed'}, text: 'whole'}, fields);
	}
});

// Guards against failing complete responses: of those without a body nothing but the head comes, and the connection stays open.
// Guards against a reset that is reported as an orderly close: Node does so if the reset arrives together with the last data.
t.test('a response without a length whose connection is reset with its last data is not complete', async t => {
	for (const length of [5, 3000, 300_000]) {
		const bytes = `HTTP/1.1 200 OK\r\n\r\n${'x'.repeat(length)}`;
		t.equal(await countCompleted(async () => runCallTo(t, bytes, reset, {endsAtOnce: true})), 0, `${length} bytes`);
	}
});

t.test('a response is complete by its length, by its chunks, by the orderly close of its connection, or as it has no body', async t => {
	const whole = [
		['HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole', keepOpen],
		['HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n', keepOpen],
		['HTTP/1.1 200 OK\r\n\r\nwhole', close],
		['HTTP/1.0 200 OK\r\n\r\nwhole', close],
	] as const;
	for (const [bytes, ending] of whole) {
		t.match(await runCallTo(t, bytes, ending), {end: {state: 'completed'}, text: 'whole', status: 200}, bytes);
	}

	t.match(await runCallTo(t, 'HTTP/1.1 204 No Content\r\n\r\n', keepOpen), {end: {state: 'completed'}, text: '', status: 204});
	t.match(await runCallTo(t, 'HTTP/1.1 304 Not Modified\r\n\r\n', keepOpen), {end: {state: 'completed'}, text: '', status: 304});
	t.match(await runCallTo(t, 'HTTP/1.1 200 OK\r\n\r\n', keepOpen, {call: {...httpCall, method: 'HEAD'}}), {end: {state: 'completed'}, text: '', status: 200});
});

// Guards against taking a connection's end for the end of a response that states its own.
t.test('a response with a length or in chunks whose connection ends early is not complete', async t => {
	for (const bytes of ['HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n']) {
		for (const ending of [reset, close]) {
			t.match(await runCallTo(t, bytes, ending), {end: {state: 'failed'}});
		}
	}
});

// Guards against passing on the body of a redirect, of an accepted work or of a part as the output of a worker's stage: only errors were told from results.
t.test('a worker\'s response is its result only if its status says so', async t => {
	const bytesOf = (status: number) => `HTTP/1.1 ${status} X\r\n${status === 304 ? '' : 'content-length: 5\r\n'}\r\n${status === 304 ? '' : 'other'}`;
	for (const status of [202, 206, 300, 301, 302, 303, 304, 307, 308, 400, 500]) {
		t.strictSame((await runCallTo(t, bytesOf(status), keepOpen, {call: runCall})).end, {state: 'failed', reason: `status ${status}`});
	}

	for (const status of [200, 201, 203]) {
		t.match(await runCallTo(t, bytesOf(status), keepOpen, {call: runCall}), {end: {state: 'completed'}, text: 'other'});
	}

	for (const status of [202, 206, 302, 500]) {
		t.match(await runCallTo(t, bytesOf(status), keepOpen), {end: {state: 'completed'}, text: 'other', status}, 'a plain service\'s response is passed on with its status');
	}
});
