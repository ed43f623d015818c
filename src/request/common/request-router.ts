/** The routing interface that a request uses. Entries implement it for agents and for direct upstreams; tests use small stubs. */
import type {Choice} from '../../routing/common/chooser.js';
import type {Standing} from '../../quarantine/common/quarantine.js';
import type {Attempt} from './attempt.js';
import type {RequestPlan, StagePlan} from './request-plan.js';
import type {StreamOrigin} from './stream-origin.js';

/** Why no upstream of a pool will accept work soon, so that the request is refused instead of held. */
export type Unavailability = {readonly message: string; readonly retryAfterMs: number};

/** Chooses upstreams, and updates its statistics from the attempts made. */
export type RequestRouter = {
	/** @returns the quarantine status of a request, derived from the outcomes of earlier requests with the same content. */
	standingOf(plan: RequestPlan): Standing;
	/**
	Chooses an upstream.
	@param stage - the stage to run.
	@param excluded - upstreams that must not be chosen.
	@param prefixHash - hash of the part of the input that other requests may share.
	@param nowMs - the current time.
	@returns the choice, or `undefined` if no upstream may be chosen.
	*/
	choose(stage: StagePlan, excluded: ReadonlySet<string>, prefixHash: number, nowMs: number): Choice | undefined;
	/**
	Chooses an upstream that was chosen before for the same stage.
	@param stage - the stage to run.
	@param upstreamId - id of the upstream.
	@param nowMs - the current time.
	@returns the choice, or `undefined` if the upstream may not be chosen now.
	*/
	chooseAgain(stage: StagePlan, upstreamId: string, nowMs: number): Choice | undefined;
	/** @returns why a stage without an available upstream is to be refused immediately, or `undefined` if it may wait for one. */
	unavailability(stage: StagePlan, nowMs: number): Unavailability | undefined;
	/** @returns whether an upstream that accepts work may continue the stream that the stage continues; true if the stage continues none. */
	canContinue(stage: StagePlan): boolean;
	/** @returns the retry delay for a caller whose request the stage's upstreams refused, or `undefined` if it is not known. */
	retryAfterMs(stage: StagePlan, nowMs: number): number | undefined;
	/** @returns whether the budget allows a retry of this stage; if so, the retry is charged to the budget. */
	mayRetry(stage: StagePlan, nowMs: number): boolean;
	/** @returns the time after which an attempt is hedged, or `undefined` if it is not hedged. */
	hedgeDelayMs(stage: StagePlan): number | undefined;
	/** @returns whether the budget allows a hedge of this stage; if so, the hedge is charged to the budget. */
	mayHedge(stage: StagePlan, nowMs: number): boolean;
	/** @returns an optimistic estimate of the time that the stages run on upstreams, without queueing. */
	optimisticRunMs(stages: readonly StagePlan[]): number;
	/** @returns an optimistic estimate of the time until the stages are finished, with the shortest current queueing times. */
	optimisticFinishMs(stages: readonly StagePlan[], nowMs: number): number;
	/** @returns the version of an upstream's software, or `undefined` if it is not known. */
	softwareVersionOf(upstreamId: string): string | undefined;
	/** Called when an attempt is sent. */
	didDispatch(stage: StagePlan, attempt: Attempt, prefixHash: number, nowMs: number): void;
	/** @returns the origin of a stream that begins with an attempt, or `undefined` if any upstream may continue it. */
	originOf(stage: StagePlan, attempt: Attempt): StreamOrigin | undefined;
	/** Called when the first unit of an attempt's answer is received; at most once for each attempt. */
	didBegin(stage: StagePlan, attempt: Attempt, nowMs: number): void;
	/** Called when an attempt has ended; exactly once for each attempt sent. */
	didEnd(stage: StagePlan, attempt: Attempt, nowMs: number): void;
	/** Called when a stage is completed. */
	didComplete(stage: StagePlan, tookMs: number): void;
	/** @returns a unique dispatch id. */
	newDispatchId(): string;
};
