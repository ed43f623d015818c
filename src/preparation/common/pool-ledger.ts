/**
Work that requests have reserved in one pool, and the quotes derived from it: when the pool would get to the work of another request.
Without reservations, a request that is still in an earlier pool of its chain would not count, and all hosts would admit requests on
the basis of the same queue. See docs/design/hard-load.md.
*/
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import {
	DemandBucket, DemandWindow, OfferedLoad, sumOf, type Demand,
} from './demand-window.js';
import type {
	AdmissionLedger, ItemDurations, LedgerAsk, LedgerStatus, PoolState, Quote,
} from './quotes.js';
import {ReservedSums, type ReservedSum} from './reserved-sums.js';
import {fullCallMs} from './throughput.js';

/** Reservations end this long after they should have been used: their request or its host is gone. */
export const unusedMs = 3000;
/** Share of a pool that is left to each rank, so that no kind of request is starved by more urgent ones. */
const minRankShare = 0.25;
/** Share of a pool that must be spare for late work to be admitted. */
const minSpareShare = 0.1;
/** With all upstreams busy, the first one is free after this share of a call, divided by their number. */
const firstFreeShare = 0.5;
/**
Margin for work of better ranks that exceeds what was expected, and for a queue that drains unevenly. Where a crowd fills a pool up to
its target, an estimate without a margin is wrong by a few milliseconds to either side, and half of what is admitted is late.
*/
const backlogMargin = 1.05;
/**
The same for space, which becomes free less evenly than upstreams do: the first results of a burst fill it at once, and results are
held for times that vary. In the test with results that fill the space, 0.87 of what was admitted was in time with 1.25, 0.97 with 1.5
and all with 1.75, with the same use of the space.
*/
const spaceMargin = 1.75;
/**
Results of less than this share of the mean size asked for do not wait for space: where large results wait, an upstream has up to the
size of one of them left, and the scheduler sends what fits (`selectPieces`). It leaves space for several of them at each upstream.
*/
const smallResultShare = 0.1;
/** Wait quoted if no upstream accepts work: roughly the time until one is available again. */
const noUpstreamWaitMs = 2000;

/** Amounts of the two resources of a pool, in milliseconds of one upstream, or rates of use, in upstreams. */
type Resources = {readonly serverMs: number; readonly spaceMs: number};

type Reservation = {
	readonly rank: number;
	readonly workspace: string;
	readonly steps: Map<string, Demand>;
	readonly bucket: DemandBucket;
	readonly quotedMs: number;
	readonly expiresMs: number;
	/** Time at which it ends if its request is admitted late. */
	readonly lateExpiresMs: number;
	readonly isLate: boolean;
};

/** The reservations in one pool. */
export class PoolLedger implements AdmissionLedger {
	/**
	Creates a ledger without reservations.
	@param itemTimes - durations of the items of the pool's steps.
	*/
	static create(itemTimes: ItemDurations): PoolLedger {
		return new PoolLedger(itemTimes);
	}

	private readonly reservations = new Map<string, Reservation>();
	private readonly reserved = ReservedSums.create();
	/** Reservations of requests that were admitted late. */
	private readonly reservedLate = ReservedSums.create();
	private readonly demand = new Map<number, DemandWindow>();
	private readonly offered = OfferedLoad.create();

	private constructor(private readonly itemTimes: ItemDurations) {}

	/**
	Returns when the pool would get to the work of a request, and reserves it at once. A repeated call replaces the reservation.
	@param ask - the request and its steps in this pool.
	@param state - state of the pool.
	@param nowMs - the current time.
	*/
	quote(ask: LedgerAsk, state: PoolState, nowMs: number): Quote {
		const {requestId, rank, workspace, readyMs} = ask;
		this.forgo(requestId);
		this.offered.withdraw(requestId);
		const steps = this.stepsOf(ask, state.capacity);
		const own = sumOf(steps.values());
		const aheadMs = this.aheadMs(ask, own, state, nowMs);
		const lateAheadMs = this.lateAheadMs(own, state, aheadMs, nowMs);

		let demand = this.demand.get(rank);
		if (!demand) {
			demand = DemandWindow.create();
			this.demand.set(rank, demand);
		}

		const bucket = demand.record(own, nowMs);
		this.offered.record(requestId, own, nowMs);
		if (steps.size > 0) {
			this.reservations.set(requestId, {
				rank,
				workspace,
				steps,
				bucket,
				quotedMs: nowMs,
				expiresMs: Math.max(readyMs, nowMs + aheadMs) + unusedMs,
				lateExpiresMs: Math.max(readyMs, nowMs + (lateAheadMs ?? aheadMs)) + unusedMs,
				isLate: false,
			});
			this.reserved.add(rank, workspace, own);
		}

		const largestStep = Math.max(0, ...[...steps.values()].map(({pieces}) => pieces));
		return {aheadMs, callMs: this.callMs(largestStep, state, nowMs), lateAheadMs};
	}

	/**
	Reserves work without a quote. It replaces the reservation of the request. The work was asked of another scheduler before, up to
	some seconds ago, so it counts neither as demand nor as offered load of the last second.
	@param ask - the request and its steps in this pool.
	@param isLate - whether the request was admitted late.
	@param capacity - the capacity of the pool.
	@param nowMs - the current time.
	*/
	reserve(ask: LedgerAsk, isLate: boolean, capacity: BatchCapacity, nowMs: number): void {
		const {requestId, rank, workspace, readyMs} = ask;
		this.forgo(requestId);
		const steps = this.stepsOf(ask, capacity);
		if (steps.size === 0) {
			return;
		}

		const work = sumOf(steps.values());
		// The bucket belongs to no window.
		const bucket = DemandBucket.create(nowMs);
		bucket.add(work, 1);
		const expiresMs = Math.max(readyMs, nowMs) + unusedMs;
		const reservation: Reservation = {
			rank, workspace, steps, bucket, quotedMs: nowMs, expiresMs, lateExpiresMs: expiresMs, isLate,
		};
		this.reservations.set(requestId, reservation);
		this.sumsOf(reservation).add(rank, workspace, work);
	}

	/** Drops all reservations, as when another host schedules the pool now. The demand remains, and ends with its second. */
	dropReservations(): void {
		for (const [requestId, reservation] of this.reservations) {
			this.remove(requestId, reservation);
		}
	}

	/**
	Drops the reservation of a request that was refused or has ended. What it had not submitted no longer counts as demand,
	but still as offered load.
	@param requestId - the request.
	*/
	forgo(requestId: string): void {
		const reservation = this.reservations.get(requestId);
		if (reservation) {
			if (!reservation.isLate) {
				reservation.bucket.add(sumOf(reservation.steps.values()), -1);
			}

			this.remove(requestId, reservation);
		}
	}

	/**
	Handles the late admission of a request: its work goes behind all work in time and therefore delays only late work. It is no
	demand of work in time either.
	@param requestId - the request.
	*/
	admittedLate(requestId: string): void {
		const reservation = this.reservations.get(requestId);
		if (!reservation || reservation.isLate) {
			return;
		}

		const {rank, workspace, steps, bucket, lateExpiresMs} = reservation;
		const rest = sumOf(steps.values());
		bucket.add(rest, -1);
		this.reserved.remove(rank, workspace, rest);
		this.reservedLate.add(rank, workspace, rest);
		this.reservations.set(requestId, {...reservation, isLate: true, expiresMs: lateExpiresMs});
	}

	/**
	Handles a step that is queued now and therefore no longer reserved.
	@param requestId - the request.
	@param stepKey - the step.
	*/
	submitted(requestId: string, stepKey: string): void {
		const reservation = this.reservations.get(requestId);
		const step = reservation?.steps.get(stepKey);
		if (!reservation || !step) {
			return;
		}

		if (reservation.steps.size === 1) {
			this.remove(requestId, reservation);
			return;
		}

		reservation.steps.delete(stepKey);
		this.sumsOf(reservation).subtract(reservation.rank, reservation.workspace, step);
	}

	/**
	Removes reservations that were not used in time.
	@param nowMs - the current time.
	*/
	sweep(nowMs: number): void {
		for (const [requestId, reservation] of this.reservations) {
			if (nowMs >= reservation.expiresMs) {
				this.remove(requestId, reservation);
			}
		}
	}

	/**
	Returns the upstream time asked for by better ranks, in upstreams: milliseconds per millisecond, averaged over the last second.
	@param rank - the rank; it and worse ranks do not count.
	@param nowMs - the current time.
	*/
	demandMsPerMs(rank: number, nowMs: number): number {
		return this.demandPerMs(each => each < rank, nowMs).serverMs;
	}

	/**
	Returns the reserved work by rank and workspace, for logs and metrics.
	@param nowMs - the current time.
	*/
	describe(nowMs: number): LedgerStatus[] {
		const oldest = new Map<ReservedSum, number>();
		for (const reservation of this.reservations.values()) {
			const {rank, workspace, quotedMs} = reservation;
			const sum = this.sumsOf(reservation).of(rank, workspace);
			oldest.set(sum, Math.max(oldest.get(sum) ?? 0, nowMs - quotedMs));
		}

		const statusesOf = (sums: ReservedSums, isLate: boolean) => [...sums.entries()].map(({rank, workspace, sum}) => ({
			rank, workspace, isLate, ...sum, oldestMs: oldest.get(sum) ?? 0,
		}));
		return [...statusesOf(this.reserved, false), ...statusesOf(this.reservedLate, true)]
			.toSorted((left, right) => left.rank - right.rank || left.workspace.localeCompare(right.workspace) || Number(left.isLate) - Number(right.isLate));
	}

	/** Time until the pool gets to work of a rank and workspace, in milliseconds. */
	private aheadMs({rank, workspace}: LedgerAsk, own: Demand, state: PoolState, nowMs: number): number {
		const {upstreamCount, queue} = state;
		if (upstreamCount <= 0) {
			return noUpstreamWaitMs;
		}

		const spacePerByteMs = spaceMsPerByte(state);
		let better: Resources = {serverMs: 0, spaceMs: 0};
		const sameRank = new Map<string, Resources>();
		const count = (load: Resources & {readonly rank: number; readonly workspace: string}) => {
			if (load.rank < rank) {
				better = add(better, load);
			} else if (load.rank === rank) {
				sameRank.set(load.workspace, add(sameRank.get(load.workspace), load));
			}
		};

		for (const load of queue) {
			if (!load.isLate) {
				count(load);
			}
		}

		for (const {sum: {serverMs, resultBytes}, ...kind} of this.reserved.entries()) {
			count({...kind, serverMs, spaceMs: resultBytes * spacePerByteMs});
		}

		// Workspaces of one rank take turns: each goes first only with as much work as the asking one has.
		const asking = add(sameRank.get(workspace), {serverMs: own.serverMs, spaceMs: own.resultBytes * spacePerByteMs});
		let {serverMs, spaceMs} = better;
		for (const [each, load] of sameRank) {
			serverMs += each === workspace ? load.serverMs : Math.min(load.serverMs, asking.serverMs);
			spaceMs += each === workspace ? load.spaceMs : Math.min(load.spaceMs, asking.spaceMs);
		}

		if (!state.hasFree) {
			// The last piece of the request starts behind its other ones.
			serverMs += own.serverMs;
			spaceMs += own.resultBytes * spacePerByteMs;
		}

		const demand = this.demandPerMs(each => each < rank, nowMs);
		const minCount = minRankShare * upstreamCount;
		return minWaitMs(state) + Math.max(
			0,
			backlogMargin * serverMs / Math.max(minCount, upstreamCount - demand.serverMs),
			this.needsSpace(own, nowMs) ? spaceMargin * spaceMs / Math.max(minCount, upstreamCount - (demand.resultBytes * spacePerByteMs)) : 0,
		);
	}

	/**
	Time until the pool gets to work behind everything else, in milliseconds; undefined without spare capacity. Refused work counts
	against the spare capacity: in a burst, the admitted demand alone varies around the capacity and leaves a tenth spare by chance.
	*/
	private lateAheadMs(own: Demand, state: PoolState, aheadMs: number, nowMs: number): number | undefined {
		const {upstreamCount, queue} = state;
		const spacePerByteMs = spaceMsPerByte(state);
		const admitted = this.demandPerMs(() => true, nowMs);
		const offered = this.offered.perMs(nowMs);
		const spareServers = upstreamCount - Math.max(admitted.serverMs, offered.serverMs);
		const spareSpace = this.needsSpace(own, nowMs) ? upstreamCount - (Math.max(admitted.resultBytes, offered.resultBytes) * spacePerByteMs) : Infinity;
		if (upstreamCount <= 0 || Math.min(spareServers, spareSpace) < minSpareShare * upstreamCount) {
			return undefined;
		}

		let all: Resources = {serverMs: 0, spaceMs: 0};
		for (const load of queue) {
			all = add(all, load);
		}

		for (const {sum: {serverMs, resultBytes}} of [...this.reserved.entries(), ...this.reservedLate.entries()]) {
			all = add(all, {serverMs, spaceMs: resultBytes * spacePerByteMs});
		}

		return Math.max(aheadMs, minWaitMs(state) + Math.max(backlogMargin * all.serverMs / spareServers, spaceMargin * all.spaceMs / spareSpace));
	}

	/** Whether the results of a request wait for space behind larger ones. */
	private needsSpace(own: Demand, nowMs: number): boolean {
		const {pieces, resultBytes} = this.demandPerMs(() => true, nowMs);
		const meanBytes = pieces > 0 ? resultBytes / pieces : 0;
		return own.resultBytes > smallResultShare * meanBytes * own.pieces;
	}

	/**
	Expected duration of one call, in milliseconds. Calls carry what arrives during one call of each upstream, or the queue if that is
	more, but at least the largest step of the request.
	*/
	private callMs(largestStep: number, {upstreamCount, capacity, queue}: PoolState, nowMs: number): number {
		const {callMs, batchSize} = capacity;
		const demand = this.demandPerMs(() => true, nowMs);
		if (demand.pieces <= 0 || upstreamCount <= 0) {
			return callMs + (batchSize * capacity.itemMs);
		}

		const serverMs = demand.serverMs / demand.pieces;
		const itemMs = Math.max(0, serverMs - (callMs / batchSize));
		// The size of a call at which the upstreams complete as many pieces as are asked for.
		const spareCount = upstreamCount - (demand.pieces * itemMs);
		const arriving = spareCount > 0 ? demand.pieces * callMs / spareCount : batchSize;
		let queuedMs = 0;
		for (const load of queue) {
			queuedMs += load.serverMs;
		}

		const queued = serverMs > 0 ? queuedMs / serverMs / upstreamCount : 0;
		return callMs + (Math.min(batchSize, Math.max(1, largestStep, arriving, queued)) * itemMs);
	}

	private demandPerMs(includes: (rank: number) => boolean, nowMs: number): Demand {
		return sumOf([...this.demand].flatMap(([rank, window]) => includes(rank) ? [window.perMs(nowMs)] : []));
	}

	private stepsOf({steps}: LedgerAsk, capacity: BatchCapacity): Map<string, Demand> {
		const demands = new Map<string, Demand>();
		for (const {stepKey, pieces, resultBytes} of steps) {
			if (pieces > 0) {
				const demand = {pieces, serverMs: pieces * this.itemTimes.serverMs(stepKey, capacity), resultBytes: pieces * resultBytes};
				const other = demands.get(stepKey);
				demands.set(stepKey, other ? sumOf([other, demand]) : demand);
			}
		}

		return demands;
	}

	/** Removes a reservation with its part of the sums. */
	private remove(requestId: string, reservation: Reservation): void {
		const {rank, workspace, steps} = reservation;
		this.reservations.delete(requestId);
		this.sumsOf(reservation).remove(rank, workspace, sumOf(steps.values()));
	}

	private sumsOf({isLate}: Reservation): ReservedSums {
		return isLate ? this.reservedLate : this.reserved;
	}
}

/** Time for which a byte uses the space of one upstream, in milliseconds; 0 if the pool's space is not declared. */
function spaceMsPerByte({capacity, meanHoldMs}: PoolState): number {
	return capacity.roomBytes > 0 ? meanHoldMs / capacity.roomBytes : 0;
}

function minWaitMs({hasFree, capacity, upstreamCount}: PoolState): number {
	return hasFree ? 0 : firstFreeShare * fullCallMs(capacity) / upstreamCount;
}

function add(left: Resources | undefined, right: Resources): Resources {
	return {serverMs: (left?.serverMs ?? 0) + right.serverMs, spaceMs: (left?.spaceMs ?? 0) + right.spaceMs};
}
