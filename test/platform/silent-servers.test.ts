/** Tests sound servers that are silent for a second or so and then go on, with real hosts: nothing ends sooner because of it. */
import type {Socket} from 'node:net';
import t, {type Test} from 'tap';
import {
	completeStream, longTimeoutConfig, sendRequest, streamCall, waitUntil, type CallerCall, type CallerResponse, type DirectFleet, type EntrySettings, type RunningEntry,
} from './direct-harness.js';
import {makeFleet} from './direct-load.js';
import {writePaused, type PausePoint, type ServerStandin} from './server-standin.js';

const pauseMs = 1500;
const deadlineMs = 30_000;
const noRepeats: EntrySettings = {repeats: {ratio: 0, slack: 0, windowMs: 10_000}};

type Scene = {readonly fleet: DirectFleet; readonly host: RunningEntry};

async function makeScene(t: Test, prepare: (fleet: DirectFleet) => Promise<void>, settings: EntrySettings = {}): Promise<Scene> {
	const fleet = await makeFleet(t);
	fleet.store.put('op', 'config', longTimeoutConfig(2));
	await prepare(fleet);
	return {fleet, host: await fleet.addReadyEntry(settings)};
}

/** Sends a request; one whose connection ends before the head of a response counts as incomplete, with status 0. */
async function send(host: RunningEntry, call: CallerCall): Promise<Pick<CallerResponse, 'status' | 'isWhole' | 'text'>> {
	try {
		return await sendRequest(host, {deadlineMs, ...call});
	} catch {
		return {status: 0, isWhole: false, text: ''};
	}
}

const body = 'a body of some length';
const framings: Record<string, readonly string[]> = {length: [`Content-Length: ${body.length}`], chunks: ['Transfer-Encoding: chunked', 'Connection: close'], none: ['Connection: close']};
const points: readonly PausePoint[] = ['beforeHead', 'withinHead', 'withinBody', 'beforeClose'];

/** Responds to a request whose path ends with the framing of the response and the point at which the server falls silent. */
async function respondPaused(path: string, id: string, socket: Socket): Promise<void> {
	const [framing, at] = path.split('/').slice(-2);
	const sentBody = framing === 'chunks' ? `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n` : body;
	const head = ['HTTP/1.1 200 OK', `Attempt-Id: ${id}`, 'Server-Stamp: s', ...framings[framing]].join('\r\n');
	await writePaused(socket, head, sentBody, {at: at as PausePoint, ms: pauseMs});
	if (framing !== 'length') {
		socket.end();
	}
}

const plainPaths = ['look', 'book'].flatMap(route => Object.keys(framings).flatMap(framing => points.map(point => `/${route}/${framing}/${point}`)));

for (const serverCount of [1, 2]) {
	// Guards against responses that are ended, or sent for again elsewhere, because their server is silent within them.
	t.test(`a plain response whose server falls silent within it is delivered whole, from one call (${serverCount} servers)`, async t => {
		const {fleet, host} = await makeScene(t, async fleet => {
			for (const server of await fleet.addServers('plain', serverCount)) {
				server.responder = async ({socket, url, headers}) => respondPaused(url ?? '', String(headers['attempt-id']), socket);
			}
		});
		await Promise.all(plainPaths.map(async path => {
			t.match(await send(host, {
				method: 'POST', path, id: path, body: 'x',
			}), {status: 200, isWhole: true, text: body}, path);
		}));
		t.equal(fleet.servers.flatMap(({seen}) => seen).length, plainPaths.length, 'no request was sent twice');
	});
}

const stagedCall = (id: string) => streamCall('/staged/1', {id, headers: {'chunk-count': '1,1', 'chunk-key': `key-${id}`}});
/** Names the pieces that servers have received, in order: the request, the step and the piece. */
const piecesAt = (servers: readonly ServerStandin[]) => servers.flatMap(({stageCalls}) => stageCalls.flat().map(({instanceId, phaseName, segment}) => [instanceId, phaseName, segment].join(' ')));

type StageScene = Scene & {readonly stages: readonly ServerStandin[]};

async function makeStageScene(t: Test, stageCount: number, settings?: EntrySettings): Promise<StageScene> {
	let stages: ServerStandin[] = [];
	const scene = await makeScene(t, async fleet => {
		await fleet.addServers('model', 1);
		stages = await fleet.addServers('stage', stageCount);
	}, settings);
	return {...scene, stages};
}

const silences: ReadonlyArray<readonly [PausePoint, EntrySettings]> = [['beforeHead', {}], ['withinHead', {}], ['withinBody', {}], ['beforeHead', noRepeats]];
for (const [at, settings] of silences) {
	// Guards against calls of steps that are ended because their server is silent, and whose pieces are then computed again, or by nobody.
	t.test(`a step whose only server falls silent is computed once (${at}, ${settings === noRepeats ? 'without' : 'with'} a budget of repeats)`, async t => {
		const {host, stages} = await makeStageScene(t, 1, settings);
		stages[0].stagePause = {at, ms: pauseMs};
		const first = send(host, stagedCall('s1'));
		await waitUntil(() => piecesAt(stages).length > 0);
		for (const response of await Promise.all([first, send(host, stagedCall('s2'))])) {
			t.match(response, {status: 200, isWhole: true, text: completeStream});
		}

		t.same(piecesAt(stages).toSorted(), ['s1 0 0', 's1 1 0', 's2 0 0', 's2 1 0']);
	});
}

// Guards against a request that waits for a silent server while another one could compute its step.
t.test('a step whose server falls silent is computed by another server as well, and the call to the first one ends', async t => {
	const {host, stages} = await makeStageScene(t, 2);
	const silent: ServerStandin[] = [];
	for (const stage of stages) {
		stage.onArrival = () => {
			if (silent.length === 0) {
				silent.push(stage);
				stage.stageGate = new Promise(() => {
					// Never resolved.
				});
			}
		};
	}

	t.match(await send(host, stagedCall('s1')), {status: 200, isWhole: true, text: completeStream});
	t.same(piecesAt(silent), ['s1 0 0']);
	t.same(piecesAt(stages.filter(stage => !silent.includes(stage))), ['s1 0 0', 's1 1 0']);
	await waitUntil(() => silent[0].closedEarlyCount > 0);
});
