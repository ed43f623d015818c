/** Tests streams whose server pauses while another server has taken them up, with a real host and servers that wait for its decision. */
import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import t, {type Test} from 'tap';
import {
	completeStream, longTimeoutConfig, sendRequest, streamCall, type RunningEntry,
} from './direct-harness.js';
import {makeFleet} from './direct-load.js';

const deadlineMs = 30_000;
const routes = [{path: '/draft/1', name: 'a stream'}, {path: '/staged/1', name: 'a stream with steps'}];
/** Counts of events that the first server sends before it pauses. */
const places = [0, 2];

/** Time after which another server that was asked ends its response without an event, and after which the silent one ends the stream. */
const addsNothingMs = 280;
const lateEndMs = 400;

const eventText = (index: number) => `id: ${index}\ndata: event ${index}\n\n`;

function beginStream({headers}: IncomingMessage, response: ServerResponse): void {
	response.writeHead(200, {'attempt-id': String(headers['attempt-id']), 'server-stamp': 's', 'content-type': 'text/event-stream'});
	response.flushHeaders();
}

type Scene = {
	readonly path: string;
	readonly eventCount: number;
	/** Serves a call to the second server. */
	readonly serveSecond: (request: IncomingMessage, response: ServerResponse, firstResponse: ServerResponse) => Promise<void>;
};

/** Runs one stream; its first server pauses behind some events. */
async function runScene(t: Test, {path, eventCount, serveSecond}: Scene): Promise<{readonly host: RunningEntry; readonly callCount: number; readonly text: string}> {
	const fleet = await makeFleet(t);
	fleet.store.put('op', 'config', longTimeoutConfig(2));
	await fleet.addServers('stage', 2);
	const models = await fleet.addServers('model', 2);
	const calls: Array<{readonly request: IncomingMessage; readonly response: ServerResponse}> = [];
	for (const model of models) {
		model.responder = async (request, response) => {
			calls.push({request, response});
			if (calls.length > 1) {
				await serveSecond(request, response, calls[0].response);
				return;
			}

			beginStream(request, response);
			for (let index = 1; index <= eventCount; index++) {
				response.write(eventText(index));
			}
		};
	}

	const host = await fleet.addReadyEntry();
	const {status, text, isWhole} = await sendRequest(host, streamCall(path, {id: 'paused', deadlineMs, headers: {'chunk-count': '1,1', 'chunk-key': 'key-1'}}));
	t.match({status, isWhole}, {status: 200, isWhole: true}, `${path} behind ${eventCount} events`);
	return {host, callCount: calls.length, text};
}

function endStream(response: ServerResponse, from: number): void {
	for (let index = from; index <= 5; index++) {
		response.write(eventText(index));
	}

	response.end();
}

for (const {path, name} of routes) {
	// Guards against two servers that stay at work on one stream until the second one has sent its first event.
	t.test(`either the call to a paused server or the one to another server that has taken up ${name} ends, before its first event`, async t => {
		for (const eventCount of places) {
			const closed: string[] = [];
			const {callCount, text} = await runScene(t, {
				path, eventCount, async serveSecond(request, response, firstResponse) {
					beginStream(request, response);
					closed.push(await Promise.race([response, firstResponse].map(async item => {
						await once(item, 'close');
						return item === response ? 'second' : 'first';
					})));
					endStream(response, eventCount + 1);
				},
			});
			t.same({callCount, text, closed}, {callCount: 3, text: completeStream, closed: ['second', 'first']}, 'the second one after a short silence, the first one after a long silence');
		}
	});

	// Guards against a stream that is cut because the server which has replaced the silent one has nothing to add.
	t.test(`a server that is silent before it ends ${name} ends it, also if another server adds nothing`, async t => {
		const others: Record<string, (response: ServerResponse) => void> = {
			'has nothing to add'(response) {
				response.end();
			},
			'breaks off'(response) {
				response.destroy();
			},
			'sends nothing': () => undefined,
		};
		for (const [other, act] of Object.entries(others)) {
			const {text} = await runScene(t, {
				path, eventCount: 5, async serveSecond(request, response, firstResponse) {
					beginStream(request, response);
					setTimeout(() => {
						act(response);
					}, addsNothingMs);
					setTimeout(() => {
						firstResponse.end();
					}, lateEndMs);
				},
			});
			t.equal(text, completeStream, `it ${other}`);
		}
	});

	// Guards against a paused server that is given up although no other one has taken its stream up.
	t.test(`a paused server goes on with ${name} while another server has sent nothing`, async t => {
		for (const eventCount of places) {
			const {text} = await runScene(t, {
				path, eventCount, async serveSecond(_request, response, firstResponse) {
					endStream(firstResponse, eventCount + 1);
					await once(response, 'close');
				},
			});
			t.equal(text, completeStream);
		}
	});
}
