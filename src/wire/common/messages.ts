/** Messages between the processes of this system. */
import {z} from 'zod';
import {
	bytes, contentId, count, handle, id, ms, name, serverId,
} from './message-fields.js';
import {fatalContentsSchema, fatalPartsSchema} from './quarantine-messages.js';
import {
	streamAskSchema, streamsBegunSchema, streamUnknownSchema, versionHistorySchema,
} from './stream-messages.js';

/** Version of the protocol; both sides must use the same. */
export const protocolVersion = 8;

/** Upper bounds on the length of what a caller states about a request with preparation steps: hosts pass it on to each other. */
export const maxCallerRequestIdLength = 200;
export const maxPieceKeyLength = 200;

const headerSchema = z.strictObject({name: z.string().max(256), value: z.string().max(16_384)});
/** Headers of a request or a response. A message with others is refused, and its connection is closed. */
export const headersSchema = z.array(headerSchema).max(200);

/** Roles of processes. */
export const roles = {entry: 'entry', agent: 'agent'} as const;
export type Role = typeof roles[keyof typeof roles];

/** Whether an agent accepts new work. */
export const serveStates = {serving: 'serving', leaving: 'leaving'} as const;
export type ServeState = typeof serveStates[keyof typeof serveStates];

/** Identifies one run of one process, because an address does not identify the process that listens on it. */
const identitySchema = z.strictObject({
	hostId: id,
	incarnation: id,
	role: z.enum(roles),
	hall: name,
	/** The upstream of an agent, and the pool in which it serves. */
	upstreamId: id.optional(),
	pool: name.optional(),
});
export type Identity = z.infer<typeof identitySchema>;

const loadedModelSchema = z.strictObject({model: name, adapters: z.array(name).max(256), version: name});
export type LoadedModel = z.infer<typeof loadedModelSchema>;

/** Load of an upstream, as known to its agent. */
const upstreamLoadSchema = z.strictObject({
	running: count,
	queued: count,
	slots: count,
	/** Median duration of recent calls on the upstream. */
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
	/** Number of tokens that the caller already has. */
	resumeOffset: count,
});
const runCallSchema = z.strictObject({kind: z.literal('run'), input: bytes});
/** A call of a service. A message with another is refused, and its connection is closed. */
export const httpCallSchema = z.strictObject({
	kind: z.literal('http'),
	method: z.string().regex(/^[A-Z]{1,20}$/v),
	path: z.string().max(8192),
	headers: headersSchema,
	body: bytes,
	/** Handles of results that the upstream reads before the call. */
	inputs: z.array(handle).max(4096).optional(),
	/** Units of the response that the caller already has. */
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
	/** Time until the request's deadline; 0 once it has passed. Work that can still meet its deadline takes precedence. */
	dueInMs: ms,
	isRepeatable: z.boolean(),
	/** Revision of the settings that the sender applies; a receiver with older settings updates them before it admits or refuses the work. */
	settingsRevision: count,
	/** Weight of this workspace in the sharing of the upstream with others. */
	weight: z.number().positive(),
	/** Number of chunks that the agent may send before it is granted more. */
	creditChunks: count,
	call: callSchema,
});
export type DispatchMessage = z.infer<typeof dispatchSchema>;

const cancelSchema = z.strictObject({type: z.literal('cancel'), dispatchId: id});
const creditSchema = z.strictObject({type: z.literal('credit'), dispatchId: id, chunks: count});
/** Asks for the state of a dispatch; an agent that never received it refuses it permanently. */
const querySchema = z.strictObject({type: z.literal('query'), dispatchId: id});

/** Why an agent did not start a dispatch. */
export const refusalReasons = {
	leaving: 'leaving', queueFull: 'queueFull', outOfTime: 'outOfTime', cancelled: 'cancelled',
	stale: 'stale', unreachable: 'unreachable', notLoaded: 'notLoaded', neverSeen: 'neverSeen', badCall: 'badCall',
	/** Another upstream now uses the address. */
	replaced: 'replaced',
	/** Results that the call reads are lost. */
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
	http: z.strictObject({status: count, headers: headersSchema}).optional(),
});
const chunkSchema = z.strictObject({
	type: z.literal('chunk'),
	dispatchId: id,
	/** Index of the first unit in this chunk, from the start of the complete response. */
	sequence: count,
	/** Number of units in this chunk: tokens, or 1 for a block of bytes. */
	units: z.number().int().positive(),
	data: bytes,
});
export type ChunkMessage = z.infer<typeof chunkSchema>;

/** Outcomes of a dispatch that was started. */
export const endStates = {completed: 'completed', failed: 'failed', unknown: 'unknown'} as const;
export type EndState = typeof endStates[keyof typeof endStates];

const endSchema = z.strictObject({
	type: z.literal('end'),
	dispatchId: id,
	state: z.enum(endStates),
	/** Number of units from the start of the complete response. */
	units: count,
	/** Chained hash of the chunks of this dispatch. */
	digest: count,
	/** Time for which the call ran on the upstream. */
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
/** Changes after a revision, or a complete snapshot; the strings are JSON as stored in the table service. */
const settingsReplySchema = z.strictObject({
	type: z.literal('settingsReply'),
	fromRevision: count,
	revision: count,
	snapshot: z.string().optional(),
	changes: z.array(z.string()).optional(),
});
export type SettingsReply = z.infer<typeof settingsReplySchema>;

/** Kinds of orders to an engine. */
export const orderKinds = {load: 'load', unload: 'unload'} as const;
const orderSchema = z.strictObject({
	type: z.literal('order'),
	orderId: id,
	/** Fencing token: the epoch of the lease, then the number of the order within it. */
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
/** Asks an agent to leave permanently. */
const drainSchema = z.strictObject({type: z.literal('drain'), incarnation: id});

/** Upper bound on the drains of data halls in one message; deployments have a few halls. */
export const maxHallDrains = 1000;
const hallDrainSchema = z.strictObject({
	hall: name,
	isDrained: z.boolean(),
	/** Revision of the platform's store that began or ended the drain. */
	revision: count,
});
/** The start or the end of the drain of a data hall. */
export type HallDrain = z.infer<typeof hallDrainSchema>;

/** Heartbeat that each host sends regularly to its peers, with the state that it applies. */
const peerHeartbeatSchema = z.strictObject({
	type: z.literal('peerBeat'),
	/** Endpoint at which the sender listens for its peers. */
	endpoint: name,
	/** Endpoints of other peers that the sender knows. */
	knownEndpoints: z.array(name).max(1000),
	deploymentVersion: count,
	listRevision: count,
	/** Whether the sender is about to stop and accepts no more shared work. */
	isLeaving: z.boolean(),
	/** The sender's capacity for shared work, in cores; absent in messages of older hosts. */
	room: z.number().nonnegative().optional(),
	/** Maximum time until the sender sends its next message; absent in messages of older hosts, which send one every 500 ms. */
	nextWithinMs: z.number().positive().optional(),
	/** Time since the store last responded to the sender; absent while the sender does not read the store. */
	storeAgeMs: z.number().nonnegative().optional(),
	/** Starts and ends of drains of data halls that the sender knows; absent if it knows none. */
	hallDrains: z.array(hallDrainSchema).max(maxHallDrains).optional(),
});
export type PeerHeartbeat = z.infer<typeof peerHeartbeatSchema>;
/** Asks a peer for the state that it applies. */
const stateRequestSchema = z.strictObject({
	type: z.literal('stateRequest'),
	wantsDeployment: z.boolean(),
	/** Version of the declaration that the sender has; 0 if it has none. */
	haveVersion: count,
	wantsServers: z.boolean(),
});
const packedDeploymentSchema = z.strictObject({
	/** Version that the receiver must have to apply the patch; 0 if the patch is complete. */
	baseVersion: count,
	version: count,
	/** A `DeploymentPatch`, as compressed JSON. */
	patch: bytes,
});
export type PackedDeployment = z.infer<typeof packedDeploymentSchema>;
/** The state that a peer applies; the servers as compressed JSON. */
const stateReplySchema = z.strictObject({
	type: z.literal('stateReply'), deployment: packedDeploymentSchema.optional(), servers: bytes.optional(),
});

/** Maximum number of parts of a prompt in a message; a sender joins the parts behind them. */
export const maxSentParts = 64;
/** Prompts that the sender has sent to model engines. The receiver derives from them what the engines have yet to prefill and what they will cache. */
const sentPromptsSchema = z.array(z.strictObject({serverId, parts: z.array(z.strictObject({key: count, tokens: count})).max(maxSentParts)})).max(10_000);
const promptsSentSchema = z.strictObject({
	type: z.literal('promptsSent'),
	prompts: sentPromptsSchema,
	/** Whether the receiver must relay them to all other hosts. */
	isForAll: z.boolean().optional(),
});
/** Prompts that several hosts have sent, as combined and broadcast by the relay host. */
const promptsPassedOnSchema = z.strictObject({
	type: z.literal('promptsPassedOn'),
	news: z.array(z.strictObject({hostId: name, prompts: sentPromptsSchema})).max(10_000),
});
export type PromptsSentMessage = z.infer<typeof promptsSentSchema>;

/** Upper bound on the times of a quote, so that they are finite numbers; no request waits for an hour. */
export const maxQuoteMs = 3_600_000;
const quoteMs = ms.max(maxQuoteMs);
/** Upper bound on the pieces of a work, and of a step of a request. */
const maxWorkPieces = 4096;
/** Pieces of one step of one request, submitted to the host that batches the work of a pool. */
const batchWorkSchema = z.strictObject({
	type: z.literal('batchWork'),
	workId: id,
	pool: name,
	callerRequestId: z.string().max(maxCallerRequestIdLength),
	contentId,
	pieceKey: z.string().max(maxPieceKeyLength),
	step: count,
	pieces: z.array(count).min(1).max(maxWorkPieces),
	inputs: z.array(handle).max(65_536).optional(),
	resultBytes: count,
	rank: count,
	/** Times are relative to receipt; a time in the past is negative. */
	dueInMs: z.number(),
	lateDueInMs: z.number(),
	deadlineInMs: ms,
	hall: z.string().max(200),
	crossingBytes: ms,
	requestId: id.optional(),
	stepKey: z.string().max(400).optional(),
	workspace: z.string().max(200).optional(),
	/** Time after which a call in progress has fetched the inputs. */
	inputFetchMs: quoteMs.optional(),
	/** Whether the pieces may have been sent before. */
	isRepeat: z.boolean().optional(),
});
export type BatchWorkMessage = z.infer<typeof batchWorkSchema>;
/** What a request asks of a pool, or has reserved there. */
const reservationFields = {
	requestId: id,
	rank: count,
	workspace: z.string().max(200),
	steps: z.array(z.strictObject({stepKey: z.string().max(400), pieces: count.max(maxWorkPieces), resultBytes: count})).min(1).max(256),
	/** Time until the first of the steps is expected to be submitted, counted from receipt. */
	readyInMs: ms,
};
/** Asks the host that batches a pool when it would get to the steps of a request, and reserves them there. */
const batchAskSchema = z.strictObject({type: z.literal('batchAsk'), pool: name, ...reservationFields});
export type BatchAskMessage = z.infer<typeof batchAskSchema>;
/** Answers `batchAsk`. */
const batchQuoteSchema = z.strictObject({
	type: z.literal('batchQuote'),
	pool: name,
	requestId: id,
	aheadMs: quoteMs,
	callMs: quoteMs,
	/** Absent if the pool has no spare capacity for late work. */
	lateAheadMs: quoteMs.optional(),
});
export type BatchQuoteMessage = z.infer<typeof batchQuoteSchema>;
/** Drops what `batchAsk` reserved: the request was refused or has ended, or no longer waits for the quote. */
const batchForgoSchema = z.strictObject({type: z.literal('batchForgo'), pool: name, requestId: id});
/** Tells that the request behind a quote was admitted late: what `batchAsk` reserved is no longer work in time. */
const batchAdmittedLateSchema = z.strictObject({type: z.literal('batchAdmittedLate'), pool: name, requestId: id});
/** Upper bound on the reservations in one message. */
export const maxReservations = 256;
/** Repeats open reservations to a host that has become the one that batches their pool. It is not answered. */
const batchReserveSchema = z.strictObject({
	type: z.literal('batchReserve'),
	pool: name,
	reservations: z.array(z.strictObject({...reservationFields, isLate: z.boolean()})).min(1).max(maxReservations),
});
export type BatchReserveMessage = z.infer<typeof batchReserveSchema>;
/** Outcomes of pieces; a piece without a handle has failed and has a reason. */
const batchEndsSchema = z.strictObject({
	type: z.literal('batchEnds'),
	workId: id,
	pool: name,
	ends: z.array(z.strictObject({
		piece: count, handle: handle.optional(), serverId: serverId.optional(), reason: z.string().max(64).optional(),
	})).max(maxWorkPieces),
});
export type BatchEndsMessage = z.infer<typeof batchEndsSchema>;
/** Pieces whose calls are still in progress after the time in which their upstreams fetch the inputs. Sent only for works with `inputFetchMs`. */
const batchFetchedSchema = z.strictObject({
	type: z.literal('batchFetched'), workId: id, pool: name, pieces: z.array(count).min(1).max(maxWorkPieces),
});
export type BatchFetchedMessage = z.infer<typeof batchFetchedSchema>;
/** Predicted waits of work for the pools that the sender batches, by rank. */
const batchWaitsSchema = z.strictObject({
	type: z.literal('batchWaits'),
	pools: z.array(z.strictObject({pool: name, waitMsByRank: z.array(ms).max(16)})).max(1000),
});
export type BatchWaitsMessage = z.infer<typeof batchWaitsSchema>;
const batchCancelSchema = z.strictObject({type: z.literal('batchCancel'), pool: name, workId: id});
/** Results that are no longer needed and can be released. */
const batchReleaseSchema = z.strictObject({
	type: z.literal('batchRelease'), pool: name, refs: z.array(z.strictObject({handle, serverId})).max(65_536),
});

/** Upper bound on the limits in one message. */
export const maxServerLimits = 1000;
/** Rate limits of upstreams, in requests per second from all hosts together, as announced in their responses. */
const serverLimitsSchema = z.strictObject({
	type: z.literal('serverLimits'),
	limits: z.array(z.strictObject({
		serverId,
		perS: z.number().nonnegative(),
		/** Time since a response announced the limit. */
		namedAgoMs: ms,
		/** Time since a call was sent whose response no longer announced the limit; absent while the limit applies. */
		endedAgoMs: ms.optional(),
	})).max(maxServerLimits),
});

/** Upper bound on the leaving servers in one message. */
export const maxLeavingServers = 1000;
/** Server processes that have announced in a response that they are leaving. */
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
	batchAskSchema,
	batchQuoteSchema,
	batchForgoSchema,
	batchAdmittedLateSchema,
	batchReserveSchema,
	batchEndsSchema,
	batchFetchedSchema,
	batchCancelSchema,
	batchWaitsSchema,
	batchReleaseSchema,
	fatalContentsSchema,
	fatalPartsSchema,
	serverLimitsSchema,
	leavingServersSchema,
	streamsBegunSchema,
	streamAskSchema,
	streamUnknownSchema,
	versionHistorySchema,
]);
export type Message = z.infer<typeof messageSchema>;
export type HelloMessage = z.infer<typeof helloSchema>;
export type WelcomeMessage = z.infer<typeof welcomeSchema>;
export type RefusedMessage = z.infer<typeof refusedSchema>;
export type StartedMessage = z.infer<typeof startedSchema>;

/**
Validates a decoded frame.
@param value - the decoded value, of any type.
@returns the message, or the problem.
*/
export function parseMessage(value: unknown): {message: Message} | {problem: string} {
	const parsed = messageSchema.safeParse(value);
	if (parsed.success) {
		return {message: parsed.data};
	}

	const [issue] = parsed.error.issues;
	return {problem: `${issue.path.join('.') || 'message'}: ${issue.message}`};
}
