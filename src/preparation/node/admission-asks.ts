/**
Asks the hosts that schedule pools when they would get to a request. A set of quotes is complete or is not used: a request for which
quotes are missing holds no reservations. When another host becomes the scheduler of a pool, the open reservations of this host's
requests are repeated to it.
*/
import type {InjectionToken} from 'tsyringe';
import {setRepeating, type Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {Logger} from '../../base/common/logger.js';
import type {PeerMesh} from '../../peers/node/peer-mesh.js';
import {maxReservations, type BatchQuoteMessage} from '../../wire/common/messages.js';
import {OpenReservations} from '../common/open-reservations.js';
import {unusedMs} from '../common/pool-ledger.js';
import {messageOfAsk, messageOfReservations, quoteOfMessage} from '../common/quote-messages.js';
import type {PoolAsk, Quote, QuoteSource} from '../common/quotes.js';
import type {BatchQuotes} from './batch-quotes.js';

/** Time for a full set of quotes: a round trip takes 1 to 3 ms, and the callers with the least time have less than a second. */
const answerTimeoutMs = 60;
/** Time for which a host that did not answer is not asked, so that few requests wait for a host that has failed. */
const silenceMs = 500;
/** A timer that is this late means that this host was busy or frozen, and may not have read quotes that have arrived. */
const lateTimerThresholdMs = 10;
/** Wait until the sockets have been read after a late timer. */
const socketReadDelayMs = 5;
/** Time for which a complete set is remembered, so that a repeated quote for it is not forgone. A reservation that is not used ends after 3 s. */
const completeLifetimeMs = 3000;
/** Interval at which the schedulers of pools are compared: they also change without an event, as when this host is about to stop. */
const ownerCheckIntervalMs = 100;
/** A step takes up to 1.3 kB, so that a message is far below the bound of a frame. */
const repeatBounds = {reservations: maxReservations, steps: 1024};

/** Dependencies of `AdmissionAsks`. */
export type AdmissionAsksOptions = {
	readonly hostId: string;
	readonly mesh: Pick<PeerMesh, 'onDidReceive' | 'onDidLose' | 'onDidChange' | 'send'>;
	readonly clock: Clock;
	readonly log: Logger;
	/** Returns the host that schedules a pool. */
	readonly ownerOf: (pool: string) => string;
	/** Gives quotes for the pools that this host schedules. */
	readonly ownPools: Pick<BatchQuotes, 'quote' | 'reserve' | 'forgo' | 'admittedLate'>;
};

/** Asked hosts by pool. */
type AskedHosts = ReadonlyMap<string, string>;

/** Asks of one request that have not all been answered. */
type PendingAsks = {
	readonly requestId: string;
	readonly asks: readonly PoolAsk[];
	readonly hosts: AskedHosts;
	readonly quotes: Map<string, Quote>;
	readonly resolve: (quotes: ReadonlyMap<string, Quote> | undefined) => void;
	timer: Disposable | undefined;
};

export const admissionAsksToken: InjectionToken<AdmissionAsks> = Symbol('AdmissionAsks');

/** Asks the schedulers of pools on behalf of this host's requests. */
export class AdmissionAsks implements QuoteSource, Disposable {
	static create(options: AdmissionAsksOptions): AdmissionAsks {
		return new AdmissionAsks(options);
	}

	/** Unanswered asks by request. */
	private readonly pending = new Map<string, PendingAsks>();
	/** Requests whose quotes are complete, the oldest first. */
	private readonly complete = new Map<string, {readonly hosts: AskedHosts; readonly atMs: number}>();
	private readonly open = OpenReservations.create(unusedMs);
	/** Hosts that did not answer, with the time until which they are not asked. */
	private readonly silentUntilMs = new Map<string, number>();
	private readonly disposables = DisposableStore.create();

	private constructor(private readonly options: AdmissionAsksOptions) {
		this.disposables.add(options.mesh.onDidReceive(({hostId, message}) => {
			if (message.type === 'batchQuote') {
				this.handleQuote(hostId, message);
			}
		}));
		this.disposables.add(options.mesh.onDidLose(hostId => {
			this.handleLostPeer(hostId);
		}));
		this.disposables.add(options.mesh.onDidChange(() => {
			this.repeatReservations();
		}));
		this.disposables.add(setRepeating(options.clock, () => ownerCheckIntervalMs, () => {
			this.repeatReservations();
		}));
	}

	/** Number of requests whose reservations are remembered. */
	get openCount(): number {
		return this.open.size;
	}

	/**
	Asks for quotes of one request and reserves what is asked. A repeated ask replaces the reservations of the former one.
	@param asks - what the request asks, one ask for each pool.
	@returns the quotes by pool; undefined if no full set arrived within 60 ms or a scheduler did not answer in the last 500 ms, in which
	case nothing stays reserved.
	*/
	async ask(asks: readonly PoolAsk[]): Promise<ReadonlyMap<string, Quote> | undefined> {
		const [first] = asks;
		if (!first) {
			return new Map();
		}

		const {requestId} = first;
		const hosts = new Map(asks.map(({pool}) => [pool, this.options.ownerOf(pool)]));
		const mayAsk = [...hosts.values()].every(hostId => !this.isSilent(hostId));
		this.endFormerAsks(requestId, mayAsk ? hosts : new Map());
		if (!mayAsk) {
			return undefined;
		}

		return new Promise(resolve => {
			const pending: PendingAsks = {
				requestId, asks, hosts, resolve, quotes: new Map(), timer: undefined,
			};
			this.pending.set(requestId, pending);
			this.startTimer(pending);
			if (!this.sendAsks(asks, pending)) {
				this.fail(pending);
			}
		});
	}

	/**
	Drops the reservations of a request that was refused or has ended before it submitted its work.
	@param requestId - the request.
	@param pools - the pools that were asked.
	*/
	forgo(requestId: string, pools: readonly string[]): void {
		const hosts = this.pending.get(requestId)?.hosts ?? this.complete.get(requestId)?.hosts;
		this.endFormerAsks(requestId, new Map());
		for (const pool of pools.filter(pool => !hosts?.has(pool))) {
			this.sendForgo(this.options.ownerOf(pool), pool, requestId);
		}
	}

	/**
	Reports a late admission to the hosts that gave the quotes. A lost report has no effect but that the request counts as work in time
	until it submits its steps.
	@param requestId - the request.
	@param pools - the pools that gave quotes.
	*/
	admittedLate(requestId: string, pools: readonly string[]): void {
		const {hostId, mesh, ownPools} = this.options;
		const hosts = this.complete.get(requestId)?.hosts;
		this.open.admittedLate(requestId);
		for (const pool of pools) {
			const owner = hosts?.get(pool);
			if (owner === hostId) {
				ownPools.admittedLate(pool, requestId);
			} else if (owner !== undefined) {
				mesh.send(owner, {type: 'batchAdmittedLate', pool, requestId});
			}
		}
	}

	/**
	Handles the submission of a step: it is not repeated to later schedulers of its pool.
	@param requestId - the request.
	@param pool - the pool of the step.
	@param stepKey - the step.
	*/
	submitted(requestId: string, pool: string, stepKey: string): void {
		this.open.submitted(requestId, pool, stepKey);
	}

	/**
	Repeats reservations to the hosts that have become the schedulers of their pools. Without them, the quotes of a new scheduler count
	only what was asked since, and everything admitted by them delays what was admitted before.
	*/
	repeatReservations(): void {
		const {hostId, mesh, clock, log, ownPools, ownerOf} = this.options;
		this.open.sweep(clock.nowMs());
		for (const missing of this.open.missing(ownerOf)) {
			const {pool, owner} = missing;
			let repeatedCount = 0;
			for (const reservations of this.open.partsOf(missing, repeatBounds, clock.nowMs())) {
				if (owner === hostId) {
					ownPools.reserve(pool, reservations);
				} else if (!mesh.send(owner, messageOfReservations(pool, reservations))) {
					break;
				}

				repeatedCount += reservations.length;
				for (const {requestId} of reservations) {
					this.open.repeated(requestId, pool, owner);
					this.replaceHost(requestId, pool, owner);
				}
			}

			if (repeatedCount > 0) {
				log.info('Another host schedules a pool now; the reservations of requests were repeated to it.', {host: owner, pool, requests: repeatedCount});
			}
		}
	}

	dispose(): void {
		this.disposables.dispose();
		for (const pending of this.pending.values()) {
			this.fail(pending);
		}
	}

	/** @returns whether each ask was sent, or answered by this host. */
	private sendAsks(asks: readonly PoolAsk[], pending: PendingAsks): boolean {
		const {hostId, mesh, ownPools} = this.options;
		return asks.every(ask => {
			const owner = pending.hosts.get(ask.pool)!;
			if (owner !== hostId) {
				return mesh.send(owner, messageOfAsk(ask));
			}

			const quote = ownPools.quote(ask);
			if (quote) {
				this.addQuote(pending, ask.pool, quote);
			}

			return quote !== undefined;
		});
	}

	private handleQuote(hostId: string, message: BatchQuoteMessage): void {
		const {pool, requestId} = message;
		const pending = this.pending.get(requestId);
		if (pending?.hosts.get(pool) === hostId) {
			this.addQuote(pending, pool, quoteOfMessage(message));
		} else if (this.complete.get(requestId)?.hosts.get(pool) !== hostId) {
			this.sendForgo(hostId, pool, requestId);
		}
	}

	private addQuote(pending: PendingAsks, pool: string, quote: Quote): void {
		const {requestId, asks, hosts, quotes} = pending;
		quotes.set(pool, quote);
		if (quotes.size < hosts.size) {
			return;
		}

		const nowMs = this.options.clock.nowMs();
		this.end(pending, quotes);
		this.complete.set(requestId, {hosts, atMs: nowMs});
		for (const [oldest, {atMs}] of this.complete) {
			if (nowMs - atMs < completeLifetimeMs) {
				break;
			}

			this.complete.delete(oldest);
		}

		for (const ask of asks) {
			this.open.add(ask, quotes.get(ask.pool)!, hosts.get(ask.pool)!, nowMs);
		}
	}

	/** Later messages about a reservation go to the host to which it was repeated. */
	private replaceHost(requestId: string, pool: string, hostId: string): void {
		const complete = this.complete.get(requestId);
		if (complete) {
			this.complete.set(requestId, {...complete, hosts: new Map([...complete.hosts, [pool, hostId]])});
		}
	}

	private startTimer(pending: PendingAsks): void {
		const {clock} = this.options;
		const dueMs = clock.nowMs() + answerTimeoutMs;
		pending.timer = clock.setTimer(answerTimeoutMs, () => {
			if (clock.nowMs() - dueMs < lateTimerThresholdMs) {
				this.handleTimeout(pending);
				return;
			}

			pending.timer = clock.setTimer(socketReadDelayMs, () => {
				this.handleTimeout(pending);
			});
		});
	}

	private handleTimeout(pending: PendingAsks): void {
		const {clock, log} = this.options;
		const {hosts, quotes, requestId} = pending;
		for (const [pool, hostId] of hosts) {
			if (!quotes.has(pool)) {
				if (!this.isSilent(hostId)) {
					log.warn('A host that batches a pool gave no quote in time; until it is asked again, requests are admitted by reported waits.', {
						host: hostId, pool, request: requestId, afterMs: answerTimeoutMs, askAgainMs: silenceMs,
					});
				}

				this.silentUntilMs.set(hostId, clock.nowMs() + silenceMs);
			}
		}

		this.fail(pending);
	}

	private handleLostPeer(lostId: string): void {
		this.silentUntilMs.delete(lostId);
		for (const pending of this.pending.values()) {
			if ([...pending.hosts].some(([pool, hostId]) => hostId === lostId && !pending.quotes.has(pool))) {
				this.fail(pending);
			}
		}

		this.open.handleLostPeer(lostId);
		this.repeatReservations();
	}

	private isSilent(hostId: string): boolean {
		return this.options.clock.nowMs() < (this.silentUntilMs.get(hostId) ?? -Infinity);
	}

	/** Ends asks without a full set of quotes. Hosts whose quotes are missing may hold reservations too: the quotes may be lost. */
	private fail(pending: PendingAsks): void {
		const {requestId, hosts} = pending;
		this.end(pending, undefined);
		for (const [pool, hostId] of hosts) {
			this.sendForgo(hostId, pool, requestId);
		}
	}

	private end(pending: PendingAsks, quotes: ReadonlyMap<string, Quote> | undefined): void {
		pending.timer?.dispose();
		this.pending.delete(pending.requestId);
		pending.resolve(quotes);
	}

	/** Ends the former asks of a request, and drops their reservations except for those that the given hosts replace. */
	private endFormerAsks(requestId: string, replacedBy: AskedHosts): void {
		const pending = this.pending.get(requestId);
		const hosts = pending?.hosts ?? this.complete.get(requestId)?.hosts ?? new Map<string, string>();
		this.complete.delete(requestId);
		this.open.delete(requestId);
		if (pending) {
			this.end(pending, undefined);
		}

		for (const [pool, hostId] of hosts) {
			if (replacedBy.get(pool) !== hostId) {
				this.sendForgo(hostId, pool, requestId);
			}
		}
	}

	private sendForgo(hostId: string, pool: string, requestId: string): void {
		if (hostId === this.options.hostId) {
			this.options.ownPools.forgo(pool, requestId);
		} else {
			this.options.mesh.send(hostId, {type: 'batchForgo', pool, requestId});
		}
	}
}
