/**
Conversion of work and piece outcomes to and from messages between hosts. Times are sent as remaining durations, since
clocks differ.
*/
import type {BatchEndsMessage, BatchWorkMessage} from '../../wire/common/messages.js';
import type {FinishedPiece} from './batch-call.js';
import {
	pieceFailures, type BatchWork, type PieceFailure, type PieceOutcome,
} from './work.js';

/**
Creates the message that submits work to the host that batches its pool.
@param work - the work with the pieces to submit.
@param nowMs - this host's time.
*/
export function messageOfWork(work: BatchWork, nowMs: number): BatchWorkMessage {
	const {
		workId, pool, callerRequestId, contentId, pieceKey, step, pieces, inputs, resultBytes, rank, hall, crossingBytes, requestId, stepKey, workspace, inputFetchMs, isRepeat,
	} = work;
	return {
		type: 'batchWork', workId, pool, callerRequestId, contentId, pieceKey, step, pieces: [...pieces], resultBytes, rank, hall, crossingBytes,
		...(inputs && {inputs: [...inputs]}),
		...(requestId !== undefined && {requestId}),
		...(stepKey !== undefined && {stepKey}),
		...(workspace !== undefined && {workspace}),
		...(inputFetchMs !== undefined && {inputFetchMs}),
		...(isRepeat && {isRepeat}),
		dueInMs: work.dueMs - nowMs,
		lateDueInMs: work.lateDueMs - nowMs,
		deadlineInMs: Math.max(0, work.deadlineMs - nowMs),
	};
}

/**
Reads work submitted by a peer.
@param message - the message as received.
@param nowMs - this host's time.
*/
export function workOfMessage(message: BatchWorkMessage, nowMs: number): BatchWork {
	const {type, dueInMs, lateDueInMs, deadlineInMs, ...work} = message;
	return {
		...work, inputs: work.inputs, dueMs: nowMs + dueInMs, lateDueMs: nowMs + lateDueInMs, deadlineMs: nowMs + deadlineInMs,
	};
}

/**
Creates the message that reports the outcome of a piece to the host that submitted it.
@param end - the outcome.
*/
export function messageOfFinished({work, piece, outcome}: FinishedPiece): BatchEndsMessage {
	return {
		type: 'batchEnds',
		workId: work.workId,
		pool: work.pool,
		ends: [outcome.ok ? {piece, handle: outcome.ref.handle, serverId: outcome.ref.serverId} : {piece, reason: outcome.reason}],
	};
}

/**
Reads the outcome of a piece from the report of the host that batched it.
@param end - the entry of the report.
*/
export function outcomeOfEnd({handle, serverId, reason}: BatchEndsMessage['ends'][number]): PieceOutcome {
	return handle !== undefined && serverId !== undefined
		? {ok: true, ref: {handle, serverId}}
		: {ok: false, reason: failureOf(reason)};
}

/** Hosts that run another version may report reasons that this one does not know. */
function failureOf(reason: string | undefined): PieceFailure {
	return Object.values(pieceFailures).find(known => known === reason) ?? pieceFailures.failed;
}
