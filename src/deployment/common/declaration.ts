/** The declaration that operators write for a whole deployment: routes, pools, limits and keys, under one version that only increases. */
import {z} from 'zod';

/** Kinds of routes, by whether a request may be retried after an attempt that may have run. */
export const routeKinds = {
	/** May run any number of times. */
	repeatable: 'repeatable',
	/** Runs at most once. */
	once: 'once',
	/** Responds with a stream of events; runs at most once unless the route is declared resumable. */
	stream: 'stream',
} as const;
export type RouteKind = typeof routeKinds[keyof typeof routeKinds];

/** Steps of one route: a request asks each pool for all of its steps in one message. */
export const maxSteps = 256;
/** Results of other steps that the steps of one route read, summed over its steps. */
export const maxStepInputs = 4096;
/** Pieces of all steps of one request; no upstreams could process more within a request's time. */
export const maxRequestPieces = 4096;
/** Largest rank: sums and multiples of it stay exact. */
export const maxRank = 1_000_000;
/** Longest duration that the timers of Node.js measure; a longer one counts as this one. */
export const maxDurationMs = (2 ** 31) - 1;

const count = z.number().int().nonnegative();
const durationMs = z.number().nonnegative();
/** Why an item can't be used: its requests are refused as not run. Absent for items that can. */
const problem = z.string().optional();

const stepSchema = z.object({
	/** The pool whose upstreams produce the results of this step. */
	pool: z.string(),
	/** Indexes of the steps whose results this one reads. */
	after: z.array(count).transform(indexes => [...new Set(indexes)]),
	/** Approximate size of one result. */
	resultBytes: z.number().nonnegative(),
});
/** A step that must complete before the request itself can run. */
export type PreparationStep = z.infer<typeof stepSchema>;

export const routeSchema = z.object({
	name: z.string(),
	hostName: z.string(),
	/** Begins and ends with a slash. */
	pathPrefix: z.string(),
	kind: z.enum(routeKinds),
	/** Maximum time for which a request may be held. */
	timeoutMs: durationMs,
	/** Time within which a response is most valuable; for a stream, its first event. */
	targetMs: durationMs,
	/** 0 is the most urgent. */
	rank: count,
	targets: z.array(z.object({pool: z.string(), weight: z.number().nonnegative()})).min(1),
	/** Maximum number of upstreams that one request may run on. */
	maxAttempts: z.number().int().positive(),
	steps: z.array(stepSchema),
	/** Whether requests need no key. */
	isPublic: z.boolean(),
	/** Whether requests share parts of their prompts, so that an upstream that has already processed a part is the better choice. */
	hasAffinity: z.boolean(),
	isResumable: z.boolean(),
	problem,
});
export type Route = z.infer<typeof routeSchema>;

const batchSchema = z.object({
	/** Calls that one upstream processes concurrently. */
	slots: z.number().int().positive(),
	/** Maximum number of pieces in one call. */
	batchSize: z.number().int().positive(),
	/** Fixed time of a call, whatever it carries. */
	callMs: durationMs,
	/** Approximate additional time of each piece. */
	itemMs: durationMs,
	/** Memory of one upstream for results. */
	roomBytes: z.number().nonnegative(),
	/** How long a result is kept after its call unless it is released earlier. */
	resultTtlMs: durationMs,
	/** Bandwidth of the upstream's network link, over which its results are read. */
	linkBytesPerMs: z.number().positive().optional(),
});
/** Capacity of one upstream of a pool that works in batches. */
export type BatchCapacity = z.infer<typeof batchSchema>;

const engineSchema = z.object({
	/** Requests that one engine runs concurrently. */
	slots: z.number().int().positive(),
	/** Number of tokens that its memory holds. */
	memoryTokens: z.number().nonnegative(),
});

const coldSchema = z.object({
	/** Requests per second that a cold upstream tolerates; it crashes at rates well above. */
	bearsPerS: z.number().nonnegative(),
	/** How long an upstream is cold after it starts. */
	afterStartMs: durationMs,
});

export const poolSchema = z.object({
	name: z.string(),
	/** Connections that one upstream accepts from all hosts together. */
	maxConnections: z.number().int().positive(),
	/** Absent if upstreams of the pool are never cold. */
	cold: coldSchema.optional(),
	engine: engineSchema.optional(),
	batch: batchSchema.optional(),
});
export type PoolDeclaration = z.infer<typeof poolSchema>;

export const limitsSchema = z.object({
	maxHeaderBytes: count,
	maxBodyBytes: count,
	headerTimeoutMs: durationMs,
	idleTimeoutMs: durationMs,
});
/** Limits on what one caller may send and how long it may take. */
export type CallerLimits = z.infer<typeof limitsSchema>;

export const workspaceSchema = z.object({
	name: z.string(),
	keys: z.array(z.string()),
	/** Takes precedence over the rank of the route. */
	rank: count.optional(),
	problem,
});
export type WorkspaceDeclaration = z.infer<typeof workspaceSchema>;

/** One version of the declaration. */
export type Deployment = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly pools: readonly PoolDeclaration[];
	readonly limits: CallerLimits;
	/** Absent if no request needs a key. */
	readonly workspaces?: readonly WorkspaceDeclaration[] | undefined;
	/** What its source could not use and left out; only on the host that has read it there. */
	readonly problems?: readonly string[] | undefined;
};
