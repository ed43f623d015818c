import type {Dispatcher} from 'undici';
import t from 'tap';
import type {PooledConnection} from '../../deployment/node/connection-pool.js';
import type {DispatchMessage, Message} from '../../wire/common/messages.js';
import type {UpstreamProtocol} from '../common/upstream-protocol.js';
import {DirectCall} from './direct-call.js';

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

/*
Guards against a stream that is resumed after an event which its caller never received: the events of a call that was given up counted as delivered.
*/
t.test('events that arrive after a call was canceled are neither forwarded nor counted as delivered', async t => {
	const eventIds: string[] = [];
	const emitted: Message[] = [];
	const connection: Pick<PooledConnection, 'mayBeTruncated' | 'release' | 'discard'> = {
		mayBeTruncated: () => false, release: () => undefined, discard: () => undefined,
	};
	const controller: Pick<Dispatcher.DispatchController, 'abort' | 'pause' | 'resume' | 'rawHeaders'> = {
		abort: () => undefined, pause: () => undefined, resume: () => undefined, rawHeaders: [],
	};
	const call = DirectCall.create({
		dispatch,
		connection: connection as PooledConnection,
		protocol,
		callerRequestId: 'c1',
		isStreaming: true,
		nowMs: () => 0,
		onWrite: () => undefined,
		onResponseHead: () => undefined,
		emit(message) {
			emitted.push(message);
		},
		onEvent(eventId) {
			eventIds.push(eventId);
		},
		onEnded: () => undefined,
		onConnectionLost: () => undefined,
	});
	const dispatchController = controller as Dispatcher.DispatchController;
	call.onRequestStart(dispatchController);
	call.onResponseStart(dispatchController, 200);
	call.onResponseData(dispatchController, new TextEncoder().encode('id: 1\ndata: a\n\n'));
	call.cancel();
	call.onResponseData(dispatchController, new TextEncoder().encode('id: 2\ndata: b\n\n'));
	t.same(eventIds, ['1']);
	t.equal(emitted.filter(({type}) => type === 'chunk').length, 1);
});
