/** What operators declare for a whole deployment: routes, pools, limits and keys, under one version that only rises. */
import {z} from 'zod';

/** What may be done with a request again after an attempt that may have run. */
export const routeKinds = {
	/** May run any number of times. */
	repeatable: 'repeatable',
	/** Runs at most once. */
	once: 'once',
	/** Answers with a stream of events; runs at most once unless the route says that it can be resumed. */
	stream: 'stream',
} as const;
export type RouteKind = typeof routeKinds[keyof typeof routeKinds];

const count = z.number().int().nonnegative();
const durationMs = z.number().nonnegative();

const stepSchema = z.object({
	/** The pool whose upstreams make the results of this step. */
	pool: z.string(),
	/** Steps whose results this one reads, by their numbers. */
	after: z.array(count),
	/** Size of one result, about. */
	resultBytes: z.number().nonnegative(),
});
/** Work that must be done before the request itself can run. */
export type PreparationStep = z.infer<typeof stepSchema>;

export const routeSchema = z.object({
	name: z.string(),
	hostName: z.string(),
	/** Begins and ends with a slash. */
	pathPrefix: z.string(),
	kind: z.enum(routeKinds),
	/** Longest time a request may be held. */
	timeoutMs: durationMs,
	/** Time within which an answer is worth most; for a stream, its first event. */
	targetMs: durationMs,
	/** 0 is the most urgent. */
	rank: count,
	targets: z.array(z.object({pool: z.string(), weight: z.number().nonnegative()})).min(1),
	/** Most upstreams one request may run on. */
	maxAttempts: z.number().int().positive(),
	steps: z.array(stepSchema),
	/** Whether a request needs no key. */
	isPublic: z.boolean(),
	/** Whether requests share parts of their prompts, so that the upstream which has read a part is the better choice. */
	hasAffinity: z.boolean(),
	isResumable: z.boolean(),
});
export type Route = z.infer<typeof routeSchema>;

const batchSchema = z.object({
	/** Calls one upstream works on at once. */
	slots: z.number().int().positive(),
	/** Pieces one call may carry. */
	batchSize: z.number().int().positive(),
	/** Time of a call whatever it carries. */
	callMs: durationMs,
	/** Time of each piece, about. */
	itemMs: durationMs,
	/** Room of one upstream for results. */
	roomBytes: z.number().nonnegative(),
	/** How long a result is kept after its call unless it is released. */
	resultTtlMs: durationMs,
	/** What its link carries, for results that are read. */
	linkBytesPerMs: z.number().positive().optional(),
});
/** What one upstream of a pool that works in batches can do. */
export type BatchCapacity = z.infer<typeof batchSchema>;

const engineSchema = z.object({
	/** Requests one engine runs at once. */
	slots: z.number().int().positive(),
	/** Tokens its memory holds. */
	memoryTokens: z.number().nonnegative(),
});

const coldSchema = z.object({
	/** Requests a second that a cold upstream bears; it falls over well above. */
	bearsPerS: z.number().nonnegative(),
	/** How long an upstream is cold after it has started. */
	afterStartMs: durationMs,
});

export const poolSchema = z.object({
	name: z.string(),
	/** Connections one upstream accepts from all hosts together. */
	maxConnections: z.number().int().positive(),
	/** Absent where upstreams of the pool are never cold. */
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
/** Bounds on what one caller may send and how long it may take. */
export type CallerLimits = z.infer<typeof limitsSchema>;

export const workspaceSchema = z.object({
	name: z.string(),
	keys: z.array(z.string()),
	/** Goes before the rank of the route. */
	rank: count.optional(),
});
export type WorkspaceDeclaration = z.infer<typeof workspaceSchema>;

/** The whole declaration. */
export type Deployment = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly pools: readonly PoolDeclaration[];
	readonly limits: CallerLimits;
	/** Absent where no request needs a key. */
	readonly workspaces?: readonly WorkspaceDeclaration[] | undefined;
};
