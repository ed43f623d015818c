/** Direct links to upstreams without an agent: sends dispatches as HTTP calls and reports their outcomes. */
import type {Dispatcher} from 'undici';
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import {Emitter} from '../../base/common/emitter.js';
import {messageOf} from '../../base/common/errors.js';
import {guard, reportUnexpectedError} from '../../base/common/unexpected-errors.js';
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import {isUnreadable} from '../../deployment/common/unreadable-response.js';
import {isUnframed} from '../../deployment/common/hop-headers.js';
import type {ServerNotices} from '../../deployment/common/server-notices.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {ConnectionPool, type PooledConnection} from '../../deployment/node/connection-pool.js';
import type {HttpResponseHead} from '../../request/common/request-plan.js';
import type {UpstreamTransport, UpstreamMessage} from '../../request/common/upstream-transport.js';
import type {Quarantine} from '../../quarantine/common/quarantine.js';
import {contentIdOf} from '../../quarantine/common/request-content.js';
import {
	refusalReasons, type DispatchMessage, type HttpCall, type Message,
} from '../../wire/common/messages.js';
import type {EventSequence} from '../common/event-sequence.js';
import type {UpstreamProtocol} from '../common/upstream-protocol.js';
import {DirectCall} from './direct-call.js';

/** Responses from this status on report no success. */
const firstErrorStatus = 300;

/** What the links need to know about a request in addition to its dispatches. */
export type RequestContext = {
	/** The id that the caller gave the request, which responses repeat. */
	readonly callerRequestId: string;
	readonly deadlineMs: number;
	readonly isStreaming: boolean;
	/** Keys of the parts that its prompt shares with others. */
	readonly sharedParts: readonly string[];
	/** Called when a call is about to be written to an upstream. */
	readonly onWrite: () => void;
	/** The events that the caller has; another call continues after them. */
	readonly events: EventSequence;
};

/** Dependencies of the links. */
export type DirectLinksOptions = {
	readonly registry: ServerRegistry;
	/** Receives what servers report about themselves. */
	readonly notices: Pick<ServerNotices, 'handleResponse'>;
	readonly protocol: UpstreamProtocol;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Metrics;
	/** Returns the maximum number of connections of this host to one upstream of a pool. */
	readonly maxConnections: (pool: string) => number;
	/** Called when a server has responded, has continued a response or has ended one; what is no event does not continue a stream. */
	readonly onActivity: (serverId: string, dispatchId: string) => void;
	/** Called when the head of a stream was received, which shows no event yet. */
	readonly onStreamHead: (serverId: string, dispatchId: string) => void;
	/** Records which requests crash the servers that run them, and which don't. */
	readonly quarantine: Pick<Quarantine, 'sent' | 'connectionLost' | 'completed'>;
};

/** A call that is about to be made. */
type PendingCall = {
	readonly message: DispatchMessage;
	readonly http: HttpCall;
	readonly server: UpstreamServer;
	readonly context: RequestContext;
	readonly connection: PooledConnection;
};

/** Whether a message shows that its server works. */
function isProgress(message: Message): boolean {
	switch (message.type) {
		case 'refused': {
			return message.reason !== refusalReasons.unreachable;
		}

		case 'end': {
			return !isUnreadable(message.reason ?? '');
		}

		default: {
			return true;
		}
	}
}

/** Manages the calls and connections of one host. */
export class DirectLinks implements UpstreamTransport, Disposable {
	static create(options: DirectLinksOptions): DirectLinks {
		return new DirectLinks(options);
	}

	private readonly didReceive = Emitter.create<UpstreamMessage>();
	private readonly didJoin = Emitter.create<string>();
	private readonly neverFires = Emitter.create<string>();
	/** Connections by server id. */
	private readonly connectionPools = new Map<string, ConnectionPool>();
	/** Calls that have not ended, by dispatch id. */
	private readonly calls = new Map<string, DirectCall>();
	private readonly requests = new Map<string, RequestContext>();
	private readonly registryListener: Disposable;

	private constructor(private readonly options: DirectLinksOptions) {
		this.registryListener = options.registry.onDidChange(({server, change}) => {
			if (change === 'joined') {
				this.didJoin.fire(server.serverId);
			} else if (change === 'gone') {
				this.closeIfIdle(server.serverId);
			}
		});
	}

	get onDidReceive() {
		return this.didReceive.event;
	}

	get onDidBecomeAvailable() {
		return this.didJoin.event;
	}

	/** Never fires, nor do the following two events: a call ends with its connection, and each start of a server has an id of its own. */
	get onDidDisconnect() {
		return this.neverFires.event;
	}

	get onDidReconnect() {
		return this.neverFires.event;
	}

	get onDidReplaceIncarnation() {
		return this.neverFires.event;
	}

	/**
	Registers a request before its first dispatch.
	@param requestId - internal id of the request.
	@param context - what the links need to know about the request.
	@returns a disposable that removes the registration.
	*/
	register(requestId: string, context: RequestContext): Disposable {
		this.requests.set(requestId, context);
		return {
			dispose: () => {
				this.requests.delete(requestId);
			},
		};
	}

	/** Starts, cancels or grants credit to a call; other message types are for agents only and return false. */
	send(upstreamId: string, message: Message): boolean {
		switch (message.type) {
			case 'dispatch': {
				return this.dispatch(upstreamId, message);
			}

			case 'cancel': {
				this.calls.get(message.dispatchId)?.cancel();
				return true;
			}

			case 'credit': {
				this.calls.get(message.dispatchId)?.grant(message.chunks);
				return true;
			}

			default: {
				return false;
			}
		}
	}

	dispose(): void {
		this.registryListener.dispose();
		for (const call of this.calls.values()) {
			call.cancel();
		}

		for (const pool of this.connectionPools.values()) {
			pool.dispose();
		}
	}

	private dispatch(serverId: string, message: DispatchMessage): boolean {
		const server = this.options.registry.get(serverId);
		const context = this.requests.get(message.requestId);
		const {call: http} = message;
		if (!server || !context || http.kind !== 'http' || !this.options.registry.acceptsNewWork(server)) {
			return false;
		}

		const connection = this.connectionPoolOf(server).acquire(!message.isRepeatable);
		if (!connection) {
			return false;
		}

		if (this.options.registry.isMissing(serverId)) {
			this.options.log.info('Work goes to a server whose entry is missing.', {
				pool: server.pool, server: serverId, request: context.callerRequestId,
			});
		}

		this.startCall({
			message, http, server, context, connection,
		});
		return true;
	}

	private startCall(pending: PendingCall): void {
		const {message: {dispatchId, workspace}, http, server, context, connection} = pending;
		this.options.quarantine.sent({workspace, http, sharedParts: context.sharedParts});
		const call = this.makeCall(pending);
		this.calls.set(dispatchId, call);
		try {
			connection.dispatch(this.dispatchOptionsOf(pending), call);
		} catch (error) {
			// The HTTP client throws if it can't write the call: nothing was sent.
			this.calls.delete(dispatchId);
			connection.dispose();
			this.options.clock.setTimer(0, () => {
				this.didReceive.fire({upstreamId: server.serverId, message: {type: 'refused', dispatchId, reason: refusalReasons.badCall}});
			});
			this.options.log.error('Could not write an upstream call; nothing was sent.', {request: context.callerRequestId, server: server.serverId, reason: messageOf(error)});
		}
	}

	private makeCall({message, http, server, context, connection}: PendingCall): DirectCall {
		const {
			clock, protocol, notices, quarantine, log, metrics,
		} = this.options;
		const source = {workspace: message.workspace, http, sharedParts: context.sharedParts};
		const sentMs = clock.nowMs();
		let responseHead: HttpResponseHead | undefined;
		return DirectCall.create({
			dispatch: message,
			connection,
			protocol,
			callerRequestId: context.callerRequestId,
			isStreaming: context.isStreaming,
			nowMs: () => clock.nowMs(),
			onWrite: context.onWrite,
			onResponseHead(head, sentMs) {
				notices.handleResponse(server, protocol.readNotice(head), sentMs, clock.nowMs());
			},
			emit: event => {
				if (event.type === 'started') {
					responseHead = event.http;
				} else if (event.type === 'end' && event.state === 'completed' && responseHead) {
					const {status} = responseHead;
					const endsWithConnection = isUnframed(responseHead);
					guard('quarantine', () => {
						quarantine.completed(source, {
							server, sentMs, isSuccess: status < firstErrorStatus, endsWithConnection,
						});
					});
				}

				this.receive(server, event, context.isStreaming);
			},
			onConnectionLost() {
				quarantine.connectionLost(contentIdOf(source), server, context.callerRequestId, {parts: context.sharedParts, sentMs});
			},
			joinProblem: events => context.events.joinProblem(events),
			onUnproven() {
				metrics.increment('responses.unproven', 1, {pool: server.pool});
				log.info('A server that closed its connection to end a response no longer listens; the response counts as incomplete.', {
					request: context.callerRequestId, pool: server.pool, server: server.serverId,
				});
			},
			onEnded: () => {
				this.calls.delete(message.dispatchId);
				if (!this.options.registry.get(server.serverId)) {
					this.closeIfIdle(server.serverId);
				}
			},
		});
	}

	/** Returns the options with which the HTTP client writes a call. */
	private dispatchOptionsOf({message, http, server, context}: PendingCall): Dispatcher.DispatchOptions {
		const {clock, protocol} = this.options;
		const headers = protocol.requestHeaders({
			workspace: message.workspace, http, server, remainingMs: context.deadlineMs - clock.nowMs(), resumeAfter: context.events.lastId,
		});
		return {
			method: http.method,
			path: http.path,
			headers: headers.flatMap(({name, value}) => [name, value]),
			body: http.body.byteLength > 0 ? http.body : null,
		};
	}

	private receive(server: UpstreamServer, message: Message, isStreaming: boolean): void {
		try {
			this.recordReceived(server, message, isStreaming);
		} catch (error) {
			// The request must get the message all the same.
			reportUnexpectedError('record of a received message', error);
		}

		this.didReceive.fire({upstreamId: server.serverId, message});
	}

	private recordReceived(server: UpstreamServer, message: Message, isStreaming: boolean): void {
		if (message.type === 'refused' && message.reason === refusalReasons.replaced) {
			this.options.registry.handleAddressTaken(server.serverId);
		}

		if (message.type === 'started' && isStreaming) {
			this.options.onStreamHead(server.serverId, message.dispatchId);
		} else if ('dispatchId' in message && isProgress(message)) {
			this.options.onActivity(server.serverId, message.dispatchId);
		}
	}

	private connectionPoolOf(server: UpstreamServer): ConnectionPool {
		let pool = this.connectionPools.get(server.serverId);
		if (!pool) {
			pool = ConnectionPool.create(server, this.options.clock, () => this.options.maxConnections(server.pool));
			this.connectionPools.set(server.serverId, pool);
		}

		return pool;
	}

	/** Closes the connections to a server that is gone, unless they have running calls: these may finish first. */
	private closeIfIdle(serverId: string): void {
		const pool = this.connectionPools.get(serverId);
		if (pool && !pool.hasBusy) {
			this.connectionPools.delete(serverId);
			pool.dispose();
		}
	}
}
