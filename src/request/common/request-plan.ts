/** The plan of a request, and the types that describe its progress and result. */
import type {EffectivePolicy, StageKind} from '../../settings/common/schema.js';
import type {PromptPart} from '../../routing/common/engine-loads.js';
import type {Header, HttpCall} from '../../wire/common/messages.js';
import type {AttemptRules} from './attempt-rules.js';
import type {StreamOrigin} from './stream-origin.js';

/** One stage of a request, with all inherited settings resolved. */
export type StagePlan = {
	readonly name: string;
	readonly index: number;
	readonly kind: StageKind | 'http';
	readonly pool: string;
	/** Number of calls that an upstream of the pool runs at once if it does not report a number itself. */
	readonly slots: number;
	/** Identifies the stage in time estimates, which all workspaces share. */
	readonly key: string;
	/** Identifies the stage of this workspace in retry and hedge budgets. */
	readonly budgetKey: string;
	readonly policy: EffectivePolicy;
	/** Time within which an answer has its full value, if the stage has a target of its own. */
	readonly targetMs?: number;
	/** Priority rank of the route, if it has one; 0 is the most urgent. */
	readonly rank?: number;
	/** Parts of the prompt that a model engine reads, if the request declares them. */
	readonly prompt?: readonly PromptPart[];
	/** Size in bytes of the results that the upstream fetches before it runs, by the data hall where they are stored. */
	readonly inputBytesByHall?: ReadonlyMap<string, number>;
	/** Where the stream began that the stage continues; only upstreams that may continue it are chosen. */
	readonly origin?: StreamOrigin;
};

/** Status and headers of an HTTP answer. */
export type HttpResponseHead = {readonly status: number; readonly headers: readonly Header[]};

/** Results that a request reads before it runs. */
export type PreparedInputs = {
	readonly handles: readonly string[];
	/** Approximate number of bytes stored in each data hall. */
	readonly bytesByHall: ReadonlyMap<string, number>;
	/** Returns whether any of them was released, so that another upstream could not read it. */
	readonly areReleased: () => boolean;
};

export const noInputs: PreparedInputs = {handles: [], bytesByHall: new Map(), areReleased: () => false};

/** Why the preparation of a request failed. */
export type PreparationFailure = {readonly code: FailureCode; readonly message: string; readonly retryAfterMs?: number};

/** Everything that the state machine of a request needs at the start. */
export type RequestPlan = {
	readonly requestId: string;
	readonly workspace: string;
	/** The pipeline, or the service of a plain call. */
	readonly pipeline: string;
	readonly stages: readonly StagePlan[];
	readonly policy: EffectivePolicy;
	readonly isRepeatable: boolean;
	/** Revision of the settings from which the plan was made. */
	readonly settingsRevision: number;
	readonly needsClaim: boolean;
	/** Whether work on other upstreams, the preparation, must be done before the first stage. */
	readonly needsPreparation: boolean;
	readonly rules: AttemptRules;
	/** Whether units of the last stage are delivered to the caller as they are received. */
	readonly isStreaming: boolean;
	readonly startMs: number;
	readonly deadlineMs: number;
	/** Latest time of a final answer. */
	readonly hardDeadlineMs: number;
	readonly input: Uint8Array;
	readonly http?: HttpCall;
	/** Keys of the parts that the request's prompt shares with others; absent if it has none. */
	readonly sharedParts?: readonly string[];
	readonly prefixHash: number;
	readonly seed: number;
};

/** How a request ended, as reported to its caller. */
export const outcomes = {
	completed: 'completed', refused: 'refused', failed: 'failed', unknown: 'unknown',
} as const;
export type RequestOutcome = typeof outcomes[keyof typeof outcomes];

/** Why a request did not complete; stable, and listed in docs/API.md. */
export const failureCodes = {
	deadlineUnreachable: 'deadlineUnreachable',
	deadlineExceeded: 'deadlineExceeded',
	noUpstream: 'noUpstream',
	/** No upstream of the software version that began the stream accepts work. */
	versionGone: 'versionGone',
	overloaded: 'overloaded',
	storeUnavailable: 'storeUnavailable',
	duplicateRequest: 'duplicateRequest',
	attemptsExhausted: 'attemptsExhausted',
	upstreamFailed: 'upstreamFailed',
	resultUnknown: 'resultUnknown',
	callerGone: 'callerGone',
	/** The preparation of the request failed or could not be done in time. */
	preparationFailed: 'preparationFailed',
	stopping: 'stopping',
	/** Several servers crashed while they ran the request, so it is sent to no other server. */
	quarantined: 'quarantined',
} as const;
export type FailureCode = typeof failureCodes[keyof typeof failureCodes];

/** Retry delay for a caller that can retry at another host: short, since the other host can serve the retry immediately. */
export const otherHostRetryAfterMs = 50;

/** The states of an attempt: two while it is live, then how it ended. */
export const attemptStates = {
	sent: 'sent', started: 'started', notRun: 'notRun', completed: 'completed', failed: 'failed', unknown: 'unknown',
} as const;
export type AttemptState = typeof attemptStates[keyof typeof attemptStates];

/** The record of one attempt that is shown to operators. */
export type AttemptTrace = {
	readonly upstreamId: string;
	readonly softwareVersion?: string | undefined;
	readonly state: AttemptState;
	readonly reason: string;
	readonly kind: 'first' | 'retry' | 'hedge' | 'resume';
	readonly sentAtMs: number;
	readonly queueMs: number;
	readonly runMs: number;
	readonly units: number;
	/** Status of the upstream's HTTP response, if it has sent one. */
	readonly status?: number | undefined;
	/** Whether only the close of the upstream's connection ends that response. */
	readonly isUnframed?: boolean | undefined;
	readonly candidates: ReadonlyArray<{readonly upstreamId: string; readonly scoreMs: number}>;
};

/** The record of one stage that is shown to operators. */
export type StageTrace = {
	readonly stage: string;
	readonly heldMs: number;
	readonly tookMs: number;
	readonly attempts: readonly AttemptTrace[];
	/** Upstream time that contributed to the answer. */
	readonly usefulMs: number;
	/** Upstream time of attempts that failed, were lost or were cancelled. */
	readonly wastedMs: number;
};

/** The result of a request. */
export type RequestResult = {
	readonly outcome: RequestOutcome;
	/** True only if every attempt is known not to have run. */
	readonly isNotRun: boolean;
	readonly code?: FailureCode;
	readonly message: string;
	readonly retryAfterMs?: number;
	readonly isLate: boolean;
	readonly tookMs: number;
	/** Unit count and, in `digest`, the chained digest of the complete answer. */
	readonly units: number;
	readonly digest: number;
	/** The answer; already delivered if the request was streaming. */
	readonly body: Uint8Array;
	readonly http?: HttpResponseHead;
	readonly stages: readonly StageTrace[];
};
