/** Tests how streams are continued at servers whose events do not follow those that the caller has, with real hosts. */
import {setTimeout as sleep} from 'node:timers/promises';
import t from 'tap';
import {
	completeStream, longTimeoutConfig, sendRequest, streamCall, waitUntil, type CallerResponse,
} from './direct-harness.js';
import {addHosts, makeLongTimeoutFleet, stepsCall} from './direct-load.js';

const streamCount = 20;
/** Long after a server is taken to have read its results. */
const fetchedMs = 150;

/** Returns a config by which results take seconds to fetch, so that they are not released before a server has responded. */
function slowLinkConfig(version: number) {
	const config = longTimeoutConfig(version);
	return {
		...config,
		routes: config.routes.map(route => 'phases' in route ? {...route, phases: (route.phases as Array<Record<string, unknown>>).map(phase => ({...phase, byteCount: 100_000}))} : route),
		backends: config.backends.map(pool => 'segments' in pool ? {...pool, segments: {...pool.segments, headroomMb: 100, linkMbps: 1}} : pool),
	};
}

/*
Guards against streams that have events twice, or lack some, and look complete: the first event of the call that continued them was not compared with the last one
that the caller had received.
*/
for (const [what, resumesAt] of [
	['begins again at the first event', () => 1],
	['repeats the last event', (lastId: number) => lastId],
	['leaves out an event', (lastId: number) => lastId + 2],
	['sends events without ids', () => undefined],
] as const) {
	t.test(`a stream is not continued by a server that ${what}`, async t => {
		const fleet = await makeLongTimeoutFleet(t);
		const servers = await fleet.addServers('model', 3, 5);
		for (const server of servers) {
			server.cutsStream = () => true;
			server.resumesAt = resumesAt;
		}

		const [host] = await addHosts(fleet, 1);
		const responses: CallerResponse[] = await Promise.all(Array.from({length: streamCount}, async (_, index) => sendRequest(host, streamCall('/draft/1', {id: `s${index}`}))));
		t.same(responses.filter(({isWhole}) => isWhole), [], 'none is complete');
		t.same(responses.filter(({text}) => !completeStream.startsWith(text)), [], 'what callers received is the beginning of the stream');
	});
}

/* Guards against a stream that is not continued, as a comment without an id took the place of the last event. */
t.test('a stream is continued after a comment', async t => {
	const fleet = await makeLongTimeoutFleet(t);
	for (const server of await fleet.addServers('model', 3, 5)) {
		server.cutsStream = () => true;
		server.sendsComments = true;
	}

	const [host] = await addHosts(fleet, 1);
	for (let index = 0; index < 5; index++) {
		const {isWhole, text} = await sendRequest(host, streamCall('/draft/1', {id: `c${index}`}));
		t.same({isWhole, text: text.replaceAll(': keep-alive\n\n', '')}, {isWhole: true, text: completeStream});
	}
});

/* Guards against streams that are cut at their end, and tried again to no avail, because their lines do not end in line feeds alone. */
for (const lineEnd of ['\r\n', '\r']) {
	t.test(`a stream whose lines end in ${JSON.stringify(lineEnd)} is passed on and continued`, async t => {
		const fleet = await makeLongTimeoutFleet(t);
		for (const server of await fleet.addServers('model', 3, 5)) {
			server.cutsStream = id => id.endsWith('0');
			server.lineEnd = lineEnd;
		}

		const [host] = await addHosts(fleet, 1);
		for (let index = 0; index < 10; index++) {
			const {isWhole, text} = await sendRequest(host, streamCall('/draft/1', {id: `l${index}`}));
			t.same({isWhole, text}, {isWhole: true, text: completeStream.replaceAll('\n', lineEnd)});
		}

		t.equal(fleet.servers.flatMap(({seen}) => seen).length, 11, 'one of them at a second server');
	});
}

/*
Guards against streams that are cut because each continuation takes two repeats from the budget: results that were released when the stream began were sent to the next
server, which rejected them, before they were computed again.
*/
t.test('a stream whose results were released takes one repeat to be continued', async t => {
	const fleet = await makeLongTimeoutFleet(t);
	const models = await fleet.addServers('model', 4, 5);
	const stages = await fleet.addServers('stage', 2, 5);
	for (const model of models) {
		model.cutsStream = () => true;
		model.isResultLost = handle => stages.some(({releasedResults}) => releasedResults.includes(handle));
	}

	const [host] = await addHosts(fleet, 1, () => ({repeats: {ratio: 0, slack: 5 * streamCount, windowMs: 60_000}}));
	const responses: CallerResponse[] = [];
	for (let index = 0; index < streamCount; index++) {
		responses.push(await sendRequest(host, stepsCall(`s${index}`)));
	}

	t.equal(responses.filter(({isWhole, text}) => isWhole && text === completeStream).length, streamCount, 'all streams are whole');
	t.equal(models.flatMap(({arrivedRequests}) => arrivedRequests).length, 2 * streamCount, 'each was sent to two servers');
	t.equal(stages.flatMap(({stageCalls}) => stageCalls).length, 4 * streamCount, 'and its results were computed twice');
});

/*
Guards against streams that are cut because a server reported a result lost that was stored: all results of the stream were computed once more, out of the budget of
repeats.
*/
t.test('results that a server reports lost are sent to another server if all that store them still run', async t => {
	const fleet = await makeLongTimeoutFleet(t);
	fleet.store.put('op', 'config', slowLinkConfig(3));
	const models = await fleet.addServers('model', 4, 5);
	const stages = await fleet.addServers('stage', 2, 5);
	const reported = new Set<string>();
	for (const model of models) {
		model.cutsStream = () => true;
		model.isResultLost = handle => {
			const owner = stages.map(({resultOwners}) => resultOwners.get(handle)).find(id => id !== undefined)!;
			const isLost = !reported.has(owner) && models.some(({seen}) => seen.some(({id}) => id === owner));
			if (isLost) {
				reported.add(owner);
			}

			return isLost;
		};
	}

	const [host] = await addHosts(fleet, 1, () => ({repeats: {ratio: 0, slack: 5 * streamCount, windowMs: 60_000}}));
	await waitUntil(() => host.lines.some(line => line.includes('"version":3')));
	const responses = await Promise.all(Array.from({length: streamCount}, async (_, index) => sendRequest(host, stepsCall(`s${index}`))));
	t.equal(reported.size, streamCount, 'each continuation was rejected');
	t.equal(responses.filter(({isWhole, text}) => isWhole && text === completeStream).length, streamCount, 'all streams are whole');
	t.equal(stages.flatMap(({stageCalls}) => stageCalls.flat()).length, 2 * 3 * streamCount, 'the results were computed twice: before the streams began, and for their continuation');
});

/*
Guards against streams that are cut because their results were computed once more after a server had refused, not at once, to continue them: a moment after the send these were
released as read.
*/
t.test('results for the continuation of a stream are kept until a server sends an event of it', async t => {
	const fleet = await makeLongTimeoutFleet(t);
	const models = await fleet.addServers('model', 4, 5);
	const stages = await fleet.addServers('stage', 2, 5);
	const callCounts = new Map<string, number>();
	let endStreams: () => void = () => undefined;
	const mayEnd = new Promise<void>(resolve => {
		endStreams = resolve;
	});
	for (const model of models) {
		model.responder = async (request, response) => {
			const id = String(request.headers['attempt-id']);
			const call = (callCounts.get(id) ?? 0) + 1;
			callCounts.set(id, call);
			if (call === 2) {
				await sleep(fetchedMs);
				response.writeHead(503, {'not-executed': '1', 'attempt-id': id}).end();
				return;
			}

			response.writeHead(200, {'attempt-id': id, 'server-stamp': 's', 'content-type': 'text/event-stream'});
			if (call === 1) {
				response.write('id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n');
				await sleep(fetchedMs);
				request.socket.resetAndDestroy();
				return;
			}

			response.write('id: 3\ndata: event 3\n\nid: 4\ndata: event 4\n\n');
			await mayEnd;
			response.end('id: 5\ndata: event 5\n\n');
		};
	}

	const [host] = await addHosts(fleet, 1, () => ({repeats: {ratio: 0, slack: 10 * streamCount, windowMs: 60_000}}));
	const pending = Array.from({length: streamCount}, async (_, index) => sendRequest(host, {...stepsCall(`s${index}`), deadlineMs: 60_000}));
	await waitUntil(() => stages.flatMap(({releasedResults}) => releasedResults).length >= 2 * 3 * streamCount);
	endStreams();
	const responses: CallerResponse[] = await Promise.all(pending);
	t.equal(responses.filter(({isWhole, text}) => isWhole && text === completeStream).length, streamCount, 'all streams are whole');
	t.same([...callCounts.values()], responses.map(() => 3), 'each was refused once');
	t.equal(stages.flatMap(({stageCalls}) => stageCalls.flat()).length, 2 * 3 * streamCount, 'the results were computed twice: before the streams began, and for their continuation');
});
