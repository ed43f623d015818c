import {createServer, type AddressInfo, type Socket} from 'node:net';
import t, {type Test} from 'tap';
import type {CallEnd} from '../../request/common/gate-actions.js';
import {EngineDriver} from './engine-driver.js';

const head = 'HTTP/1.1 200 OK\r\ncontent-type: application/x-ndjson\r\n';
const decoder = new TextDecoder();

type Ending = (socket: Socket) => void;

/** Makes one generation on a new engine that sends the given lines without a length, and ends its connection in the given way. */
async function generate(t: Test, lines: readonly unknown[], ending: Ending, {resumeOffset = 0, fields = ''} = {}): Promise<{end: CallEnd; text: string}> {
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		sockets.push(socket);
		socket.on('error', () => {
			// Some of these connections are reset on purpose.
		});
		socket.once('data', () => {
			socket.write(`${head}${fields}\r\n${lines.map(line => `${JSON.stringify(line)}\n`).join('')}`);
			if (lines.length === 0) {
				ending(socket);
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const driver = EngineDriver.create(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
	t.teardown(() => {
		driver.dispose();
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});

	let text = '';
	const end = await driver.run({
		type: 'dispatch', dispatchId: 'd', requestId: 'r', workspace: 'w', pipeline: 'p', stage: 's', stageIndex: 0, startWithinMs: 1000, dueInMs: 1000,
		isRepeatable: true, settingsRevision: 1, weight: 1, creditChunks: 64,
		call: {
			kind: 'generate', model: 'm', prompt: new Uint8Array(0), maxTokens: 10, seed: 1, resumeOffset,
		},
	}, {
		started() {
			// The end is decided by the tokens.
		},
		chunk(_units, data) {
			text += decoder.decode(data);
		},
		async ready() {
			// The lines written at once have been read.
			ending(sockets[0]);
		},
	}, new AbortController().signal);
	return {end, text};
}

const token = (index: number) => ({index, text: `t${index} `});
const endAt = (count: number) => ({isEnd: true, count});
const close: Ending = socket => {
	socket.end();
};

const reset: Ending = socket => {
	socket.resetAndDestroy();
};

// Guards against taking the end of an engine's connection, or an end mark that does not match the tokens, for the end of the answer.
t.test('an engine\'s answer is complete only if its end mark matches its tokens', async t => {
	const broken: Array<[string, readonly unknown[], number?]> = [
		['no end mark', [token(0), token(1)]],
		['nothing at all', []],
		['end mark too early', [token(0), endAt(2)]],
		['end mark too late', [token(0), token(1), endAt(1)]],
		['end mark alone', [endAt(3)]],
		['a token is missing', [token(0), token(2), endAt(3)]],
		['a token is repeated', [token(0), token(0), endAt(2)]],
		['a token after the end mark', [token(0), endAt(1), token(1)]],
		['two end marks', [token(0), endAt(1), endAt(1)]],
		['an error after tokens', [token(0), {error: 'out of memory'}]],
		['an end mark without a count', [token(0), {isEnd: true}]],
		['a resumed answer from the start', [token(0), token(1), endAt(2)], 1],
		['a resumed answer with the count of its part', [token(2), endAt(1)], 2],
	];
	for (const [name, lines, resumeOffset] of broken) {
		for (const ending of [close, reset]) {
			t.equal((await generate(t, lines, ending, {resumeOffset})).end.state, 'failed', name);
		}
	}

	t.match(await generate(t, [token(0), token(1), endAt(2)], close), {end: {state: 'completed'}, text: 't0 t1 '});
	t.match(await generate(t, [token(2), token(3), endAt(4)], close, {resumeOffset: 2}), {end: {state: 'completed'}, text: 't2 t3 '});
	t.match(await generate(t, [token(0), endAt(1)], reset), {end: {state: 'completed'}}, 'the end mark proves that it is complete');
});

// Guards against ignoring the length that an engine states.
t.test('an engine\'s answer that is shorter than its length is not complete', async t => {
	for (const ending of [close, reset]) {
		t.equal((await generate(t, [token(0), token(1)], ending, {fields: 'content-length: 500\r\n'})).end.state, 'failed');
	}
});
