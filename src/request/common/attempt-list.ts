/** The attempts at one stage, by id and by state. */
import {refusalReasons} from '../../wire/common/messages.js';
import type {Attempt} from './attempt.js';
import type {AttemptRules} from './attempt-rules.js';
import {attemptStates} from './request-plan.js';

/** Reason of an attempt that ended as the connection to its agent was lost: its upstream may still be at work. */
export const connectionLostReason = 'connectionLost';

/** Holds the attempts at a stage in the order in which they were sent. */
export class AttemptList {
	static create(): AttemptList {
		return new AttemptList();
	}

	readonly all: Attempt[] = [];
	private readonly byId = new Map<string, Attempt>();

	get count(): number {
		return this.all.length;
	}

	get live(): Attempt[] {
		return this.all.filter(attempt => attempt.isLive);
	}

	get hasLive(): boolean {
		return this.all.some(attempt => attempt.isLive);
	}

	/** Whether attempts are live, and all of them are silent. */
	get areLiveSilent(): boolean {
		const {live} = this;
		return live.length > 0 && live.every(attempt => attempt.isSilent);
	}

	/** Upstreams at which an attempt is live. */
	get liveUpstreamIds(): Set<string> {
		return new Set(this.live.map(attempt => attempt.options.upstreamId));
	}

	/** Whether any attempt may have run. */
	get mayHaveRun(): boolean {
		return this.all.some(attempt => attempt.mayHaveRun);
	}

	/** Whether any attempt is known to have started. */
	get hasStarted(): boolean {
		return this.all.some(attempt => attempt.state !== attemptStates.sent && attempt.state !== attemptStates.notRun);
	}

	/** Whether the result of any ended attempt is unknown. */
	get hasUnknown(): boolean {
		return this.all.some(attempt => attempt.state === attemptStates.unknown);
	}

	/** Upstreams to which an attempt was sent. */
	get upstreamIds(): Set<string> {
		return new Set(this.all.map(attempt => attempt.options.upstreamId));
	}

	/** Upstream of an attempt that has yielded and was not followed by another one there. It is asked again before any other one, as it has prepared the work. */
	get yieldedUpstreamId(): string | undefined {
		const last = new Map(this.all.map(attempt => [attempt.options.upstreamId, attempt]));
		return [...last.values()].findLast(attempt => attempt.hasYielded)?.options.upstreamId;
	}

	get dispatchIds(): string[] {
		return this.all.map(attempt => attempt.options.dispatchId);
	}

	/**
	Returns whether no attempt other than the given one is live.
	@param attempt - the attempt to leave out of account.
	*/
	hasNoOtherLive(attempt: Attempt): boolean {
		return this.all.every(other => other === attempt || !other.isLive);
	}

	/**
	Returns the attempts at one upstream that have not ended.
	@param upstreamId - the id of the upstream.
	*/
	liveAt(upstreamId: string): Attempt[] {
		return this.all.filter(attempt => attempt.isLive && attempt.options.upstreamId === upstreamId);
	}

	/**
	Returns the attempts at one upstream that ended as the connection to its agent was lost.
	@param upstreamId - the id of the upstream.
	*/
	lostAt(upstreamId: string): Attempt[] {
		return this.all.filter(({reason, options}) => reason === connectionLostReason && options.upstreamId === upstreamId);
	}

	/**
	Returns the number of attempts that count against the maximum for a stage. One that has yielded and the next one at its upstream count once.
	@param rules - determines whether refusals count.
	*/
	countAgainstLimit({countsRefusals}: AttemptRules): number {
		const counted = countsRefusals ? this.all : this.all.filter(attempt => attempt.mayHaveRun);
		return counted.filter(({hasYielded, options: {upstreamId}}, index) => !hasYielded || counted.slice(index + 1).every(({options}) => options.upstreamId !== upstreamId)).length;
	}

	/**
	Returns the started attempts that were sent before another one and are live.
	@param attempt - the later attempt.
	*/
	startedBefore(attempt: Attempt): Attempt[] {
		return this.all.slice(0, this.all.indexOf(attempt)).filter(({state}) => state === attemptStates.started);
	}

	/**
	Returns whether the stage may have no further attempt.
	@param rules - determines how refusals count.
	@param maxAttempts - the maximum number of attempts at a stage.
	*/
	isExhausted(rules: AttemptRules, maxAttempts: number): boolean {
		const refused = this.all.filter(attempt => !attempt.mayHaveRun);
		// An upstream that can't be reached does not show that its pool is full: its first such attempt is no refusal.
		const unreachableIds = new Set(refused.filter(({reason}) => reason === refusalReasons.unreachable).map(({options}) => options.upstreamId));
		return this.countAgainstLimit(rules) >= maxAttempts || refused.length - unreachableIds.size >= rules.maxRefusals;
	}

	add(attempt: Attempt): void {
		this.all.push(attempt);
		this.byId.set(attempt.options.dispatchId, attempt);
	}

	/**
	Finds an attempt that has not ended.
	@param dispatchId - the id of its dispatch.
	@returns the attempt, or `undefined` if there is none or it has ended.
	*/
	findLive(dispatchId: string): Attempt | undefined {
		const attempt = this.byId.get(dispatchId);
		return attempt?.isLive ? attempt : undefined;
	}
}
