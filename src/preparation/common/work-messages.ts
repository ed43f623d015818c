/** Work and its ends as hosts tell them to each other: times go as what is left of them, since clocks differ. */
import type {BatchEndsMessage, BatchWorkMessage} from '../../wire/common/messages.js';
import type {PieceEnd} from './batch-call.js';
import {
	pieceFailures, type BatchWork, type PieceFailure, type PieceOutcome,
} from './work.js';

/**
Tells work to the host that batches its pool.
@param work - with the pieces that are handed in.
@param nowMs - this host's time.
*/
export function messageOfWork(work: BatchWork, nowMs: number): BatchWorkMessage {
	const {
		workId, pool, callerRequestId, contentId, pieceKey, step, pieces, inputs, resultBytes, rank, hall, crossingBytes,
	} = work;
	return {
		type: 'batchWork', workId, pool, callerRequestId, contentId, pieceKey, step, pieces: [...pieces], resultBytes, rank, hall, crossingBytes,
		...(inputs && {inputs: [...inputs]}),
		dueInMs: work.dueMs - nowMs,
		lateDueInMs: work.lateDueMs - nowMs,
		deadlineInMs: Math.max(0, work.deadlineMs - nowMs),
	};
}

/**
Reads the work a peer hands in.
@param message - as it came.
@param nowMs - this host's time.
*/
export function workOfMessage(message: BatchWorkMessage, nowMs: number): BatchWork {
	const {type, dueInMs, lateDueInMs, deadlineInMs, ...work} = message;
	return {
		...work, inputs: work.inputs, dueMs: nowMs + dueInMs, lateDueMs: nowMs + lateDueInMs, deadlineMs: nowMs + deadlineInMs,
	};
}

/**
Tells the host that handed work in how a piece of it ended.
@param end - of the piece.
*/
export function messageOfEnd({work, piece, outcome}: PieceEnd): BatchEndsMessage {
	return {
		type: 'batchEnds',
		workId: work.workId,
		pool: work.pool,
		ends: [outcome.ok ? {piece, handle: outcome.ref.handle, serverId: outcome.ref.serverId} : {piece, reason: outcome.reason}],
	};
}

/**
Reads how a piece ended at the host that batched it.
@param end - as that host told it.
*/
export function outcomeOfEnd({handle, serverId, reason}: BatchEndsMessage['ends'][number]): PieceOutcome {
	return handle !== undefined && serverId !== undefined
		? {ok: true, ref: {handle, serverId}}
		: {ok: false, reason: failureOf(reason)};
}

/** Hosts of another version may know failures that this one does not. */
function failureOf(reason: string | undefined): PieceFailure {
	return Object.values(pieceFailures).find(known => known === reason) ?? pieceFailures.failed;
}
