/** Kept connections to one upstream: each carries one call at a time, and each is known by how long it has rested. */
import type {Socket} from 'node:net';
import {buildConnector, Client, type Dispatcher} from 'undici';
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {Header} from '../../wire/common/messages.js';
import {isUnframed} from '../common/hop-headers.js';
import type {UpstreamServer} from '../common/upstream-server.js';

/** Longest time for a connection to come up: hosts are a few milliseconds apart, and a lost first packet is sent again only after a second. */
const connectMs = 400;
/** How long a connection rests where the upstream names no time: it closes those within a second. */
const restMs = 500;
const longestRestMs = 20_000;
/** How much before the upstream's own time a resting connection is closed. */
const restMarginMs = 300;
/** A call that may run only once takes no connection that has rested longer: the upstream may have closed it meanwhile. */
const freshRestMs = 200;

/** One connection. */
export class Lane implements Disposable {
	static create(server: UpstreamServer, clock: Clock): Lane {
		return new Lane(server, clock);
	}

	/** Whether the connection was broken off, by the other side or the network. */
	wasReset = false;

	/** Whether it carries a call. */
	isBusy = false;
	/** Whether its call has just ended: the client, inside a callback then, may be about to close it. */
	private isSettling = false;
	private isDisposed = false;
	private restingSinceMs = 0;
	private socket: Socket | undefined;
	private readonly client: Client;

	private constructor(server: UpstreamServer, private readonly clock: Clock) {
		const connect = buildConnector({timeout: connectMs});
		this.client = new Client(`http://${server.address}:${server.port}`, {
			connect: (options, done) => {
				connect(options, (...result) => {
					if (result[1]) {
						this.watch(result[1]);
					}

					done(...result);
				});
			},
			pipelining: 1,
			keepAliveTimeout: restMs,
			keepAliveMaxTimeout: longestRestMs,
			keepAliveTimeoutThreshold: restMarginMs,
			// The life of the request has its own time limits; a silent upstream is not cut off.
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		this.client.on('disconnect', () => {
			this.dispose();
		});
		this.client.on('connectionError', () => {
			this.dispose();
		});
	}

	/** Whether it carries no more calls. A connection that is destroyed tells so by events of a later turn. */
	get isClosed(): boolean {
		return this.isDisposed || this.socket?.destroyed === true;
	}

	/** Whether it may take a call. */
	get isFree(): boolean {
		return !this.isBusy && !this.isSettling && !this.isClosed;
	}

	/** Whether a call that may run only once may take it. */
	get isFresh(): boolean {
		return this.clock.nowMs() - this.restingSinceMs <= freshRestMs;
	}

	/**
	Tells whether an answer that has come to its end on this connection may lack its rest.
	@param headers - of the answer, names in small letters.
	*/
	isCutShort(headers: readonly Header[]): boolean {
		// Lengths and chunks are checked by undici; without either, only an orderly close makes an answer whole.
		return this.wasReset && isUnframed({headers});
	}

	dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
		this.isBusy = true;
		this.client.dispatch(options, handler);
	}

	/** The call has come to its end in order; the connection rests, unless the upstream closes it behind the answer. */
	rest(): void {
		this.isBusy = false;
		this.isSettling = true;
		this.restingSinceMs = this.clock.nowMs();
		queueMicrotask(() => {
			this.isSettling = false;
		});
	}

	/** The call was cut, by whichever side: what comes next on the connection would be lost with it. */
	spend(): void {
		this.isBusy = false;
		this.dispose();
	}

	dispose(): void {
		if (!this.isDisposed) {
			this.isDisposed = true;
			// A later turn: undici may be inside one of its own callbacks here.
			setImmediate(() => {
				void this.client.destroy();
			});
		}
	}

	private watch(socket: Socket): void {
		this.socket = socket;
		socket.setNoDelay(true);
		// Before undici's own listener, which takes what has come by then for the whole answer.
		socket.prependListener('error', () => {
			this.wasReset = true;
		});
	}
}

/** The connections to one upstream. */
export class LanePool implements Disposable {
	/**
	Makes a pool without connections.
	@param server - the upstream.
	@param clock - the time.
	@param mostLanes - gives how many connections this host may have to it.
	*/
	static create(server: UpstreamServer, clock: Clock, mostLanes: () => number): LanePool {
		return new LanePool(server, clock, mostLanes);
	}

	private lanes: Lane[] = [];

	private constructor(private readonly server: UpstreamServer, private readonly clock: Clock, private readonly mostLanes: () => number) {}

	/**
	Takes a connection for one call.
	@param isOnce - whether the call may run only once.
	@returns nothing where this host has as many as it may.
	*/
	acquire(isOnce: boolean): Lane | undefined {
		this.lanes = this.lanes.filter(lane => !lane.isClosed);
		const resting = this.lanes.findLast(lane => lane.isFree && (!isOnce || lane.isFresh));
		if (resting) {
			return resting;
		}

		if (this.lanes.length >= this.mostLanes()) {
			const stale = this.lanes.find(lane => lane.isFree);
			if (!stale) {
				return undefined;
			}

			stale.dispose();
		}

		const lane = Lane.create(this.server, this.clock);
		this.lanes.push(lane);
		return lane;
	}

	get hasBusy(): boolean {
		return this.lanes.some(lane => lane.isBusy && !lane.isClosed);
	}

	dispose(): void {
		for (const lane of this.lanes) {
			lane.dispose();
		}

		this.lanes = [];
	}
}
