/** What the request machine asks of routing; one implementation in the entry, small ones in tests. */
import type {Choice} from '../../routing/common/chooser.js';
import type {Standing} from '../../quarantine/common/quarantine.js';
import type {Attempt} from './attempt.js';
import type {RequestPlan, StagePlan} from './request-plan.js';

/** Why no upstream of a pool gets work for a while, which waiting a moment does not change. */
export type Unavailability = {readonly message: string; readonly retryAfterMs: number};

/** Decisions about upstreams, and what is learnt from attempts. */
export type RequestRouter = {
	/** @returns whether a request may be sent, by what became of the same content before. */
	standingOf(plan: RequestPlan): Standing;
	/**
	Chooses an upstream.
	@param stage - the stage to run.
	@param excluded - upstreams not to choose.
	@param prefixHash - the shared part of the input.
	@param nowMs - the time.
	@returns the choice, or nothing where no upstream may be chosen.
	*/
	choose(stage: StagePlan, excluded: ReadonlySet<string>, prefixHash: number, nowMs: number): Choice | undefined;
	/** @returns why a stage for which no upstream may be chosen is refused at once; nothing where it may wait for one. */
	unavailability(stage: StagePlan, nowMs: number): Unavailability | undefined;
	/** @returns when a caller refused by the upstreams of a stage had best come back; nothing where that is not known. */
	retryAfterMs(stage: StagePlan, nowMs: number): number | undefined;
	/** @returns whether a retry of this stage is within the budget; it is then paid for. */
	mayRetry(stage: StagePlan, nowMs: number): boolean;
	/** @returns after how long an attempt is hedged, or nothing where it is not. */
	hedgeDelayMs(stage: StagePlan): number | undefined;
	/** @returns whether a hedge of this stage is within the budget; it is then paid for. */
	mayHedge(stage: StagePlan, nowMs: number): boolean;
	/** @returns the time that even a lucky run of these stages takes on the upstreams, without any wait. */
	optimisticRunMs(stages: readonly StagePlan[]): number;
	/** @returns the same with the shortest waits there are now. */
	optimisticFinishMs(stages: readonly StagePlan[], nowMs: number): number;
	/** An attempt was sent. */
	didDispatch(stage: StagePlan, attempt: Attempt, prefixHash: number, nowMs: number): void;
	/** The first unit of an attempt's answer has come; called at most once for each attempt. */
	didBegin(stage: StagePlan, attempt: Attempt, nowMs: number): void;
	/** An attempt has ended; called once for each that was sent. */
	didEnd(stage: StagePlan, attempt: Attempt, nowMs: number): void;
	/** A stage was completed. */
	didComplete(stage: StagePlan, tookMs: number): void;
	/** @returns an id that no other dispatch has. */
	newDispatchId(): string;
};
