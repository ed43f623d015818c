/** Conversion of asks and quotes to and from messages between hosts. Times are sent as durations, since clocks differ. */
import {maxQuoteMs, type BatchAskMessage, type BatchQuoteMessage} from '../../wire/common/messages.js';
import type {PoolAsk, Quote} from './quotes.js';

/**
Creates the message that asks the scheduler of a pool for a quote.
@param ask - what a request asks of the pool.
*/
export function messageOfAsk({pool, requestId, rank, workspace, steps, readyInMs}: PoolAsk): BatchAskMessage {
	return {
		type: 'batchAsk', pool, requestId, rank, workspace, readyInMs, steps: steps.map(({stepKey, pieces, resultBytes}) => ({stepKey, pieces, resultBytes})),
	};
}

/**
Reads an ask sent by a peer.
@param message - the message as received.
*/
export function askOfMessage({type, ...ask}: BatchAskMessage): PoolAsk {
	return ask;
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
