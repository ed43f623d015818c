/**
Tests callers that speak HTTP/1.0, with real hosts.

Guards against responses that are cut off and look complete: chunks can't be sent to such callers, so a stream ended with its connection, which the system closes in order for a host that
is killed, and which the host itself closed in order to cut a stream off.
*/
import t, {type Test} from 'tap';
import {completeStream, waitUntil} from './direct-harness.js';
import {makeLongTimeoutFleet} from './direct-load.js';
import {startHost} from './program.js';
import {
	sendRaw, type Host, type RawCall, type RawResponse,
} from './raw-caller.js';
import {ServerStandin} from './server-standin.js';

const requestCount = 5;

type Parsed = {readonly status: number; readonly headers: string; readonly body: string; readonly isWhole: boolean; readonly end: RawResponse['end']};

/** Reads a response as a caller of HTTP/1.0 does: without a length, a connection that is closed in order ends it. */
function parse({text, end}: RawResponse): Parsed {
	const headEnd = text.indexOf('\r\n\r\n');
	const headers = text.slice(0, Math.max(0, headEnd)).toLowerCase();
	const body = headEnd === -1 ? '' : text.slice(headEnd + 4);
	const length = /^content-length: (?<length>\d+)$/mv.exec(headers)?.groups?.length;
	return {
		status: Number(/^http\/1\.1 (?<status>\d+)/v.exec(headers)?.groups?.status ?? 0),
		headers,
		body,
		isWhole: headEnd >= 0 && (length === undefined ? end === 'inOrder' : body.length === Number(length)),
		end,
	};
}

/** Sends the same request several times at once, and returns the responses when all connections have ended. */
async function sendAll(host: Host, call: RawCall): Promise<Parsed[]> {
	const responses = Array.from({length: requestCount}, () => sendRaw(host, {version: '1.0', ...call}));
	await waitUntil(() => responses.every(({end}) => end !== 'open'));
	return responses.map(response => parse(response));
}

async function makeHost(t: Test, pool: string, prepare: (server: ServerStandin, index: number) => void, count = 1): Promise<Host> {
	const fleet = await makeLongTimeoutFleet(t);
	for (const [index, server] of (await fleet.addServers(pool, count, 5)).entries()) {
		prepare(server, index);
	}

	return fleet.addReadyEntry();
}

function checkWhole(t: Test, responses: readonly Parsed[], body: string): void {
	t.equal(responses.filter(response => response.status === 200 && response.isWhole && response.body === body).length, requestCount, 'each is whole');
	t.equal(responses.filter(({headers}) => headers.includes(`content-length: ${body.length}`) && !headers.includes('transfer-encoding')).length, requestCount, 'each has a length');
}

const headersOfCallers: ReadonlyArray<readonly string[]> = [[], ['Connection: keep-alive'], ['TE: chunked']];

for (const isUnframed of [false, true]) {
	t.test(`a stream ${isUnframed ? 'without a length' : 'in chunks'} is delivered whole, with a length`, async t => {
		const host = await makeHost(t, 'model', server => {
			server.isUnframed = isUnframed;
		});
		for (const headers of headersOfCallers) {
			checkWhole(t, await sendAll(host, {path: '/chat/1', headers}), completeStream);
		}
	});

	for (const closes of [false, true]) {
		t.test(`a stream ${isUnframed ? 'without a length' : 'in chunks'} whose server ${closes ? 'closes' : 'resets'} its connection within an event is answered with an error`, async t => {
			const host = await makeHost(t, 'model', server => {
				server.isUnframed = isUnframed;
				server.cutsStream = () => true;
				server.closesCutStreams = closes;
			});
			const responses = await sendAll(host, {path: '/chat/1'});
			t.equal(responses.filter(({status, isWhole}) => status === 200 && isWhole).length, 0, 'none looks whole');
			t.equal(responses.filter(({status, isWhole}) => status === 502 && isWhole).length, requestCount, 'each is an error');
		});
	}

	t.test(`a stream ${isUnframed ? 'without a length' : 'in chunks'} does not look complete when its host is killed`, async t => {
		const server = await ServerStandin.create('model-0', 10);
		t.teardown(() => {
			server.dispose();
		});
		server.isUnframed = isUnframed;
		server.eventCount = 100_000;
		const program = await startHost(t, server);
		const pending = sendAll(program, {path: '/chat/1'});
		await waitUntil(() => server.seen.length === requestCount && server.sentEventCount >= requestCount * 3);
		program.child.kill('SIGKILL');
		const responses = await pending;
		t.equal(responses.filter(({isWhole}) => isWhole).length, 0, 'none looks whole');
	});
}

t.test('a stream whose server crashes is answered with an error', async t => {
	const host = await makeHost(t, 'model', server => {
		server.isUnframed = true;
		server.crashesAfterEvents = 2;
	});
	const responses = await sendAll(host, {path: '/chat/1'});
	t.equal(responses.filter(({status, isWhole}) => status === 200 && isWhole).length, 0, 'none looks whole');
	t.equal(responses.filter(({status, isWhole}) => [502, 503].includes(status) && isWhole).length, requestCount, 'each is an error');
});

t.test('a resumable stream is continued at another server, and delivered whole', async t => {
	const host = await makeHost(t, 'model', server => {
		server.cutsStream = () => true;
	}, 2);
	checkWhole(t, await sendAll(host, {path: '/draft/1'}), completeStream);
});

t.test('an error response to a request for a stream is delivered whole', async t => {
	const host = await makeHost(t, 'model', server => {
		server.fault = 'error';
	});
	const responses = await sendAll(host, {path: '/chat/1'});
	t.equal(responses.filter(({status, isWhole, body, headers}) => status === 500 && isWhole && body === 'failed' && headers.includes('content-length: 6')).length, requestCount);
});

t.test('a plain response, and one to HEAD, are delivered whole', async t => {
	const host = await makeHost(t, 'plain', server => {
		server.fault = 'unframedClose';
	});
	checkWhole(t, await sendAll(host, {path: '/book/1', isPlain: true}), 'half of it');
	const responses = await sendAll(await makeHost(t, 'plain', () => undefined), {path: '/look/1', isPlain: true, method: 'HEAD'});
	t.equal(responses.filter(({status, body, end}) => status === 200 && body === '' && end === 'inOrder').length, requestCount);
});
