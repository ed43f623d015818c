/** Conversion of asks and quotes to and from messages between hosts. Times are sent as durations, since clocks differ. */
import {
	maxQuoteMs, type BatchAskMessage, type BatchQuoteMessage, type BatchReserveMessage,
} from '../../wire/common/messages.js';
import type {PoolAsk, Quote, RepeatedReservation} from './quotes.js';

/**
Creates the message that asks the scheduler of a pool for a quote. A time above the bound of quotes, also an infinite one, is sent as the bound.
@param ask - what a request asks of the pool.
*/
export function messageOfAsk({pool, requestId, rank, workspace, steps, readyInMs}: PoolAsk): BatchAskMessage {
	return {
		type: 'batchAsk', pool, requestId, rank, workspace, readyInMs: Math.min(readyInMs, maxQuoteMs), steps: steps.map(({stepKey, pieces, resultBytes}) => ({stepKey, pieces, resultBytes})),
	};
}

/**
Reads an ask sent by a peer. A time above the bound of quotes is read as the bound, so that what is reserved expires.
@param message - the message as received.
*/
export function askOfMessage({type, readyInMs, ...ask}: BatchAskMessage): PoolAsk {
	return {...ask, readyInMs: Math.min(readyInMs, maxQuoteMs)};
}

/**
Creates the message that repeats open reservations to a new scheduler. Times above the bound of quotes, also infinite ones, are sent as
the bound.
@param pool - the pool.
@param reservations - what is reserved there, at most as many as fit in one message.
*/
export function messageOfReservations(pool: string, reservations: readonly RepeatedReservation[]): BatchReserveMessage {
	return {
		type: 'batchReserve',
		pool,
		reservations: reservations.map(({requestId, rank, workspace, steps, readyInMs, isLate}) => ({
			requestId, rank, workspace, steps: steps.map(({stepKey, pieces, resultBytes}) => ({stepKey, pieces, resultBytes})), readyInMs: Math.min(readyInMs, maxQuoteMs), isLate,
		})),
	};
}

/**
Reads reservations repeated by a peer; their times are bounded as those of asks.
@param message - the message as received.
*/
export function reservationsOfMessage({reservations}: BatchReserveMessage): RepeatedReservation[] {
	return reservations.map(({readyInMs, ...reservation}) => ({...reservation, readyInMs: Math.min(readyInMs, maxQuoteMs)}));
}

/**
Creates the message that answers an ask. Times above the bound of the message, also infinite ones, are sent as the bound.
@param ask - the ask.
@param quote - the quote.
*/
export function messageOfQuote({pool, requestId}: Pick<PoolAsk, 'pool' | 'requestId'>, {aheadMs, callMs, lateAheadMs}: Quote): BatchQuoteMessage {
	return {
		type: 'batchQuote',
		pool,
		requestId,
		aheadMs: Math.min(aheadMs, maxQuoteMs),
		callMs: Math.min(callMs, maxQuoteMs),
		...(lateAheadMs !== undefined && {lateAheadMs: Math.min(lateAheadMs, maxQuoteMs)}),
	};
}

/**
Reads a quote sent by a peer.
@param message - the message as received.
*/
export function quoteOfMessage({aheadMs, callMs, lateAheadMs}: BatchQuoteMessage): Quote {
	return {aheadMs, callMs, lateAheadMs};
}
