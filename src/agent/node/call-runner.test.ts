import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {SystemClock} from '../../base/node/system-clock.js';
import type {GateAction} from '../../request/common/gate-actions.js';
import {GateStateMachine} from '../../request/common/gate-state-machine.js';
import {Attempt} from '../../request/common/attempt.js';
import type {EndMessage} from '../../wire/common/messages.js';
import {CallRunner} from './call-runner.js';
import {HttpDriver} from './http-driver.js';

const pieces = ['first', 'second', 'third'];
const pieceIntervalMs = 5;
/** Time in which the agent has read what was written. */
const readMs = 100;

async function respond(socket: Socket, head: string): Promise<void> {
	socket.write(head);
	for (const piece of pieces) {
		socket.write(piece);
		await sleep(pieceIntervalMs);
	}

	if (!head.includes('content-length')) {
		socket.end();
	}

	await sleep(readMs);
}

/** Starts an upstream that responds in several pieces. Returns its origin, and a promise that resolves when all of them have been written. */
async function startUpstream(t: Test, head: string) {
	let reportWritten: () => void;
	const allWritten = new Promise<void>(resolve => {
		reportWritten = resolve;
	});
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		sockets.push(socket);
		socket.on('error', () => {
			// The call is aborted.
		});
		socket.once('data', () => {
			void respond(socket, head).then(reportWritten);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return {origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, allWritten};
}

/** Runs a call that its entry cancels when a given number of chunks has been sent. Returns what the entry makes of the messages. */
async function runCancelled(t: Test, head: string, cancelAfterChunks = 1) {
	const {origin, allWritten} = await startUpstream(t, head);
	const clock = SystemClock.create();
	const gate = GateStateMachine.create({slots: 1, maxQueue: 1});
	const driver = HttpDriver.create(origin);
	t.teardown(() => {
		driver.dispose();
	});
	const attempt = Attempt.create({
		dispatchId: 'd', upstreamId: 'u', kind: 'first', sentAtMs: 0, offset: 0, candidates: [],
	});
	let chunkCount = 0;
	const end = await new Promise<EndMessage>(resolve => {
		const perform = (actions: readonly GateAction[]) => {
			for (const action of actions) {
				switch (action.type) {
					case 'start': {
						runner.start(action.dispatch);

						break;
					}

					case 'abort': {
						runner.abort(action.dispatchId);

						break;
					}

					case 'flow': {
						runner.setFlow(action.dispatchId, action.isOpen);

						break;
					}

					default: {if (action.message.type === 'chunk') {
						attempt.acceptChunk(action.message);
						chunkCount++;
						if (chunkCount === cancelAfterChunks) {
							void allWritten.then(() => {
								perform(gate.cancel('d', clock.nowMs()));
							});
						}
					} else if (action.message.type === 'end') {
						resolve(action.message);
					}}
				}
			}
		};

		const runner = CallRunner.create(gate, driver, clock, perform);
		perform(gate.dispatch(1, {
			type: 'dispatch', dispatchId: 'd', requestId: 'r', workspace: 'w', pipeline: 'p', stage: 's', stageIndex: 0, startWithinMs: 10_000, dueInMs: 10_000,
			isRepeatable: true, settingsRevision: 0, weight: 1, creditChunks: cancelAfterChunks, call: {kind: 'run', input: new Uint8Array(0)},
		}, false, clock.nowMs()));
	});
	return {end, receivedBytes: attempt.answer.body.byteLength, isComplete: end.state === 'completed' && attempt.isComplete(end)};
}

// Guards against a `completed` end of a cancelled call whose response has been received but not forwarded: its units and digest match what the entry got.
t.test('a call that is cancelled while its response is read does not end as complete', async t => {
	const {length} = pieces.join('');
	for (const head of [`HTTP/1.1 200 OK\r\ncontent-length: ${length}\r\n\r\n`, 'HTTP/1.1 200 OK\r\n\r\n']) {
		const {end, receivedBytes, isComplete} = await runCancelled(t, head);
		t.equal(end.state, 'failed');
		t.ok(receivedBytes < length);
		t.notOk(isComplete);
	}
});
