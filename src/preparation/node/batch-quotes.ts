/**
Answers the asks of hosts for the pools that this host schedules. Reservations are held for each host separately: callers choose the
IDs of their requests, so requests of two hosts may have the same ID.
*/
import type {Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {PeerMesh} from '../../peers/node/peer-mesh.js';
import type {BatchAskMessage} from '../../wire/common/messages.js';
import {askOfMessage, messageOfQuote} from '../common/quote-messages.js';
import type {PoolAsk, Quote} from '../common/quotes.js';
import type {BatchPool} from './batch-pool.js';

/** A pool of this host that gives quotes. */
export type QuotingPool = Pick<BatchPool, 'quote' | 'forgo' | 'admittedLate' | 'sweepReservations'>;

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

	private constructor(private readonly options: BatchQuotesOptions) {
		const {mesh} = options;
		this.disposables.add(mesh.onDidReceive(({hostId, message}) => {
			switch (message.type) {
				case 'batchAsk': {
					this.answer(hostId, message);
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
			held.set(keyOf(ask.pool, ask.requestId), {
				pool: ask.pool,
				reservationId,
				untilMs: minUntilMs + Math.max(readyInMs, aheadMs),
				lateUntilMs: minUntilMs + Math.max(readyInMs, aheadMs, lateAheadMs),
			});
		}

		return quote;
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
