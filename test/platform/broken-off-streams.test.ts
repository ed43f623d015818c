/**
Tests streams whose servers end their calls in every way, with a real host: the first call of a stream, and the calls that continue it.

Guards against a response that has begun and is passed on as whole although events are missing: the end of another response, such as an error of the
server that was to continue the stream, was taken for its end. Guards also against bytes of such responses within a stream.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {SeededRandom} from '../../src/base/common/random.js';
import {longTimeoutConfig, waitUntil, type RunningEntry} from './direct-harness.js';
import {addHosts, makeFleet} from './direct-load.js';

const eventCount = 5;
const deadlineMs = 10_000;
const softwareVersion = 'v1';

/** Where a response is cut; `event` is within an event, `end` before the last bytes of the message. */
type CutPlace = 'beforeHead' | 'head' | 'afterHead' | 'boundary' | 'event' | 'end';
type Cut = {readonly place: CutPlace; readonly how: 'FIN' | 'RST'; readonly pauseMs: number};
type Framing = 'chunked' | 'length' | 'none';

/** What a server sends for one call. */
type Answer = {
	readonly status: number;
	readonly headers?: Record<string, string>;
	readonly isSigned?: boolean;
	readonly id?: 'own' | 'foreign' | 'none';
	/** The remaining events of the stream, or a text. */
	readonly body: 'events' | {readonly text: string};
	readonly framing: Framing;
	readonly cut?: Cut;
	/** Number of events sent before the cut. */
	readonly eventsBeforeCut?: number;
	/** Where a call that continues a stream begins instead of behind the last event of its caller. */
	readonly start?: 'again' | 'repeat' | 'gap';
	readonly hasNoIds?: boolean;
	/** Whether the connection stays open after a whole response with a framing. */
	readonly isKept?: boolean;
};

/** Makes an answer of one kind; random choices vary what doesn't matter for its kind. */
type AnswerKind = (random: SeededRandom) => Answer;

type SceneRoute = {readonly path: string; readonly isResumable: boolean; readonly hasSteps: boolean};

const routes: readonly SceneRoute[] = [
	{path: '/draft/1', isResumable: true, hasSteps: false},
	{path: '/staged/1', isResumable: true, hasSteps: true},
	{path: '/chat/1', isResumable: false, hasSteps: false},
	{path: '/fixed/1', isResumable: false, hasSteps: true},
];

/** One request with the answers of its calls in order; further calls get the rest of the stream. */
type Scene = {readonly id: string; readonly route: SceneRoute; readonly answers: readonly Answer[]};

/** What a caller received, read from the bytes of its connection. */
type Received = {readonly status: number; readonly headers: ReadonlyMap<string, string>; readonly body: string; readonly isWhole: boolean};

const eventsOf = (id: string, first = 1) => Array.from({length: Math.max(0, eventCount + 1 - first)}, (_, index) => `id: ${first + index}\ndata: event ${first + index} of ${id}\n\n`);

const stampOf = (id: string) => `stamp of ${id}`;

const pick = <T>(random: SeededRandom, items: readonly T[]): T => items[random.int(items.length)];
const isLikely = (random: SeededRandom) => random.next() < 0.5;
const anyFraming = (random: SeededRandom) => pick<Framing>(random, ['chunked', 'length', 'none']);
const anyCut = (random: SeededRandom, place: CutPlace, how = pick<Cut['how']>(random, ['FIN', 'RST'])): Cut => ({place, how, pauseMs: pick(random, [0, 5])});

const errorAnswer = (status: number, more: Partial<Answer> = {}): AnswerKind => random => ({
	status,
	isSigned: isLikely(random),
	body: {text: pick(random, ['', 'failed\n', 'id: 1\ndata: no event of a stream\n\n', '<html>\n\n</html>'])},
	framing: anyFraming(random),
	isKept: isLikely(random),
	...more,
});

const notRun = {'not-executed': '1'} as const;
const eventStream = {'content-type': 'text/event-stream'} as const;

const successAnswer = (more: Partial<Answer>): AnswerKind => random => ({
	status: 200, isSigned: true, headers: eventStream, body: 'events', framing: anyFraming(random), isKept: isLikely(random), ...more,
});

const cutErrorAnswer = (place: CutPlace): AnswerKind => random => ({
	...errorAnswer(pick(random, [500, 502, 404]), {framing: pick(random, ['chunked', 'length']), body: {text: 'failed\n\nfor a reason\n\n'}})(random), cut: anyCut(random, place),
});

/** A stream that is cut. Without a framing an orderly close between events is the end of a whole response, so it isn't generated. */
const cutStream = (place: CutPlace): AnswerKind => random => {
	const isFramed = place === 'end' || isLikely(random);
	const framing = isFramed ? pick<Framing>(random, ['chunked', 'length']) : 'none';
	const cut = anyCut(random, place, framing === 'none' && place !== 'event' ? 'RST' : undefined);
	return {
		...successAnswer({})(random), framing, eventsBeforeCut: random.int(eventCount), cut,
	};
};

const answerKinds: Readonly<Record<string, AnswerKind>> = {
	'status 500': errorAnswer(500),
	'500 with a signature': errorAnswer(500, {isSigned: true}),
	'500 of another request': errorAnswer(500, {id: 'foreign'}),
	'status 502': errorAnswer(502, {id: 'none'}),
	'status 504': errorAnswer(504),
	'status 404': errorAnswer(404),
	'status 400': errorAnswer(400),
	'400 not run': errorAnswer(400, {headers: notRun}),
	'status 409': errorAnswer(409),
	'409 not run': errorAnswer(409, {headers: notRun}),
	'503 not run': errorAnswer(503, {headers: notRun}),
	'503 without proof': errorAnswer(503),
	'429 not run': errorAnswer(429, {headers: notRun}),
	'429 without proof': errorAnswer(429),
	'status 408': errorAnswer(408),
	'status 421': errorAnswer(421),
	'status 301': errorAnswer(301, {headers: {location: '/elsewhere'}}),
	'status 304': errorAnswer(304, {body: {text: ''}, framing: 'length'}),
	'status 204': successAnswer({
		status: 204, headers: {}, body: {text: ''}, framing: 'none', isKept: false,
	}),
	'200 without events': successAnswer({body: {text: ''}}),
	'200 without events or content type': successAnswer({headers: {}, body: {text: ''}}),
	'200 that is a page': successAnswer({headers: {'content-type': 'text/html'}, body: {text: '<html>working</html>'}}),
	'200 that is a page with blank lines': successAnswer({headers: {'content-type': 'text/html'}, body: {text: '<html>\n\n</html>\n\n'}}),
	'200 that is JSON': successAnswer({headers: {'content-type': 'application/json'}, body: {text: '{"message":"working"}\n\n'}}),
	'200 without a signature': successAnswer({isSigned: false}),
	'200 of another request': successAnswer({id: 'foreign'}),
	'200 that is encoded': successAnswer({headers: {...eventStream, 'content-encoding': 'gzip'}}),
	'a cut before the head': cutStream('beforeHead'),
	'a cut in the head': cutStream('head'),
	'a cut after the head': cutStream('afterHead'),
	'a cut between events': cutStream('boundary'),
	'a cut within an event': cutStream('event'),
	'a cut before the last bytes': cutStream('end'),
	'an error that is cut in its head': cutErrorAnswer('head'),
	'an error that is cut after its head': cutErrorAnswer('afterHead'),
	'an error that is cut in its body': cutErrorAnswer('boundary'),
	'an error that is cut before its last bytes': cutErrorAnswer('end'),
	'a stream that begins again': successAnswer({start: 'again'}),
	'a stream that repeats an event': successAnswer({start: 'repeat'}),
	'a stream that leaves out an event': successAnswer({start: 'gap'}),
	'a stream without ids': successAnswer({hasNoIds: true}),
};

/** Returns the first event that an answer sends, given the last event that the caller of the stream has; 0 if it has none. */
function firstEventOf({start}: Answer, lastEvent: number): number {
	if (lastEvent === 0 || start === undefined) {
		return lastEvent + 1;
	}

	return {again: 1, repeat: lastEvent, gap: lastEvent + 2}[start];
}

const answerKindNames = Object.keys(answerKinds);

/** The pieces of the body that a server sends: events, or a text. */
function piecesOf({body, hasNoIds}: Answer, id: string, firstEvent: number): string[] {
	if (body === 'events') {
		const events = eventsOf(id, firstEvent);
		return hasNoIds && firstEvent > 1 ? events.map(event => event.slice(event.indexOf('\n') + 1)) : events;
	}

	return body.text === '' ? [] : [body.text];
}

function headersOf({headers, isSigned, id = 'own', framing, isKept, cut}: Answer, requestId: string, bodyBytes: number): Record<string, string> {
	return {
		...(id !== 'none' && {'attempt-id': id === 'own' ? requestId : 'another-request'}),
		...(isSigned && {'server-stamp': stampOf(requestId)}),
		...headers,
		...(framing === 'chunked' && {'transfer-encoding': 'chunked'}),
		...(framing === 'length' && {'content-length': String(bodyBytes)}),
		connection: isKept && cut === undefined && framing !== 'none' ? 'keep-alive' : 'close',
	};
}

/** The bytes of an answer up to its cut, in the parts in which they are written. */
function bytesOf(answer: Answer, requestId: string, firstEvent: number): string[] {
	const pieces = piecesOf(answer, requestId, firstEvent);
	const headers = headersOf(answer, requestId, pieces.join('').length);
	const head = [`HTTP/1.1 ${answer.status} Status`, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), '', ''].join('\r\n');
	const frame = (piece: string) => answer.framing === 'chunked' ? `${piece.length.toString(16)}\r\n${piece}\r\n` : piece;
	const body = pieces.map(piece => frame(piece));
	const lastChunk = answer.framing === 'chunked' ? ['0\r\n\r\n'] : [];
	const sent = body.slice(0, answer.eventsBeforeCut ?? 0);
	switch (answer.cut?.place) {
		case undefined: {
			return [head, ...body, ...lastChunk];
		}

		case 'beforeHead': {
			return [];
		}

		case 'head': {
			return [head.slice(0, -3)];
		}

		case 'afterHead': {
			return [head];
		}

		case 'boundary': {
			return [head, ...sent];
		}

		case 'event': {
			// Within the next event, and for the last bytes of the last one within the blank line that ends it.
			return [head, ...sent, ...body.slice(sent.length, sent.length + 1).map(piece => piece.slice(0, -(answer.framing === 'chunked' ? 3 : 1)))];
		}

		case 'end': {
			const all = [head, ...body, ...lastChunk];
			return [...all.slice(0, -1), all.at(-1)!.slice(0, -2)];
		}
	}
}

async function sendAnswer(answer: Answer, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const requestId = String(request.headers['attempt-id']);
	const firstEvent = firstEventOf(answer, Number(request.headers['last-event-id'] ?? 0));
	const {socket} = request;
	if (answer.isKept && answer.cut === undefined && answer.framing !== 'none') {
		const pieces = piecesOf(answer, requestId, firstEvent);
		response.writeHead(answer.status, headersOf(answer, requestId, pieces.join('').length));
		for (const piece of pieces) {
			response.write(piece);
			await sleep(1);
		}

		response.end();
		return;
	}

	for (const part of bytesOf(answer, requestId, firstEvent)) {
		socket.write(part);
		await sleep(1);
	}

	await sleep(answer.cut?.pauseMs ?? 0);
	if (answer.cut?.how === 'RST') {
		socket.resetAndDestroy();
	} else {
		socket.end();
	}
}

/** Sends the request of a scene and reads all bytes until its connection ends. */
async function receive({callers}: RunningEntry, {id, route}: Scene): Promise<Received> {
	const socket = connect(callers.port, callers.address);
	const bytes: Uint8Array[] = [];
	let isOrderly = true;
	socket.on('data', (data: Uint8Array) => {
		bytes.push(data);
	});
	socket.on('error', () => {
		isOrderly = false;
	});
	const steps = route.hasSteps ? `Chunk-Count: 2,1\r\nChunk-Key: key-${id}\r\n` : '';
	socket.write(`POST ${route.path} HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: ${deadlineMs}\r\nAuthorization: Bearer key-1\r\n`
		+ `Accept: text/event-stream\r\nPrompt-Prefix: ${id}a:10,bb:5\r\n${steps}Connection: close\r\nContent-Length: 6\r\n\r\nprompt`);
	await closeOf(socket);
	return parseReceived(Buffer.concat(bytes).toString('latin1'), isOrderly);
}

async function closeOf(socket: Socket): Promise<void> {
	await once(socket, 'close').catch(() => undefined);
	if (!socket.closed) {
		await new Promise<void>(resolve => {
			socket.on('close', () => {
				resolve();
			});
		});
	}
}

/** Parses the bytes of a response; it is whole only if they end exactly where its framing says. */
function parseReceived(text: string, isOrderly: boolean): Received {
	const headEnd = text.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return {
			status: 0, headers: new Map(), body: '', isWhole: false,
		};
	}

	const [statusLine, ...lines] = text.slice(0, headEnd).split('\r\n');
	const status = Number(statusLine.split(' ')[1]);
	const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
	const rest = text.slice(headEnd + 4);
	if (headers.get('transfer-encoding') === 'chunked') {
		return {status, headers, ...parseChunks(rest)};
	}

	const length = headers.get('content-length') ?? (status === 204 || status === 304 ? '0' : undefined);
	return {
		status, headers, body: rest, isWhole: length === undefined ? isOrderly : rest.length === Number(length),
	};
}

function parseChunks(text: string): {readonly body: string; readonly isWhole: boolean} {
	let rest = text;
	let body = '';
	for (;;) {
		const lineEnd = rest.indexOf('\r\n');
		const size = Number.parseInt(rest.slice(0, Math.max(0, lineEnd)), 16);
		const data = rest.slice(lineEnd + 2, lineEnd + 2 + size);
		if (lineEnd === -1 || Number.isNaN(size) || data.length < size) {
			return {body, isWhole: false};
		}

		if (size === 0) {
			return {body, isWhole: rest === '0\r\n\r\n'};
		}

		body += data;
		rest = rest.slice(lineEnd + 2 + size + 2);
	}
}

/** Returns what is wrong with a response, or undefined if it may be sent for the scene. */
function faultOf(scene: Scene, received: Received): string | undefined {
	const {id, answers} = scene;
	const {status, headers, body, isWhole} = received;
	if (status === 0) {
		return body === '' ? undefined : 'bytes without a head';
	}

	if (status >= 300) {
		return failureFaultOf(scene, received);
	}

	if (headers.get('server-stamp') !== stampOf(id)) {
		return 'a success without the signature of its server';
	}

	const events = eventsOf(id);
	if (body === events.join('')) {
		return undefined;
	}

	const eventsReceived = events.filter((_, index) => body.startsWith(events.slice(0, index + 1).join(''))).length;
	const extra = body.slice(events.slice(0, eventsReceived).join('').length);
	if (!isWhole) {
		return extra === '' ? undefined : `cut off after ${eventsReceived} events, with other bytes: ${extra}`;
	}

	// The server's own answer to the first call is passed on as it is, while no other call has begun the stream.
	const isServersOwn = answers.some(answer => answer.status === status && answer.isSigned && (answer.id ?? 'own') === 'own' && isWholeText(answer, body))
		&& !answers.some(answer => hasBegun(answer));
	return isServersOwn ? undefined : `whole with ${eventsReceived} of ${eventCount} events, and other bytes: ${extra}`;
}

/** The same for a response that reports a failure: it is one that a server gave, or comes from the host. */
function failureFaultOf({answers}: Scene, {status, headers, body, isWhole}: Received): string | undefined {
	const given = answers.filter(answer => answer.status === status && answer.body !== 'events');
	if (!isWhole) {
		return given.some(answer => answer.body !== 'events' && answer.body.text.startsWith(body)) ? undefined : `a failure that is cut off, with other bytes: ${body}`;
	}

	const isOfHost = !headers.has('server-stamp') && /^(?:Not run|No whole answer): [^\n]*\n$/v.test(body);
	return isOfHost || given.some(answer => isWholeText(answer, body)) ? undefined : `a failure that no server gave: ${body}`;
}

/** Whether an answer is sent whole and has a text as its body. */
const isWholeText = ({cut, body}: Answer, text: string) => cut === undefined && body !== 'events' && body.text === text;

/** Whether an answer brings the first event of the stream to its caller. */
function hasBegun({body, cut, eventsBeforeCut = 0}: Answer): boolean {
	return body === 'events' && (cut?.place === 'end' || ((cut?.place === 'boundary' || cut?.place === 'event') && eventsBeforeCut > 0));
}

type PlayedScene = {readonly scene: Scene; readonly received: Received; readonly callCount: number};

/** Plays scenes at once on one host. */
async function play(t: Test, scenes: readonly Scene[], serverCount: number): Promise<PlayedScene[]> {
	const fleet = await makeFleet(t);
	const config = longTimeoutConfig(2);
	const staged = config.routes.find(({name}) => name === 'staged')!;
	const manyAttempts = config.routes.map(route => ({...route, ...(route.routeType === 'streaming' && {maxAttempts: 4})}));
	fleet.store.put('op', 'config', {
		...config,
		routes: [...manyAttempts, {
			...staged, name: 'fixed', pathPrefix: '/fixed/', canResume: false, maxAttempts: 4,
		}],
	});
	const byId = new Map(scenes.map(scene => [scene.id, scene]));
	const callCounts = new Map<string, number>();
	for (const model of await fleet.addModels(softwareVersion, serverCount)) {
		model.responder = async (request, response) => {
			const id = String(request.headers['attempt-id']);
			const index = callCounts.get(id) ?? 0;
			callCounts.set(id, index + 1);
			await sendAnswer(byId.get(id)?.answers[index] ?? wholeAnswer, request, response);
		};
	}

	await fleet.addServers('stage', 2);
	const [host] = await addHosts(fleet, 1, () => ({repeats: {ratio: 1, slack: 10_000, windowMs: 10_000}}));
	await waitUntil(() => host.lines.some(line => line.includes('"version":2')));
	return Promise.all(scenes.map(async scene => ({scene, received: await receive(host, scene), callCount: callCounts.get(scene.id) ?? 0})));
}

const wholeAnswer: Answer = {
	status: 200, isSigned: true, headers: eventStream, body: 'events', framing: 'chunked', isKept: true,
};

/** Checks the responses of scenes and returns how many are whole with all events. */
function check(t: Test, played: readonly PlayedScene[]): number {
	const faults = played.flatMap(({scene, received, callCount}) => {
		// Only the calls that were made can have begun the stream.
		const fault = faultOf({...scene, answers: scene.answers.slice(0, callCount)}, received);
		return fault === undefined
			? []
			: [{
				fault, scene: scene.id, path: scene.route.path, callCount, answers: scene.answers, status: received.status,
			}];
	});
	t.same(faults, [], 'no response looks whole that is not, and none has bytes that are not its own');
	return played.filter(({scene, received}) => received.isWhole && received.body === eventsOf(scene.id).join('')).length;
}

/** A first call that brings at least one event and is then cut. */
function begunAndCut(random: SeededRandom): Answer {
	return {...cutStream(pick(random, ['boundary', 'event']))(random), eventsBeforeCut: 1 + random.int(eventCount - 1)};
}

// Some answers remove their server from the host's list, so there are more servers than scenes.
const serverCount = 20;

for (const [kindIndex, name] of answerKindNames.entries()) {
	t.test(`a first call that ends with ${name}`, async t => {
		const random = SeededRandom.create(1000 + kindIndex);
		const scenes = routes.flatMap(route => [0, 1].map((variant): Scene => ({
			id: `f${kindIndex}${route.path.slice(1, 3)}${variant}`, route, answers: [answerKinds[name](random)],
		})));
		const played = await play(t, scenes, serverCount);
		check(t, played);
		t.ok(played.every(({callCount}) => callCount > 0), 'each was called');
	});

	t.test(`a call that continues a stream and ends with ${name}`, async t => {
		const random = SeededRandom.create(2000 + kindIndex);
		const scenes = routes.filter(({isResumable}) => isResumable).flatMap(route => [0, 1, 2, 3].map((variant): Scene => ({
			id: `c${kindIndex}${route.path.slice(1, 3)}${variant}`, route, answers: [begunAndCut(random), answerKinds[name](random)],
		})));
		const played = await play(t, scenes, serverCount);
		check(t, played);
		t.ok(played.every(({callCount}) => callCount >= 2), 'each was continued');
	});
}

for (const seed of [1, 2, 3, 4]) {
	t.test(`streams whose calls end in several ways in turn, seed ${seed}`, async t => {
		const random = SeededRandom.create(seed);
		const scenes = Array.from({length: 60}, (_, index): Scene => {
			const count = 1 + random.int(3);
			const answers = Array.from({length: count}, () => answerKinds[pick(random, answerKindNames.filter(name => name !== 'status 421'))](random));
			return {id: `r${seed}x${index}`, route: pick(random, routes), answers: isLikely(random) ? [begunAndCut(random), ...answers] : answers};
		});
		const whole = check(t, await play(t, scenes, serverCount));
		t.ok(whole >= 5, `${whole} streams were continued to their end`);
	});
}
