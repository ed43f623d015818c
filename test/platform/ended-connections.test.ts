/**
Tests responses with neither a length nor chunks, which end with their connection, with real hosts.

Guards against a response that is cut off and passed on as a whole one, and against whole ones that count as cut off. A stream that ends inside an event was broken off.
*/
import t, {type Test} from 'tap';
import {
	completeStream, sendRequest, streamCall, type CallerResponse, type RunningEntry,
} from './direct-harness.js';
import {addHosts, makeLongTimeoutFleet} from './direct-load.js';
import type {ServerStandin} from './server-standin.js';

const streamCount = 20;

type StreamResult = Pick<CallerResponse, 'status' | 'isWhole' | 'text'>;

async function makeModels(t: Test, prepare: (servers: readonly ServerStandin[]) => void) {
	const fleet = await makeLongTimeoutFleet(t);
	const servers = await fleet.addServers('model', 4, 5);
	for (const server of servers) {
		server.isUnframed = true;
	}

	prepare(servers);
	const [host] = await addHosts(fleet, 1);
	return {servers, host};
}

/** Sends streams at once; one whose connection is reset counts as cut off. */
async function sendStreams(host: RunningEntry, path: string, prefix: string): Promise<StreamResult[]> {
	return Promise.all(Array.from({length: streamCount}, async (_, index) => {
		try {
			return await sendRequest(host, streamCall(path, {id: `${prefix}${index}`}));
		} catch {
			return {status: 200, isWhole: false, text: ''};
		}
	}));
}

const isComplete = ({status, isWhole, text}: StreamResult) => status === 200 && isWhole && text === completeStream;

t.test('a stream that ends with its connection is passed on whole', async t => {
	const {host} = await makeModels(t, () => undefined);
	for (const path of ['/draft/1', '/chat/1']) {
		const responses = await sendStreams(host, path, 's');
		t.equal(responses.filter(response => isComplete(response)).length, streamCount, path);
	}
});

for (const how of ['closed', 'reset'] as const) {
	t.test(`a stream whose connection is ${how} inside an event is continued, or not passed on as whole`, async t => {
		const {host} = await makeModels(t, servers => {
			for (const server of servers) {
				server.cutsStream = () => true;
				server.closesCutStreams = how === 'closed';
			}
		});
		const resumable = await sendStreams(host, '/draft/1', 'r');
		t.ok(resumable.every(response => isComplete(response) || !response.isWhole), 'none looks whole that is not');
		t.ok(resumable.filter(response => isComplete(response)).length >= streamCount / 2, 'most are continued');
		const others = await sendStreams(host, '/chat/1', 'o');
		t.same(others.filter(({isWhole}) => isWhole), [], 'a stream that can\'t be continued is cut off for its caller as well');
	});
}
