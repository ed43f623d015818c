/** Tests agents whose upstream sends bytes that are no response, or no token, until the agent closes the connection. */
import process from 'node:process';
import t, {type Test} from 'tap';
import {EngineDriver} from '../src/agent/node/engine-driver.js';
import {HttpDriver} from '../src/agent/node/http-driver.js';
import type {CallEnd} from '../src/request/common/gate-actions.js';
import type {DispatchMessage, UpstreamCall} from '../src/wire/common/messages.js';
import {EndlessServer, type EndlessResponse} from './platform/endless-server.js';

/** Bytes that a connection may take of what is no response, besides what the buffers of the operating system hold. */
const maxTakenBytes = 16 * 1024 * 1024;
const maxGrowthBytes = 160 * 1024 * 1024;
/** A call that the agent does not end by itself is ended after this time, as at a deadline. */
const deadlineMs = 3000;
const callsAtOnce = 4;

const httpCall: UpstreamCall = {
	kind: 'http', method: 'GET', path: '/', headers: [], body: new Uint8Array(0),
};
const runCall: UpstreamCall = {kind: 'run', input: new TextEncoder().encode('{}')};
const generateCall: UpstreamCall = {
	kind: 'generate', model: 'm', prompt: new Uint8Array(0), maxTokens: 10, seed: 1, resumeOffset: 0,
};

const dispatchOf = (call: UpstreamCall): DispatchMessage => ({
	type: 'dispatch', dispatchId: 'd', requestId: 'r', workspace: 'w', pipeline: 'p', stage: 's', stageIndex: 0, startWithinMs: 1000, dueInMs: 1000,
	isRepeatable: true, settingsRevision: 1, weight: 1, creditChunks: 64, call,
});

const chunked = 'Transfer-Encoding: chunked\r\n\r\n';
const framings: Readonly<Record<string, EndlessResponse>> = {
	'garbage before a status line': {begin: '', repeated: 'no response '},
	'blank lines before a status line': {begin: '', repeated: '\r\n'},
	'a status line': {begin: 'HTTP/1.1 200 ', repeated: 'OK '},
	'one header': {begin: 'HTTP/1.1 200 OK\r\nx: ', repeated: 'long '},
	headers: {begin: 'HTTP/1.1 200 OK\r\n', repeated: 'x: y\r\n'},
	'responses of status 102': {begin: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n'},
	'responses of status 103': {begin: '', repeated: 'HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n'},
	'a chunk extension': {begin: `HTTP/1.1 200 OK\r\n${chunked}5;x=`, repeated: 'long'},
	trailers: {begin: `HTTP/1.1 200 OK\r\n${chunked}2\r\n{}\r\n0\r\n`, repeated: 'x: y\r\n'},
};
const tokenless: Readonly<Record<string, EndlessResponse>> = {
	'a line': {begin: 'HTTP/1.1 200 OK\r\n\r\n', repeated: 'long '},
	'blank lines': {begin: 'HTTP/1.1 200 OK\r\n\r\n', repeated: '\n\n'},
	'the body of an error': {begin: 'HTTP/1.1 503 Full\r\n\r\n', repeated: '     '},
};
const states: Readonly<Record<string, EndlessResponse>> = {
	'a state': {begin: 'HTTP/1.1 200 OK\r\n\r\n{', repeated: '     '},
	'the body of an error': {begin: 'HTTP/1.1 500 Failed\r\n\r\n{', repeated: '     '},
};

type Driver = HttpDriver | EngineDriver;

/** Starts an upstream and a driver that calls it. */
async function makeUpstream(t: Test, response: EndlessResponse, create: (origin: string) => Driver): Promise<{readonly endless: EndlessServer; readonly driver: Driver}> {
	const endless = await EndlessServer.create(() => response);
	const driver = create(`http://${endless.address}`);
	t.teardown(() => {
		driver.dispose();
		endless.dispose();
	});
	return {endless, driver};
}

async function run(driver: Driver, call: UpstreamCall): Promise<CallEnd> {
	return driver.run(dispatchOf(call), {started: () => undefined, chunk: () => undefined, ready: async () => undefined}, AbortSignal.timeout(deadlineMs));
}

/** Runs several calls at once, and checks that little was taken of each response. */
async function checkCalls(t: Test, endless: EndlessServer, call: () => Promise<unknown>): Promise<void> {
	const startBytes = process.memoryUsage.rss();
	await Promise.all(Array.from({length: callsAtOnce}, async () => call()));
	t.ok(endless.maxTakenBytes <= maxTakenBytes, `${endless.maxTakenBytes} bytes of one response were taken`);
	const growthBytes = process.memoryUsage.rss() - startBytes;
	t.ok(growthBytes <= maxGrowthBytes, `the process grew by ${growthBytes} bytes`);
}

const createHttp = (origin: string) => HttpDriver.create(origin);
const createEngine = (origin: string) => EngineDriver.create(origin);

/* Guards against an agent that reads what frames no response until the deadline of the call. */
for (const [name, response] of Object.entries(framings)) {
	for (const [upstream, create, call] of [['a service', createHttp, httpCall], ['a worker', createHttp, runCall], ['an engine', createEngine, generateCall]] as const) {
		t.test(`${name} without an end from ${upstream}`, async t => {
			const {endless, driver} = await makeUpstream(t, response, create);
			await checkCalls(t, endless, async () => {
				const {state} = await run(driver, call);
				t.not(state, 'completed');
			});
		});
	}
}

/* Guards against an agent that keeps all of a line without an end, or of the body of an error, and ends with its upstream. */
for (const [name, response] of Object.entries(tokenless)) {
	t.test(`${name} without an end in place of tokens`, async t => {
		const {endless, driver} = await makeUpstream(t, response, createEngine);
		await checkCalls(t, endless, async () => {
			const {state} = await run(driver, generateCall);
			t.not(state, 'completed');
		});
	});
}

/* Guards against an agent that keeps all of a state, which it asks for all the time. */
for (const [name, response] of Object.entries({...framings, ...states})) {
	for (const [upstream, create] of [['a service', createHttp], ['an engine', createEngine]] as const) {
		t.test(`${name} without an end in place of the state of ${upstream}`, async t => {
			const {endless, driver} = await makeUpstream(t, response, create);
			await checkCalls(t, endless, async () => {
				t.equal(await driver.readState(), undefined);
			});
		});
	}
}

t.test('a worker\'s failure whose body has no end is reported', async t => {
	const {endless, driver} = await makeUpstream(t, {begin: 'HTTP/1.1 500 Failed\r\n\r\n', repeated: 'failed '}, createHttp);
	await checkCalls(t, endless, async () => {
		const {state} = await run(driver, runCall);
		t.equal(state, 'failed');
	});
});
