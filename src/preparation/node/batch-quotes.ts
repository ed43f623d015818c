/**
Answers the asks of hosts for the pools that this host schedules. Reservations are held for each host separately: callers choose the
IDs of their requests, so requests of two hosts may have the same ID.
*/
import type {Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {PeerMesh} from '../../peers/node/peer-mesh.js';
import type {BatchAskMessage} from '../../wire/common/messages.js';
import {askOfMessage, messageOfQuote, reservationsOfMessage} from '../common/quote-messages.js';
import type {PoolAsk, Quote, RepeatedReservation} from '../common/quotes.js';
import type {BatchPool} from './batch-pool.js';

/** A pool of this host that gives quotes. */
export type QuotingPool = Pick<BatchPool, 'quote' | 'reserve' | 'dropReservations' | 'forgo' | 'admittedLate' | 'sweepReservations'>;

/** Dependencies of `BatchQuotes`. */
export type BatchQuotesOptions = {
	readonly hostId: string;
	readonly mesh: Pick<PeerMesh, 'onDidReceive' | 'onDidLose' | 'send'>;
	readonly clock: Clock;
	/** Whether this host schedules a pool now. */
	readonly isOwner: (pool: string) => boolean;
	/** Pools this host schedules, or has scheduled. */
	readonly pools: ReadonlyMap<string, QuotingPool>;
	/** Returns a pool, created if needed. */
	readonly poolOf: (pool: string) => QuotingPool;
};

/**
Time for which the reservations of a host are remembered after they were expected to be used. A ledger drops them after 3 s, so nothing
that it holds is forgotten here.
*/
const rememberedMs = 5000;
/**
Time for which reservations are held that were repeated to this host before it schedules their pool. Hosts notice the loss of a
scheduler at different times: most by its closed connections, the others by its silence.
*/
const earlyMs = 1000;

/** A reservation of a host in one of this host's pools. */
type Reservation = {
	readonly pool: string;
	readonly reservationId: string;
	readonly untilMs: number;
	/** Time until which it is remembered once its request is admitted late. */
	readonly lateUntilMs: number;
};

/** Gives quotes for this host's pools, and drops the reservations of hosts that are lost. */
export class BatchQuotes implements Disposable {
	static create(options: BatchQuotesOptions): BatchQuotes {
		return new BatchQuotes(options);
	}

	private readonly disposables = DisposableStore.create();
	/** Reservations by the host that asked, then by pool and request. */
	private readonly reservations = new Map<string, Map<string, Reservation>>();

	/**
	Pools with reservations, and the time until which this host holds them without scheduling the pool. Infinite if this host has
	scheduled the pool since: then they are dropped as soon as it no longer does.
	*/
	private readonly heldUntilMs = new Map<string, number>();

	private constructor(private readonly options: BatchQuotesOptions) {
		const {mesh} = options;
		this.disposables.add(mesh.onDidReceive(({hostId, message}) => {
			switch (message.type) {
				case 'batchAsk': {
					this.answer(hostId, message);
					break;
				}

				case 'batchReserve': {
					this.reserveOf(hostId, message.pool, reservationsOfMessage(message));
					break;
				}

				case 'batchForgo': {
					this.forgoOf(hostId, message.pool, message.requestId);
					break;
				}

				case 'batchAdmittedLate': {
					this.admittedLateOf(hostId, message.pool, message.requestId);
					break;
				}

				default: {
					break;
				}
			}
		}));
		this.disposables.add(mesh.onDidLose(hostId => {
			this.dropReservationsOf(hostId);
		}));
	}

	/**
	Returns a quote for a request of this host, and reserves what it asks.
	@param ask - what the request asks of a pool.
	@returns the quote; undefined if this host doesn't schedule the pool or doesn't know its capacity.
	*/
	quote(ask: PoolAsk): Quote | undefined {
		return this.quoteTo(this.options.hostId, ask);
	}

	/**
	Holds reservations of requests of this host in a pool that another host scheduled before.
	@param pool - the pool.
	@param reservations - what is still reserved.
	*/
	reserve(pool: string, reservations: readonly RepeatedReservation[]): void {
		this.reserveOf(this.options.hostId, pool, reservations);
	}

	/**
	Drops the reservations in pools that this host no longer schedules: their hosts repeat them to the new scheduler, and they would be
	out of date if this host schedules the pool again.
	*/
	dropUnowned(): void {
		const nowMs = this.options.clock.nowMs();
		for (const [pool, untilMs] of this.heldUntilMs) {
			if (this.options.isOwner(pool)) {
				this.heldUntilMs.set(pool, Infinity);
			} else if (untilMs === Infinity || untilMs <= nowMs) {
				this.dropReservationsIn(pool);
			}
		}
	}

	/**
	Drops the reservation of a request of this host.
	@param pool - the pool.
	@param requestId - the request.
	*/
	forgo(pool: string, requestId: string): void {
		this.forgoOf(this.options.hostId, pool, requestId);
	}

	/**
	Handles the late admission of a request of this host.
	@param pool - the pool.
	@param requestId - the request.
	*/
	admittedLate(pool: string, requestId: string): void {
		this.admittedLateOf(this.options.hostId, pool, requestId);
	}

	/** Removes reservations that were not used in time. */
	sweep(): void {
		const nowMs = this.options.clock.nowMs();
		for (const pool of this.options.pools.values()) {
			pool.sweepReservations();
		}

		for (const [hostId, held] of this.reservations) {
			for (const [key, {untilMs}] of held) {
				if (untilMs <= nowMs) {
					held.delete(key);
				}
			}

			if (held.size === 0) {
				this.reservations.delete(hostId);
			}
		}
	}

	dispose(): void {
		this.disposables.dispose();
	}

	private answer(hostId: string, message: BatchAskMessage): void {
		const quote = this.quoteTo(hostId, askOfMessage(message));
		if (quote) {
			this.options.mesh.send(hostId, messageOfQuote(message, quote));
		}
	}

	/** A host that doesn't schedule the pool knows neither its queue nor its reservations, so it gives no quote. */
	private quoteTo(hostId: string, ask: PoolAsk): Quote | undefined {
		const {isOwner, poolOf, clock} = this.options;
		if (!isOwner(ask.pool)) {
			return undefined;
		}

		const reservationId = reservationIdOf(hostId, ask.requestId);
		const quote = poolOf(ask.pool).quote({...ask, requestId: reservationId});
		if (quote) {
			const held = this.reservations.get(hostId) ?? new Map<string, Reservation>();
			this.reservations.set(hostId, held);
			const {readyInMs} = ask;
			const {aheadMs, lateAheadMs = 0} = quote;
			const minUntilMs = clock.nowMs() + rememberedMs;
			this.heldUntilMs.set(ask.pool, Infinity);
			held.set(keyOf(ask.pool, ask.requestId), {
				pool: ask.pool,
				reservationId,
				untilMs: minUntilMs + Math.max(readyInMs, aheadMs),
				lateUntilMs: minUntilMs + Math.max(readyInMs, aheadMs, lateAheadMs),
			});
		}

		return quote;
	}

	private reserveOf(hostId: string, pool: string, reservations: readonly RepeatedReservation[]): void {
		const {isOwner, poolOf, clock} = this.options;
		// What is held since this host scheduled the pool before is out of date.
		this.dropUnowned();
		const nowMs = clock.nowMs();
		this.heldUntilMs.set(pool, isOwner(pool) ? Infinity : nowMs + earlyMs);
		const held = this.reservations.get(hostId) ?? new Map<string, Reservation>();
		this.reservations.set(hostId, held);
		for (const reservation of reservations) {
			const {requestId, readyInMs} = reservation;
			const reservationId = reservationIdOf(hostId, requestId);
			poolOf(pool).reserve({...reservation, requestId: reservationId});
			const untilMs = nowMs + rememberedMs + readyInMs;
			held.set(keyOf(pool, requestId), {
				pool, reservationId, untilMs, lateUntilMs: untilMs,
			});
		}
	}

	private dropReservationsIn(pool: string): void {
		this.heldUntilMs.delete(pool);
		this.options.pools.get(pool)?.dropReservations();
		for (const held of this.reservations.values()) {
			for (const [key, reservation] of held) {
				if (reservation.pool === pool) {
					held.delete(key);
				}
			}
		}
	}

	private forgoOf(hostId: string, pool: string, requestId: string): void {
		this.reservations.get(hostId)?.delete(keyOf(pool, requestId));
		this.options.pools.get(pool)?.forgo(reservationIdOf(hostId, requestId));
	}

	private admittedLateOf(hostId: string, pool: string, requestId: string): void {
		const held = this.reservations.get(hostId);
		const key = keyOf(pool, requestId);
		const reservation = held?.get(key);
		if (reservation) {
			held!.set(key, {...reservation, untilMs: reservation.lateUntilMs});
		}

		this.options.pools.get(pool)?.admittedLate(reservationIdOf(hostId, requestId));
	}

	private dropReservationsOf(hostId: string): void {
		for (const {pool, reservationId} of this.reservations.get(hostId)?.values() ?? []) {
			this.options.pools.get(pool)?.forgo(reservationId);
		}

		this.reservations.delete(hostId);
	}
}

/**
Returns the ID under which a pool holds the reservation of a request.
@param hostId - the host that has the request.
@param requestId - ID of the request, unique on its host only.
*/
export function reservationIdOf(hostId: string, requestId: string): string {
	return `${hostId}\n${requestId}`;
}

function keyOf(pool: string, requestId: string): string {
	return `${pool}\n${requestId}`;
}
