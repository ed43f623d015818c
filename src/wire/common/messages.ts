/** The messages between this system's own processes. */
import {z} from 'zod';

/** Version of the protocol; both sides must name the same. */
export const protocolVersion = 6;

const id = z.string().min(1).max(128);
const name = z.string().min(1).max(200);
/** A start of an upstream: its name in the platform's list, with the time of the start. */
const serverId = z.string().min(1).max(256);
/** Names what a request asks for, whatever id its try has. */
const contentId = z.string().length(32);
const count = z.number().int().nonnegative();
const ms = z.number().nonnegative();
const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array, 'expected bytes');
const headerSchema = z.strictObject({name: z.string().max(256), value: z.string().max(16_384)});

/** What a process does. */
export const roles = {entry: 'entry', agent: 'agent'} as const;
export type Role = typeof roles[keyof typeof roles];

/** How an agent stands towards new work. */
export const serveStates = {serving: 'serving', leaving: 'leaving'} as const;
export type ServeState = typeof serveStates[keyof typeof serveStates];

/** Names one run of one process; an address says nothing about who is behind it. */
const identitySchema = z.strictObject({
	hostId: id,
	incarnation: id,
	role: z.enum(roles),
	hall: name,
	/** The upstream behind an agent, with the pool it serves in. */
	upstreamId: id.optional(),
	pool: name.optional(),
});
export type Identity = z.infer<typeof identitySchema>;

const loadedModelSchema = z.strictObject({model: name, adapters: z.array(name).max(256), version: name});
export type LoadedModel = z.infer<typeof loadedModelSchema>;

/** What an agent knows of its upstream. */
const upstreamLoadSchema = z.strictObject({
	running: count,
	queued: count,
	slots: count,
	/** Middle time of recent calls on the upstream. */
	serviceMs: ms,
	models: z.array(loadedModelSchema).max(64),
});
export type UpstreamLoad = z.infer<typeof upstreamLoadSchema>;

const generateCallSchema = z.strictObject({
	kind: z.literal('generate'),
	model: name,
	adapter: name.optional(),
	version: name.optional(),
	prompt: bytes,
	maxTokens: count,
	seed: count,
	/** Tokens the caller already has. */
	resumeOffset: count,
});
const runCallSchema = z.strictObject({kind: z.literal('run'), input: bytes});
const httpCallSchema = z.strictObject({
	kind: z.literal('http'),
	method: z.string().regex(/^[A-Z]{1,20}$/v),
	path: z.string().max(8192),
	headers: z.array(headerSchema).max(200),
	body: bytes,
	/** Names of results the upstream reads first. */
	inputs: z.array(z.string().max(256)).max(4096).optional(),
	/** Units of the answer the caller already has. */
	resumeOffset: count.optional(),
});
const callSchema = z.discriminatedUnion('kind', [generateCallSchema, runCallSchema, httpCallSchema]);
export type UpstreamCall = z.infer<typeof callSchema>;
export type HttpCall = z.infer<typeof httpCallSchema>;
export type Header = z.infer<typeof headerSchema>;

const helloSchema = z.strictObject({
	type: z.literal('hello'), protocol: count, identity: identitySchema, nonce: id, keyIds: z.array(id).min(1).max(8),
});
const welcomeSchema = z.strictObject({
	type: z.literal('welcome'), protocol: count, identity: identitySchema, nonce: id, keyId: id, mac: id,
});
const proofSchema = z.strictObject({type: z.literal('proof'), mac: id});

const dispatchSchema = z.strictObject({
	type: z.literal('dispatch'),
	dispatchId: id,
	requestId: id,
	workspace: name,
	pipeline: name,
	stage: name,
	stageIndex: count,
	/** Time within which the work must start, counted from receipt. */
	startWithinMs: ms,
	/** Time until the request's deadline; 0 once it has passed. Work in time goes first. */
	dueInMs: ms,
	isRepeatable: z.boolean(),
	/** What the sender has in force; a receiver that is behind catches up before it decides. */
	settingsRevision: count,
	/** Share of the upstream this workspace gets against others. */
	weight: z.number().positive(),
	/** Chunks the agent may send before it is granted more. */
	creditChunks: count,
	call: callSchema,
});
export type DispatchMessage = z.infer<typeof dispatchSchema>;

const cancelSchema = z.strictObject({type: z.literal('cancel'), dispatchId: id});
const creditSchema = z.strictObject({type: z.literal('credit'), dispatchId: id, chunks: count});
/** Asks what became of a dispatch; an agent that never saw it refuses it for good. */
const querySchema = z.strictObject({type: z.literal('query'), dispatchId: id});

/** Why an agent did not start a dispatch. */
export const refusalReasons = {
	leaving: 'leaving', queueFull: 'queueFull', outOfTime: 'outOfTime', cancelled: 'cancelled',
	stale: 'stale', unreachable: 'unreachable', notLoaded: 'notLoaded', neverSeen: 'neverSeen', badCall: 'badCall',
	/** Another upstream has the address. */
	replaced: 'replaced',
	/** Results the call was to read are lost. */
	inputsGone: 'inputsGone',
} as const;
export type RefusalReason = typeof refusalReasons[keyof typeof refusalReasons];

const refusedSchema = z.strictObject({
	type: z.literal('refused'), dispatchId: id, reason: z.enum(refusalReasons), load: upstreamLoadSchema.optional(),
});
const startedSchema = z.strictObject({
	type: z.literal('started'),
	dispatchId: id,
	queueMs: ms,
	http: z.strictObject({status: count, headers: z.array(headerSchema).max(200)}).optional(),
});
const chunkSchema = z.strictObject({
	type: z.literal('chunk'),
	dispatchId: id,
	/** Number of the first unit in this chunk, from the start of the whole answer. */
	sequence: count,
	/** Units (tokens, or 1 for a piece of bytes) in this chunk. */
	units: z.number().int().positive(),
	data: bytes,
});
export type ChunkMessage = z.infer<typeof chunkSchema>;

/** How a dispatch that started ended. */
export const endStates = {completed: 'completed', failed: 'failed', unknown: 'unknown'} as const;
export type EndState = typeof endStates[keyof typeof endStates];

const endSchema = z.strictObject({
	type: z.literal('end'),
	dispatchId: id,
	state: z.enum(endStates),
	/** Units from the start of the whole answer. */
	units: count,
	/** Chained hash over the chunks of this dispatch. */
	digest: count,
	/** Time on the upstream. */
	runMs: ms,
	reason: z.string().max(500).optional(),
	load: upstreamLoadSchema.optional(),
});
export type EndMessage = z.infer<typeof endSchema>;

const pingSchema = z.strictObject({type: z.literal('ping'), nonce: count, settingsRevision: count});
const pongSchema = z.strictObject({
	type: z.literal('pong'), nonce: count, settingsRevision: count, state: z.enum(serveStates), load: upstreamLoadSchema.optional(),
});
const reportSchema = z.strictObject({
	type: z.literal('report'), settingsRevision: count, state: z.enum(serveStates), load: upstreamLoadSchema.optional(),
});
export type ReportMessage = z.infer<typeof reportSchema>;

const settingsRequestSchema = z.strictObject({type: z.literal('settingsRequest'), fromRevision: count});
/** Changes after a revision, or everything; texts are JSON as kept in the table service. */
const settingsReplySchema = z.strictObject({
	type: z.literal('settingsReply'),
	fromRevision: count,
	revision: count,
	snapshot: z.string().optional(),
	changes: z.array(z.string()).optional(),
});
export type SettingsReply = z.infer<typeof settingsReplySchema>;

/** What an order asks of an engine. */
export const orderKinds = {load: 'load', unload: 'unload'} as const;
const orderSchema = z.strictObject({
	type: z.literal('order'),
	orderId: id,
	/** Fence: the lease's epoch, then the order's number under it. */
	epoch: count,
	sequence: count,
	/** Time within which the order must take effect. */
	timeLeftMs: ms,
	kind: z.enum(orderKinds),
	model: name,
	adapter: name.optional(),
	version: name,
});
export type OrderMessage = z.infer<typeof orderSchema>;
const orderReplySchema = z.strictObject({
	type: z.literal('orderReply'),
	orderId: id,
	isAccepted: z.boolean(),
	reason: z.string().max(500).optional(),
	models: z.array(loadedModelSchema).max(64).optional(),
});
export type OrderReply = z.infer<typeof orderReplySchema>;
/** Asks an agent to leave for good. */
const drainSchema = z.strictObject({type: z.literal('drain'), incarnation: id});

/** Most drains of halls that one message tells; deployments have a few halls. */
export const maxHallDrains = 1000;
const hallDrainSchema = z.strictObject({
	hall: name,
	isDrained: z.boolean(),
	/** The writing of the platform's store that made it so. */
	revision: count,
});
/** The beginning or the end of the drain of a data hall. */
export type HallDrain = z.infer<typeof hallDrainSchema>;

/** Sent now and then by each host to its peers: a sign of life, and what it has in force. */
const peerHeartbeatSchema = z.strictObject({
	type: z.literal('peerBeat'),
	/** Where the sender listens for its peers. */
	endpoint: name,
	/** Where other peers listen that the sender knows. */
	knownEndpoints: z.array(name).max(1000),
	deploymentVersion: count,
	listRevision: count,
	/** Whether the sender is about to stop and takes no more shared work. */
	isLeaving: z.boolean(),
	/** The sender's room for shared work, in cores; older hosts tell none. */
	room: z.number().nonnegative().optional(),
	/** The sender says something again after this long at the latest; older hosts say something every half a second. */
	nextWithinMs: z.number().positive().optional(),
	/** How long ago the store last answered the sender; absent while the sender does not read it. */
	storeAgeMs: z.number().nonnegative().optional(),
	/** Beginnings and ends of drains of data halls that the sender knows; absent where it knows none. */
	hallDrains: z.array(hallDrainSchema).max(maxHallDrains).optional(),
});
export type PeerHeartbeat = z.infer<typeof peerHeartbeatSchema>;
/** Asks a peer for what it has in force. */
const stateRequestSchema = z.strictObject({
	type: z.literal('stateRequest'),
	wantsDeployment: z.boolean(),
	/** The version of the declaration that the sender has; 0 for none. */
	haveVersion: count,
	wantsServers: z.boolean(),
});
const packedDeploymentSchema = z.strictObject({
	/** The version that the receiver must have; 0 where the patch holds everything. */
	baseVersion: count,
	version: count,
	/** A `DeploymentPatch`, as compressed JSON. */
	patch: bytes,
});
export type PackedDeployment = z.infer<typeof packedDeploymentSchema>;
/** What a peer has in force; the servers as compressed JSON. */
const stateReplySchema = z.strictObject({
	type: z.literal('stateReply'), deployment: packedDeploymentSchema.optional(), servers: bytes.optional(),
});

/** Prompts that the sender has sent to model engines: what these still have to read, and what they will keep. */
const sentPromptsSchema = z.array(z.strictObject({serverId, parts: z.array(z.strictObject({key: count, tokens: count})).max(64)})).max(10_000);
const promptsSentSchema = z.strictObject({
	type: z.literal('promptsSent'),
	prompts: sentPromptsSchema,
	/** Whether the receiver is to pass them on to all others. */
	isForAll: z.boolean().optional(),
});
/** Prompts that several hosts have sent, as one host gathered them for all. */
const promptsPassedOnSchema = z.strictObject({
	type: z.literal('promptsPassedOn'),
	news: z.array(z.strictObject({hostId: name, prompts: sentPromptsSchema})).max(10_000),
});
export type PromptsSentMessage = z.infer<typeof promptsSentSchema>;

/** Pieces of one step of one request, for the batches of a pool that the receiver keeps. */
const batchWorkSchema = z.strictObject({
	type: z.literal('batchWork'),
	workId: id,
	pool: name,
	callerRequestId: z.string().max(200),
	contentId,
	pieceKey: z.string().max(200),
	step: count,
	pieces: z.array(count).min(1).max(4096),
	inputs: z.array(z.string().max(256)).max(65_536).optional(),
	resultBytes: count,
	rank: count,
	/** Times count from receipt; a time in the past is below 0. */
	dueInMs: z.number(),
	lateDueInMs: z.number(),
	deadlineInMs: ms,
	hall: z.string().max(200),
	crossingBytes: ms,
});
export type BatchWorkMessage = z.infer<typeof batchWorkSchema>;
/** Ends of pieces; a piece without a handle names the reason. */
const batchEndsSchema = z.strictObject({
	type: z.literal('batchEnds'),
	workId: id,
	pool: name,
	ends: z.array(z.strictObject({
		piece: count, handle: z.string().max(256).optional(), serverId: serverId.optional(), reason: z.string().max(64).optional(),
	})).max(4096),
});
export type BatchEndsMessage = z.infer<typeof batchEndsSchema>;
/** How long work for pools that the sender batches would wait, by its rank. */
const batchWaitsSchema = z.strictObject({
	type: z.literal('batchWaits'),
	pools: z.array(z.strictObject({pool: name, waitMsByRank: z.array(ms).max(16)})).max(1000),
});
export type BatchWaitsMessage = z.infer<typeof batchWaitsSchema>;
const batchCancelSchema = z.strictObject({type: z.literal('batchCancel'), pool: name, workId: id});
/** Results that are no longer needed. */
const batchReleaseSchema = z.strictObject({
	type: z.literal('batchRelease'), pool: name, refs: z.array(z.strictObject({handle: z.string().max(256), serverId})).max(65_536),
});

/** What the sender knows of servers that ended while they ran requests of certain contents. */
const fatalContentsSchema = z.strictObject({
	type: z.literal('fatalContents'),
	contents: z.array(z.strictObject({
		contentId,
		ends: z.array(z.strictObject({serverId, ageMs: ms})).max(64),
		cleared: z.array(serverId).max(64),
		trials: z.strictObject({count, ageMs: ms}).optional(),
	})).max(10_000),
});

export type FatalContents = z.infer<typeof fatalContentsSchema>['contents'];

/** Most limits that one message tells. */
export const maxServerLimits = 1000;
/** Requests a second that upstreams take from all hosts together, as their answers name them. */
const serverLimitsSchema = z.strictObject({
	type: z.literal('serverLimits'),
	limits: z.array(z.strictObject({
		serverId,
		perS: z.number().nonnegative(),
		/** Time since an answer named it. */
		namedAgoMs: ms,
		/** Time since a call was sent whose answer no longer named it; absent while it is in force. */
		endedAgoMs: ms.optional(),
	})).max(maxServerLimits),
});

/** Most servers that one message tells to leave. */
export const maxLeavingServers = 1000;
/** Starts of upstreams that have said in an answer that they leave. */
const leavingServersSchema = z.strictObject({
	type: z.literal('leavingServers'),
	serverIds: z.array(serverId).max(maxLeavingServers),
});

const messageSchema = z.discriminatedUnion('type', [
	helloSchema,
	welcomeSchema,
	proofSchema,
	dispatchSchema,
	cancelSchema,
	creditSchema,
	querySchema,
	refusedSchema,
	startedSchema,
	chunkSchema,
	endSchema,
	pingSchema,
	pongSchema,
	reportSchema,
	settingsRequestSchema,
	settingsReplySchema,
	orderSchema,
	orderReplySchema,
	drainSchema,
	peerHeartbeatSchema,
	stateRequestSchema,
	stateReplySchema,
	promptsSentSchema,
	promptsPassedOnSchema,
	batchWorkSchema,
	batchEndsSchema,
	batchCancelSchema,
	batchWaitsSchema,
	batchReleaseSchema,
	fatalContentsSchema,
	serverLimitsSchema,
	leavingServersSchema,
]);
export type Message = z.infer<typeof messageSchema>;
export type HelloMessage = z.infer<typeof helloSchema>;
export type WelcomeMessage = z.infer<typeof welcomeSchema>;
export type RefusedMessage = z.infer<typeof refusedSchema>;
export type StartedMessage = z.infer<typeof startedSchema>;

/**
Checks a decoded frame.
@param value - anything.
@returns the message, or what is wrong with it.
*/
export function parseMessage(value: unknown): {message: Message} | {problem: string} {
	const parsed = messageSchema.safeParse(value);
	if (parsed.success) {
		return {message: parsed.data};
	}

	const [issue] = parsed.error.issues;
	return {problem: `${issue.path.join('.') || 'message'}: ${issue.message}`};
}
