/** Tests servers that send bytes which are no response, or no event, until the host closes the connection, beside healthy servers of the same pool. */
import process from 'node:process';
import t, {type Test} from 'tap';
import {
	completeStream, sendRequest, waitUntil, type CallerCall, type CallerResponse, type DirectFleet, type RunningEntry,
} from './direct-harness.js';
import {
	addHosts, makeFleet, plainCall, stepsCall, streamOf, type MakeCall,
} from './direct-load.js';
import {EndlessServer, type EndlessResponse} from './endless-server.js';
import type {ServerStandin} from './server-standin.js';

/** Bytes that a connection may take of what is no response, besides what the buffers of the operating system hold. */
const maxTakenBytes = 16 * 1024 * 1024;
/** The same of a response body, of which calls of steps accept as much as this. */
const maxTakenBodyBytes = 2 * 16 * 1024 * 1024;
/** Growth of the memory of the whole process, which also holds the stand-ins: a few responses of the largest size that is accepted. */
const maxGrowthBytes = 160 * 1024 * 1024;
const slowMs = 50;
const streamHead = (id: string) => `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n`;
const chunkedHead = (id: string, status = '200 OK') => `HTTP/1.1 ${status}\r\nAttempt-Id: ${id}\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n`;
const lengthHead = (id: string, status = '200 OK') => `HTTP/1.1 ${status}\r\nAttempt-Id: ${id}\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok`;
const notRunHead = (id: string, status: string) => `HTTP/1.1 ${status}\r\nAttempt-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 99999999999\r\n\r\n`;

type Kind = {readonly name: string; readonly respond: (id: string) => EndlessResponse};

/** Bytes that are no part of any body, besides what one frames. */
const framings: readonly Kind[] = [
	{name: 'garbage before a status line', respond: () => ({begin: '', repeated: 'no response '})},
	{name: 'blank lines before a status line', respond: () => ({begin: '', repeated: '\r\n'})},
	{name: 'a status line', respond: () => ({begin: 'HTTP/1.1 200 ', repeated: 'OK '})},
	{name: 'one header', respond: () => ({begin: 'HTTP/1.1 200 OK\r\nx: ', repeated: 'long '})},
	{name: 'headers', respond: () => ({begin: 'HTTP/1.1 200 OK\r\n', repeated: 'x: y\r\n'})},
	{name: 'responses of status 100', respond: () => ({begin: '', repeated: 'HTTP/1.1 100 Continue\r\n\r\n'})},
	{name: 'responses of status 102', respond: () => ({begin: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n'})},
	{name: 'responses of status 103', respond: () => ({begin: '', repeated: 'HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n'})},
	{name: 'a chunk extension', respond: id => ({begin: `${chunkedHead(id)}5;x=`, repeated: 'long'})},
	{name: 'trailers', respond: id => ({begin: `${chunkedHead(id)}2\r\nok\r\n0\r\n`, repeated: 'x: y\r\n'})},
];

/** Bodies without an end. */
const bodies: readonly Kind[] = [
	{name: 'a chunked body', respond: id => ({begin: chunkedHead(id), repeated: `1000\r\n${'bytes678'.repeat(512)}\r\n`})},
	{name: 'a body without a length', respond: id => ({begin: streamHead(id).replace('Content-Type: text/event-stream\r\n', ''), repeated: 'bytes'})},
	{name: 'the body of an error', respond: id => ({begin: chunkedHead(id, '500 Internal Server Error'), repeated: `1000\r\n${'bytes678'.repeat(512)}\r\n`})},
	{name: 'the body of a rejection', respond: id => ({begin: chunkedHead(id, '404 Not Found'), repeated: `1000\r\n${'bytes678'.repeat(512)}\r\n`})},
];

/** What follows a complete response. */
const followers: readonly Kind[] = [
	{name: 'a body behind its length', respond: id => ({begin: lengthHead(id), repeated: 'bytes'})},
	{name: 'responses behind the response', respond: id => ({begin: lengthHead(id), repeated: 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'})},
	{name: 'blank lines behind the response', respond: id => ({begin: lengthHead(id), repeated: '\r\n'})},
];

const notRun: readonly Kind[] = ['503 Service Unavailable', '429 Too Many Requests', '421 Misdirected Request']
	.map(status => ({name: `the body of a ${status.slice(0, 3)} that reports the call as not run`, respond: id => ({begin: notRunHead(id, status), repeated: 'full '})}));

/** What is no event in an event stream. */
const eventless: readonly Kind[] = [
	{name: 'comments', respond: id => ({begin: streamHead(id), repeated: ': still here\n\n'})},
	{name: 'one comment', respond: id => ({begin: `${streamHead(id)}:`, repeated: ' still here'})},
	{name: 'blank lines', respond: id => ({begin: streamHead(id), repeated: '\n\n'})},
	{name: 'fields without data', respond: id => ({begin: streamHead(id), repeated: 'retry: 100\n\n'})},
	{name: 'one event', respond: id => ({begin: `${streamHead(id)}id: 1\ndata: `, repeated: 'long '})},
	{name: 'lines of one event', respond: id => ({begin: `${streamHead(id)}id: 1\n`, repeated: 'data: long\n'})},
];

/** Sends the same bytes slowly, so that none of them is the last for long. */
const slowly = ({name, respond}: Kind): Kind => ({name: `${name}, slowly`, respond: id => ({...respond(id), everyMs: slowMs})});

const callOf = (path: string): MakeCall => id => ({
	method: 'POST', path, id, body: 'x',
});
const chatCall: MakeCall = id => ({...streamOf(id), path: '/chat/1'});
const samePromptOf: MakeCall = id => ({...streamOf(id), headers: {...streamOf(id).headers, 'prompt-prefix': 'shared:10,last:5'}});

type Scene = {readonly fleet: DirectFleet; readonly host: RunningEntry; readonly endless: EndlessServer; readonly healthy: readonly ServerStandin[]};

/** Starts a host with one faulty and two healthy servers of a pool. */
async function makeScene(t: Test, pool: string, kind: Kind): Promise<Scene> {
	const fleet = await makeFleet(t);
	const endless = await EndlessServer.create(kind.respond);
	t.teardown(() => {
		endless.dispose();
	});
	const healthy = await fleet.addServers(pool, 2);
	fleet.store.put('servers', 'endless', {...healthy[0].entry(pool), address: endless.address});
	if (pool === 'stage') {
		await fleet.addServers('model', 1);
	}

	const [host] = await addHosts(fleet, 1, () => ({repeats: {ratio: 1, slack: 1000, windowMs: 10_000}}));
	await waitUntil(() => host.lines.some(line => line.includes('"endless"')));
	return {
		fleet, host, endless, healthy,
	};
}

/** Sends requests, some at a time, and returns their responses in order. */
async function sendAll(host: RunningEntry, calls: readonly CallerCall[], atOnce: number): Promise<CallerResponse[]> {
	const responses: CallerResponse[] = [];
	for (let index = 0; index < calls.length; index += atOnce) {
		responses.push(...await Promise.all(calls.slice(index, index + atOnce).map(async call => sendRequest(host, call))));
	}

	return responses;
}

/** Sends requests until the faulty server has got one of them; they are distributed at random. */
async function sendUntilReached({host, endless}: Scene, makeCall: MakeCall): Promise<CallerResponse[]> {
	const responses: CallerResponse[] = [];
	while (endless.requestCount === 0) {
		responses.push(...await sendAll(host, callsOf(makeCall, 8), 4));
	}

	return responses;
}

const callsOf = (makeCall: MakeCall, count: number) => Array.from({length: count}, (_, index) => makeCall(`e${index}`));

/** Checks that the host has closed all connections that the server floods, has taken little of them, and that its process has kept its size. */
async function checkBounds(t: Test, {endless}: Scene, startBytes: number, maxBytes = maxTakenBytes): Promise<void> {
	await waitUntil(() => endless.openCount === 0);
	t.ok(endless.maxTakenBytes <= maxBytes, `${endless.maxTakenBytes} bytes of one response were taken`);
	const growthBytes = process.memoryUsage.rss() - startBytes;
	t.ok(growthBytes <= maxGrowthBytes, `the process grew by ${growthBytes} bytes`);
}

const isServed = ({status, isWhole, text}: CallerResponse) => status === 200 && isWhole && (text === completeStream || text.startsWith('answer of plain-'));
const isHonest = (response: CallerResponse) => isServed(response) || response.status >= 400 || !response.isWhole;

/*
Guards against a host that reads what a faulty server sends until the request's deadline: bytes that frame no response had no bound.
*/
for (const kind of [...framings, ...notRun]) {
	t.test(`${kind.name} without an end, from one of three plain servers`, async t => {
		const startBytes = process.memoryUsage.rss();
		const scene = await makeScene(t, 'plain', kind);
		const repeatable = await sendUntilReached(scene, plainCall);
		t.ok(repeatable.every(response => isServed(response)), 'requests that may be repeated are served');
		const once = await sendAll(scene.host, callsOf(callOf('/book/1'), 12), 4);
		t.ok(once.every(response => isHonest(response)), 'none of the others gets a response that is not its own');
		await checkBounds(t, scene, startBytes);
	});
}

/* Guards against a request that waits for its deadline although the head of the response proves that it was not run, and could be sent to another server. */
for (const kind of [...notRun, ...notRun.map(each => slowly(each))]) {
	t.test(`${kind.name} without an end is not waited for`, async t => {
		const scene = await makeScene(t, 'plain', kind);
		const responses = await sendUntilReached(scene, callOf('/book/1'));
		t.ok(responses.every(response => isServed(response) || response.status === 503), 'each is served by another server or refused');
		await waitUntil(() => scene.endless.openCount === 0);
	});
}

for (const kind of bodies) {
	t.test(`${kind.name} without an end, from one of three plain servers`, async t => {
		const startBytes = process.memoryUsage.rss();
		const scene = await makeScene(t, 'plain', kind);
		const responses = [...await sendUntilReached(scene, plainCall), ...await sendAll(scene.host, callsOf(callOf('/book/1'), 8), 4)];
		t.ok(responses.every(response => isHonest(response)), 'no response is taken for whole');
		await waitUntil(() => scene.endless.openCount === 0);
		const growthBytes = process.memoryUsage.rss() - startBytes;
		t.ok(growthBytes <= 2 * maxGrowthBytes, `the process grew by ${growthBytes} bytes`);
	});
}

for (const kind of followers) {
	t.test(`${kind.name} without an end, from one of three plain servers`, async t => {
		const startBytes = process.memoryUsage.rss();
		const scene = await makeScene(t, 'plain', kind);
		const responses = [...await sendUntilReached(scene, plainCall), ...await sendAll(scene.host, callsOf(callOf('/book/1'), 12), 4)];
		t.ok(responses.every(response => isServed(response) || response.text === 'ok' || response.status >= 400), 'none gets what follows a response');
		await checkBounds(t, scene, startBytes);
	});
}

/*
Guards against streams that fail because one server sends comments: they counted as a response that goes on, so that no other server was tried, and as life of
the server, so that it drew nearly all new streams.
*/
for (const kind of [...eventless, ...eventless.map(each => slowly(each))]) {
	for (const [prompts, makeCall] of [['the same prompt', samePromptOf], ['their own prompts', streamOf]] as const) {
		t.test(`${kind.name} without an end, from one of three model servers, to streams with ${prompts}`, async t => {
			const startBytes = process.memoryUsage.rss();
			const scene = await makeScene(t, 'model', kind);
			const responses = await sendAll(scene.host, callsOf(makeCall, 24), 4);
			t.equal(responses.filter(response => isServed(response)).length, 24, 'all are served');
			t.ok(scene.endless.requestCount <= 12, `the server got ${scene.endless.requestCount} requests: it draws no work`);
			await checkBounds(t, scene, startBytes);
		});
	}
}

/* The same for streams that may not be sent again: what the server has begun can't be saved, but it draws no work. */
for (const kind of eventless.slice(0, 2).flatMap(each => [each, slowly(each)])) {
	t.test(`${kind.name} without an end, from one of three model servers, to streams that may not be sent again`, async t => {
		const startBytes = process.memoryUsage.rss();
		const scene = await makeScene(t, 'model', kind);
		const responses = await sendAll(scene.host, callsOf(chatCall, 16), 4);
		t.ok(responses.every(response => isHonest(response)), 'no response is taken for whole');
		t.ok(scene.endless.requestCount <= 8, `the server got ${scene.endless.requestCount} requests: it draws no work`);
		await checkBounds(t, scene, startBytes);
	});
}

/* Guards against calls of steps that a faulty server holds up: what is no response had no bound, as in other calls. */
for (const kind of [...framings, ...bodies.slice(0, 1), ...notRun.slice(0, 1), slowly(notRun[0])]) {
	t.test(`${kind.name} without an end, from one of three servers of steps`, async t => {
		const startBytes = process.memoryUsage.rss();
		const scene = await makeScene(t, 'stage', kind);
		const responses = await sendAll(scene.host, callsOf(stepsCall, 12), 4);
		t.ok(responses.every(response => isHonest(response)), 'no response is taken for whole');
		t.ok(responses.filter(response => isServed(response)).length >= 8, 'most are served');
		t.ok(scene.endless.requestCount > 0, 'the server got calls');
		await checkBounds(t, scene, startBytes, maxTakenBodyBytes);
	});
}
