/** What one request is to do, and how it ended. */
import type {EffectivePolicy, StageKind} from '../../settings/common/schema.js';
import type {PromptPart} from '../../routing/common/engine-loads.js';
import type {Header, HttpCall} from '../../wire/common/messages.js';
import type {AttemptRules} from './attempt-rules.js';

/** One stage of a request, with everything inherited. */
export type StagePlan = {
	readonly name: string;
	readonly index: number;
	readonly kind: StageKind | 'http';
	readonly pool: string;
	/** Calls one upstream of the pool runs at once where it does not say. */
	readonly slots: number;
	/** Names the stage in estimates, which all workspaces share. */
	readonly key: string;
	/** Names the stage of this workspace in budgets. */
	readonly budgetKey: string;
	readonly policy: EffectivePolicy;
	/** Time within which an answer is worth most, where the stage has a target of its own. */
	readonly targetMs?: number;
	/** Of the route, where it has one; 0 is the most urgent. */
	readonly rank?: number;
	/** Parts of the prompt a model engine reads, where it says them. */
	readonly prompt?: readonly PromptPart[];
	/** Bytes of results that its upstream fetches before it runs, by the data hall where they lie. */
	readonly inputBytesByHall?: ReadonlyMap<string, number>;
};

/** Status and headers of an answer. */
export type HttpHead = {readonly status: number; readonly headers: readonly Header[]};

/** Results that a request reads before it runs. */
export type PreparedInputs = {
	readonly handles: readonly string[];
	/** Bytes that lie in each data hall, about. */
	readonly bytesByHall: ReadonlyMap<string, number>;
};

export const noInputs: PreparedInputs = {handles: [], bytesByHall: new Map()};

/** Why the work before a request could not be done. */
export type PreparationFailure = {readonly code: FailureCode; readonly message: string; readonly retryAfterMs?: number};

/** Everything the request machine needs to know at the start. */
export type RequestPlan = {
	readonly requestId: string;
	readonly workspace: string;
	/** The pipeline, or the service of a plain call. */
	readonly pipeline: string;
	readonly stages: readonly StagePlan[];
	readonly policy: EffectivePolicy;
	readonly isRepeatable: boolean;
	/** Settings the plan was made of. */
	readonly settingsRevision: number;
	readonly needsClaim: boolean;
	/** Whether work on other upstreams must be done before the first stage. */
	readonly needsPreparation: boolean;
	readonly rules: AttemptRules;
	/** Whether units of the last stage go to the caller as they come. */
	readonly isStreaming: boolean;
	readonly startMs: number;
	readonly deadlineMs: number;
	/** Latest time of a final answer. */
	readonly giveUpMs: number;
	readonly input: Uint8Array;
	readonly http?: HttpCall;
	readonly prefixHash: number;
	readonly seed: number;
};

/** How a request ended, as told to its caller. */
export const outcomes = {
	completed: 'completed', refused: 'refused', failed: 'failed', unknown: 'unknown',
} as const;
export type RequestOutcome = typeof outcomes[keyof typeof outcomes];

/** Why a request did not complete; stable, and listed in docs/API.md. */
export const failureCodes = {
	deadlineUnreachable: 'deadlineUnreachable',
	deadlineExceeded: 'deadlineExceeded',
	noUpstream: 'noUpstream',
	overloaded: 'overloaded',
	storeUnavailable: 'storeUnavailable',
	duplicateRequest: 'duplicateRequest',
	attemptsExhausted: 'attemptsExhausted',
	upstreamFailed: 'upstreamFailed',
	upstreamRejected: 'upstreamRejected',
	resultUnknown: 'resultUnknown',
	callerGone: 'callerGone',
	/** The work before the request could not be done in time. */
	preparationFailed: 'preparationFailed',
	stopping: 'stopping',
	/** Several servers ended while they ran it: it is sent to no other. */
	quarantined: 'quarantined',
} as const;
export type FailureCode = typeof failureCodes[keyof typeof failureCodes];

/** When a caller may ask another host, which has nothing to wait for. */
export const otherHostMs = 50;

/** How one attempt ended. */
export const attemptStates = {
	sent: 'sent', started: 'started', notRun: 'notRun', completed: 'completed', failed: 'failed', unknown: 'unknown',
} as const;
export type AttemptState = typeof attemptStates[keyof typeof attemptStates];

/** One attempt, as explained to operators. */
export type AttemptTrace = {
	readonly upstreamId: string;
	readonly state: AttemptState;
	readonly reason: string;
	readonly kind: 'first' | 'retry' | 'hedge' | 'resume';
	readonly sentAtMs: number;
	readonly queueMs: number;
	readonly runMs: number;
	readonly units: number;
	readonly candidates: ReadonlyArray<{readonly upstreamId: string; readonly scoreMs: number}>;
};

/** One stage, as explained to operators. */
export type StageTrace = {
	readonly stage: string;
	readonly heldMs: number;
	readonly tookMs: number;
	readonly attempts: readonly AttemptTrace[];
	/** Upstream time that went into the answer. */
	readonly usefulMs: number;
	/** Upstream time that did not: failed, lost, cancelled. */
	readonly wastedMs: number;
};

/** The end of a request. */
export type RequestResult = {
	readonly outcome: RequestOutcome;
	/** True only where every attempt is known not to have run. */
	readonly isNotRun: boolean;
	readonly code?: FailureCode;
	readonly message: string;
	readonly retryAfterMs?: number;
	readonly isLate: boolean;
	readonly tookMs: number;
	/** Units and chained digest of the whole answer. */
	readonly units: number;
	readonly digest: number;
	/** The answer; already delivered where the request was streaming. */
	readonly body: Uint8Array;
	readonly http?: HttpHead;
	readonly stages: readonly StageTrace[];
};
