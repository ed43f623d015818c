/** Pools keep-alive connections to one upstream: each carries one call at a time and records since when it has been idle. */
import type {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import {buildConnector, Client, type Dispatcher} from 'undici';
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import {UnavailableError} from '../../base/common/errors.js';
import {detach, reportUnexpectedError} from '../../base/common/unexpected-errors.js';
import {parseEndpoint} from '../../wire/common/endpoint.js';
import type {Header} from '../../wire/common/messages.js';
import {isUnframed} from '../common/hop-headers.js';
import type {UpstreamServer} from '../common/upstream-server.js';
import {FramingLimit} from './framing-limit.js';
import {crashSettleMs, isListening, livenessCheckTimeoutMs} from './server-liveness.js';
import {requireValidStatus} from './valid-status.js';

/** Maximum time for opening a connection: hosts are a few milliseconds apart, and a lost first packet is resent only after a second. */
const connectTimeoutMs = 400;
/** How long an idle connection is kept if the upstream states no keep-alive time: such upstreams close idle connections within a second. */
const defaultKeepAliveMs = 500;
const maxKeepAliveMs = 20_000;
/** How long before the upstream's own timeout an idle connection is closed. */
const keepAliveMarginMs = 300;
/** A call that may run at most once does not use a connection that has been idle for longer: the upstream may have closed it meanwhile. */
const maxFreshIdleMs = 200;
/** Address with which the HTTP client of a server without a usable address is created; no connection is made to it. */
const placeholderAddress = '0.0.0.0:1';
/** Code of the error of a connection that was lost; one that undici doesn't know. */
const resetCode = 'UPSTREAM_CONNECTION_LOST';

/** A keep-alive connection that carries one call at a time. */
export class PooledConnection implements Disposable {
	static create(server: UpstreamServer, clock: Clock): PooledConnection {
		return new PooledConnection(server, clock);
	}

	/** Whether the connection was reset, by the other side or by the network. */
	wasReset = false;

	/** Called before the HTTP client handles that the upstream has closed the connection; a call whose reader is paused resumes it here. */
	onWillEnd: (() => void) | undefined;

	/** Whether a call is in progress on this connection. */
	isBusy = false;
	/** Whether its call has just ended: the client is then inside a callback and may be about to close the connection. */
	private isSettling = false;
	private isDisposed = false;
	private idleSinceMs = 0;
	private socket: Socket | undefined;
	private readonly framing = FramingLimit.create();
	private readonly client: Client;

	private constructor(private readonly server: UpstreamServer, private readonly clock: Clock) {
		const connect = buildConnector({timeout: connectTimeoutMs});
		const address = `${server.address}:${server.port}`;
		const isUsable = parseEndpoint(address) !== undefined;
		// The client throws for an address that it can't parse. Such a server must fail its calls only, as one that can't be reached.
		this.client = new Client(`http://${isUsable ? address : placeholderAddress}`, {
			connect: (options, done) => {
				if (!isUsable) {
					done(new UnavailableError(`no connection can be made to the address ${JSON.stringify(address)}`), null);
					return;
				}

				connect(options, (...result) => {
					if (result[1]) {
						this.watchSocket(result[1]);
					}

					done(...result);
				});
			},
			pipelining: 1,
			keepAliveTimeout: defaultKeepAliveMs,
			keepAliveMaxTimeout: maxKeepAliveMs,
			keepAliveTimeoutThreshold: keepAliveMarginMs,
			// The request has time limits of its own; a silent upstream is not cut off here.
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		this.client.on('disconnect', () => {
			this.dispose();
		});
		this.client.on('connectionError', () => {
			this.dispose();
		});
		// The client emits what the handler of a call throws when it is told that the call has failed.
		const events: EventEmitter = this.client;
		events.on('error', (error: unknown) => {
			reportUnexpectedError('handler of a failed call', error);
			this.dispose();
		});
	}

	/** Whether it can carry no more calls. The events of a destroyed socket fire only in a later turn of the event loop, so the socket is checked too. */
	get isClosed(): boolean {
		return this.isDisposed || this.socket?.destroyed === true;
	}

	/** Whether it can be used for a call. */
	get isFree(): boolean {
		return !this.isBusy && !this.isSettling && !this.isClosed;
	}

	/** Whether it has been idle only briefly, so that a call that may run at most once can use it. */
	get isFresh(): boolean {
		return this.clock.nowMs() - this.idleSinceMs <= maxFreshIdleMs;
	}

	/**
	Returns whether a response that has ended on this connection may be truncated.
	@param headers - of the response, names in lower case.
	*/
	mayBeTruncated(headers: readonly Header[]): boolean {
		// Undici checks content lengths and chunks; without either, only an orderly close shows that a response is complete.
		return this.wasReset && isUnframed({headers});
	}

	/**
	Returns whether the server still listens at its address, a moment after it has ended a response by closing this connection. If it doesn't, the response may be
	truncated: the sockets of a process that crashes are closed in the same way.
	*/
	async isServerListening(): Promise<boolean> {
		await new Promise<void>(resolve => {
			this.clock.setTimer(crashSettleMs, resolve);
		});
		return isListening(this.server.address, this.server.port, livenessCheckTimeoutMs);
	}

	/**
	Sends a call.
	@param options - what to send.
	@param handler - receives the response.
	*/
	dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
		this.isBusy = true;
		this.client.dispatch(options, this.framing.limit(requireValidStatus(handler)));
	}

	/** Marks the connection as idle after a call that ended normally; the upstream may still close it after the response. */
	release(): void {
		this.isBusy = false;
		this.onWillEnd = undefined;
		this.isSettling = true;
		this.idleSinceMs = this.clock.nowMs();
		queueMicrotask(() => {
			this.isSettling = false;
		});
	}

	/** Closes the connection after a call that was aborted by either side: a later call on it would be lost as well. */
	discard(): void {
		this.isBusy = false;
		this.onWillEnd = undefined;
		this.dispose();
	}

	/**
	Calls back after a time, as measured by the clock of the connection's host.
	@param delayMs - the time.
	@param callback - what is called.
	@returns a disposable that prevents the call.
	*/
	setTimer(delayMs: number, callback: () => void): Disposable {
		return this.clock.setTimer(delayMs, callback);
	}

	/** Closes the connection so that bytes of a call that were not received yet are discarded, instead of arriving when the network lets them through. */
	reset(): void {
		this.socket?.resetAndDestroy();
	}

	dispose(): void {
		if (!this.isDisposed) {
			this.isDisposed = true;
			// Deferred to a later turn of the event loop: undici may be inside one of its own callbacks here.
			setImmediate(() => {
				detach('connection', this.client.destroy());
			});
		}
	}

	private watchSocket(socket: Socket): void {
		this.socket = socket;
		socket.setNoDelay(true);
		this.framing.watch(socket);
		/*
		Both run before undici's own listeners. To undici the end of the connection, and also a reset with this code, ends a response without a framing; it then
		throws out of the listener if the response's reader is paused. A reset is no such end, and a paused reader can't be resumed after it.
		*/
		socket.prependListener('error', error => {
			this.wasReset = true;
			Object.assign(error, {code: resetCode});
		});
		socket.prependListener('end', () => {
			// Node reports a reset that arrives together with data as an orderly end. Only a socket that was reset has no peer any more.
			this.wasReset ||= socket.remoteAddress === undefined;
			this.onWillEnd?.();
		});
	}
}

/** The keep-alive connections to one upstream. */
export class ConnectionPool implements Disposable {
	/**
	Creates an empty pool.
	@param server - the upstream.
	@param clock - measures idle times.
	@param maxConnections - returns how many connections this host may have to the upstream.
	*/
	static create(server: UpstreamServer, clock: Clock, maxConnections: () => number): ConnectionPool {
		return new ConnectionPool(server, clock, maxConnections);
	}

	private connections: PooledConnection[] = [];

	private constructor(private readonly server: UpstreamServer, private readonly clock: Clock, private readonly maxConnections: () => number) {}

	/**
	Returns a connection for one call.
	@param isAtMostOnce - whether the call may run at most once.
	@returns undefined if this host has as many busy connections as allowed.
	*/
	acquire(isAtMostOnce: boolean): PooledConnection | undefined {
		this.connections = this.connections.filter(connection => !connection.isClosed);
		const idle = this.connections.findLast(connection => connection.isFree && (!isAtMostOnce || connection.isFresh));
		if (idle) {
			return idle;
		}

		if (this.connections.length >= this.maxConnections()) {
			const stale = this.connections.find(connection => connection.isFree);
			if (!stale) {
				return undefined;
			}

			stale.dispose();
		}

		const connection = PooledConnection.create(this.server, this.clock);
		this.connections.push(connection);
		return connection;
	}

	/** Whether a call is in progress on any connection. */
	get hasBusy(): boolean {
		return this.connections.some(connection => connection.isBusy && !connection.isClosed);
	}

	dispose(): void {
		for (const connection of this.connections) {
			connection.dispose();
		}

		this.connections = [];
	}
}
