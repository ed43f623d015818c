import {createServer, type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Dispatcher} from 'undici';
import t from 'tap';
import {SystemClock} from '../../base/node/system-clock.js';
import {PooledConnection} from '../../deployment/node/connection-pool.js';
import type {DispatchMessage, Message} from '../../wire/common/messages.js';
import type {UpstreamProtocol} from '../common/upstream-protocol.js';
import {EventSequence} from '../common/event-sequence.js';
import {DirectCall, type DirectCallOptions} from './direct-call.js';

const dispatch: DispatchMessage = {
	type: 'dispatch', dispatchId: 'd1', requestId: 'r1', workspace: 'w', pipeline: 'p', stage: 's', stageIndex: 0, startWithinMs: 100, dueInMs: 100, isRepeatable: true,
	settingsRevision: 1, weight: 1, creditChunks: 64, call: {
		kind: 'http', method: 'POST', path: '/', headers: [], body: new Uint8Array(0),
	},
};

const protocol: UpstreamProtocol = {
	requestHeaders: () => [],
	classifyHead: () => ({kind: 'answer'}),
	readNotice: () => ({
		limit: {kind: 'none'}, isLeaving: false, backoff: {kind: 'none'}, load: {kind: 'none'},
	}),
};

const callOptions: Omit<DirectCallOptions, 'connection'> = {
	dispatch,
	protocol,
	callerRequestId: 'c1',
	isStreaming: true,
	nowMs: () => 0,
	onWrite: () => undefined,
	onResponseHead: () => undefined,
	emit: () => undefined,
	joinProblem: () => undefined,
	onEnded: () => undefined,
	onConnectionLost: () => undefined,
};

/*
Guards against a stream that is resumed after an event which its caller never received: the events of a call that was given up counted as delivered.
*/
t.test('events that arrive after a call was canceled are neither forwarded nor counted as delivered', async t => {
	const events = EventSequence.create();
	const emitted: Message[] = [];
	const connection: Pick<PooledConnection, 'mayBeTruncated' | 'release' | 'discard' | 'reset'> = {
		mayBeTruncated: () => false, release: () => undefined, discard: () => undefined, reset: () => undefined,
	};
	const controller: Pick<Dispatcher.DispatchController, 'abort' | 'pause' | 'resume' | 'rawHeaders'> = {
		abort: () => undefined, pause: () => undefined, resume: () => undefined, rawHeaders: [],
	};
	const call = DirectCall.create({
		...callOptions,
		connection: connection as PooledConnection,
		emit(message) {
			emitted.push(message);
			if (message.type === 'chunk') {
				events.append(message.data);
			}
		},
		joinProblem: first => events.joinProblem(first),
	});
	const dispatchController = controller as Dispatcher.DispatchController;
	call.onRequestStart(dispatchController);
	call.onResponseStart(dispatchController, 200);
	call.onResponseData(dispatchController, new TextEncoder().encode('id: 1\ndata: a\n\n'));
	call.cancel();
	call.onResponseData(dispatchController, new TextEncoder().encode('id: 2\ndata: b\n\n'));
	t.equal(events.lastId, '1');
	t.equal(emitted.filter(({type}) => type === 'chunk').length, 1);
});

/*
Guards against calls that were given up and arrive later: on a partitioned link they arrived together with the retries that had replaced them once the link was
restored, because a connection that is closed normally still delivers what was written.
*/
t.test('a call that is canceled before its response resets its connection', async t => {
	const ends: string[] = [];
	const server = createServer(socket => {
		socket.on('error', error => {
			ends.push('code' in error ? String(error.code) : error.message);
		});
		socket.on('end', () => {
			ends.push('end');
		});
		socket.resume();
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	const connection = PooledConnection.create({
		serverId: 's', instanceId: 's', startedMs: 0, pool: 'p', address: '127.0.0.1', port, hall: 'a', slots: 1, isLeaving: false,
	}, SystemClock.create());
	const call = DirectCall.create({...callOptions, connection});
	connection.dispatch({method: 'POST', path: '/', body: 'x'}, call);
	await sleep(40);
	call.cancel();
	await sleep(150);
	t.same(ends, ['ECONNRESET']);
});
