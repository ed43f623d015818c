/** Straight ways to upstreams without an agent: sends dispatches as HTTP calls and reports what becomes of them. */
import type {Dispatcher} from 'undici';
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import {Emitter} from '../../base/common/emitter.js';
import {messageOf} from '../../base/common/errors.js';
import type {Logger} from '../../base/common/logger.js';
import type {ServerNotices} from '../../deployment/common/server-notices.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {ConnectionPool, type PooledConnection} from '../../deployment/node/connection-pool.js';
import type {UpstreamLinks, UpstreamMessage} from '../../request/common/upstream-links.js';
import type {Quarantine} from '../../quarantine/common/quarantine.js';
import {contentIdOf} from '../../quarantine/common/request-content.js';
import {
	refusalReasons, type DispatchMessage, type HttpCall, type Message,
} from '../../wire/common/messages.js';
import type {UpstreamProtocol} from '../common/upstream-protocol.js';
import {DirectCall} from './direct-call.js';

/** What the links need to know of a request besides its dispatches. */
export type RequestFacts = {
	/** The request's name as the caller gave it: answers carry it back. */
	readonly callerRequestId: string;
	readonly deadlineMs: number;
	readonly isStreaming: boolean;
	/** A call was written to an upstream. */
	readonly written: () => void;
	/** Id of the last event that was delivered. */
	resumeAfter: string | undefined;
};

/** What the links are made of. */
export type DirectLinksOptions = {
	readonly registry: ServerRegistry;
	/** Learns what servers say of themselves. */
	readonly notices: Pick<ServerNotices, 'handleResponse'>;
	readonly protocol: UpstreamProtocol;
	readonly clock: Clock;
	readonly log: Logger;
	/** Connections this host may have to one upstream of a pool. */
	readonly mostLanes: (pool: string) => number;
	/** Something came from a server. */
	readonly heard: (serverId: string, dispatchId: string) => void;
	/** Learns which requests end the servers that run them, and which do not. */
	readonly quarantine: Pick<Quarantine, 'sent' | 'brokeOff' | 'completed'>;
};

/** A call about to be made. */
type CallStart = {
	readonly message: DispatchMessage;
	readonly http: HttpCall;
	readonly server: UpstreamServer;
	readonly facts: RequestFacts;
	readonly lane: PooledConnection;
};

/** Holds the calls and connections of one host. */
export class DirectLinks implements UpstreamLinks, Disposable {
	static create(options: DirectLinksOptions): DirectLinks {
		return new DirectLinks(options);
	}

	private readonly didReceive = Emitter.create<UpstreamMessage>();
	private readonly didJoin = Emitter.create<string>();
	private readonly never = Emitter.create<string>();
	/** Connections, by server. */
	private readonly pools = new Map<string, ConnectionPool>();
	/** Calls that have not ended, by dispatch. */
	private readonly calls = new Map<string, DirectCall>();
	private readonly requests = new Map<string, RequestFacts>();
	private readonly watch: Disposable;

	private constructor(private readonly options: DirectLinksOptions) {
		this.watch = options.registry.onDidChange(({server, change}) => {
			if (change === 'joined') {
				this.didJoin.fire(server.serverId);
			} else if (change === 'gone') {
				this.forget(server.serverId);
			}
		});
	}

	get onDidReceive() {
		return this.didReceive.event;
	}

	get onDidJoin() {
		return this.didJoin.event;
	}

	/** A call ends with its connection, and each start of a server has an id of its own: these never happen here. */
	get onDidLose() {
		return this.never.event;
	}

	get onDidReconnect() {
		return this.never.event;
	}

	get onDidReplace() {
		return this.never.event;
	}

	/**
	Tells the links of a request before its first dispatch.
	@param requestId - the product's own id of it.
	@param facts - what they need.
	@returns disposing forgets it.
	*/
	register(requestId: string, facts: RequestFacts): Disposable {
		this.requests.set(requestId, facts);
		return {
			dispose: () => {
				this.requests.delete(requestId);
			},
		};
	}

	/** Begins, gives up or goes on with a call; other messages are for agents only. */
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
		this.watch.dispose();
		for (const call of this.calls.values()) {
			call.cancel();
		}

		for (const pool of this.pools.values()) {
			pool.dispose();
		}
	}

	private dispatch(serverId: string, message: DispatchMessage): boolean {
		const server = this.options.registry.get(serverId);
		const facts = this.requests.get(message.requestId);
		const {call: http} = message;
		if (!server || !facts || http.kind !== 'http' || !this.options.registry.acceptsNewWork(server)) {
			return false;
		}

		const lane = this.poolOf(server).acquire(!message.isRepeatable);
		if (!lane) {
			return false;
		}

		if (this.options.registry.isMissing(serverId)) {
			this.options.log.info('Work goes to a server whose entry is missing.', {
				pool: server.pool, server: serverId, request: facts.callerRequestId,
			});
		}

		this.begin({
			message, http, server, facts, lane,
		});
		return true;
	}

	private begin(start: CallStart): void {
		const {message: {dispatchId, workspace}, http, server, facts, lane} = start;
		this.options.quarantine.sent({workspace, http});
		const call = this.callOf(start);
		this.calls.set(dispatchId, call);
		const options = this.writtenOf(start);
		try {
			lane.dispatch(options, call);
		} catch (error) {
			// The client refuses what it can't write: nothing was sent.
			this.calls.delete(dispatchId);
			lane.dispose();
			this.options.clock.setTimer(0, () => {
				this.didReceive.fire({upstreamId: server.serverId, message: {type: 'refused', dispatchId, reason: refusalReasons.badCall}});
			});
			this.options.log.error('A call could not be written; nothing of it was sent.', {request: facts.callerRequestId, server: server.serverId, reason: messageOf(error)});
		}
	}

	private callOf({message, http, server, facts, lane}: CallStart): DirectCall {
		const {clock, protocol, notices, quarantine} = this.options;
		const source = {workspace: message.workspace, http};
		return DirectCall.create({
			dispatch: message,
			lane,
			protocol,
			callerRequestId: facts.callerRequestId,
			isStreaming: facts.isStreaming,
			nowMs: () => clock.nowMs(),
			written: facts.written,
			answered(head, sentMs) {
				notices.handleResponse(server, protocol.readNotice(head), sentMs, clock.nowMs());
			},
			emit: event => {
				if (event.type === 'end' && event.state === 'completed') {
					quarantine.completed(source);
				}

				this.receive(server, event);
			},
			brokeOff() {
				quarantine.brokeOff(contentIdOf(source), server, facts.callerRequestId);
			},
			reached(eventId) {
				facts.resumeAfter = eventId;
			},
			ended: () => {
				this.calls.delete(message.dispatchId);
				if (!this.options.registry.get(server.serverId)) {
					this.forget(server.serverId);
				}
			},
		});
	}

	/** What a call is written as. */
	private writtenOf({message, http, server, facts}: CallStart): Dispatcher.DispatchOptions {
		const {clock, protocol} = this.options;
		const headers = protocol.requestHeaders({
			workspace: message.workspace, http, server, remainingMs: facts.deadlineMs - clock.nowMs(), resumeAfter: facts.resumeAfter,
		});
		return {
			method: http.method,
			path: http.path,
			headers: headers.flatMap(({name, value}) => [name, value]),
			body: http.body.byteLength > 0 ? http.body : null,
		};
	}

	private receive(server: UpstreamServer, message: Message): void {
		if (message.type === 'refused' && message.reason === refusalReasons.replaced) {
			this.options.registry.handleAddressTaken(server.serverId);
		}

		if ('dispatchId' in message && !(message.type === 'refused' && message.reason === refusalReasons.unreachable)) {
			this.options.heard(server.serverId, message.dispatchId);
		}

		this.didReceive.fire({upstreamId: server.serverId, message});
	}

	private poolOf(server: UpstreamServer): ConnectionPool {
		let pool = this.pools.get(server.serverId);
		if (!pool) {
			pool = ConnectionPool.create(server, this.options.clock, () => this.options.mostLanes(server.pool));
			this.pools.set(server.serverId, pool);
		}

		return pool;
	}

	/** A server that is gone finishes what it has: its connections go once their calls have ended. */
	private forget(serverId: string): void {
		const pool = this.pools.get(serverId);
		if (pool && !pool.hasBusy) {
			this.pools.delete(serverId);
			pool.dispose();
		}
	}
}
