/** Makes one call on a pooled connection and reads the complete response. */
import type {Dispatcher} from 'undici';
import {ByteQueue} from '../../base/common/byte-queue.js';
import type {Disposable} from '../../base/common/disposable.js';
import {messageOf, UnavailableError} from '../../base/common/errors.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import type {Header} from '../../wire/common/messages.js';
import {hasUndecodedCoding} from '../common/hop-headers.js';
import {headersOf, isFinalStatus, unneededBody} from './response-head.js';
import type {PooledConnection} from './connection-pool.js';

/** Largest response body that is accepted; the response to a batch names results and is far smaller. */
const maxResponseBytes = 16 * 1024 * 1024;
/** Responses from this status on are known by their head alone. */
const firstErrorStatus = 300;

/** Status and headers of a response. */
export type ResponseHead = {
	readonly status: number;
	/** Names in lower case. */
	readonly headers: readonly Header[];
};

/** A response with its complete body. */
export type CompleteResponse = ResponseHead & {readonly body: Uint8Array};

/** Listeners during a call. */
export type CallListeners = {
	/** Returns why a response is not that of this call, given its head; undefined if it is. */
	readonly findProblem?: (head: ResponseHead) => string | undefined;
	/** Called when the call is written to a connection that is open. */
	readonly onSent?: () => void;
	/** Called as soon as the head of the call's own response has arrived: what it states about its server is valid even if the body fails. */
	readonly onHead?: (head: ResponseHead) => void;
};

/** Why there is no complete response. */
export type ResponseFailure = {
	/** Whether the request may have reached the other side. */
	readonly wasWritten: boolean;
	/** Whether another response than that of this call arrived. */
	readonly isForeign: boolean;
	/** Head of the call's own response if it reports an error whose body was not read to its end. */
	readonly errorHead?: ResponseHead;
	readonly message: string;
};

/**
Makes a call and reads its response.
@param connection - one that carries no call; it is released afterwards, or discarded if there is no complete response.
@param options - what to send.
@param signal - cancels the call.
@param listeners - called during the call.
@returns the response, or why there is none.
*/
export async function collectResponse(
	connection: PooledConnection,
	options: Dispatcher.DispatchOptions,
	signal: AbortSignal,
	{findProblem, onHead, onSent}: CallListeners = {},
): Promise<Outcome<CompleteResponse, ResponseFailure>> {
	return new Promise(resolve => {
		let controller: Dispatcher.DispatchController | undefined;
		let status = 0;
		let headers: CompleteResponse['headers'] = [];
		let isForeign = false;
		let hasUnneededBody = false;
		let bodyTimer: Disposable | undefined;
		const received = ByteQueue.create();
		const abort = () => {
			if (controller) {
				if (status === 0) {
					connection.reset();
				}

				controller.abort(new UnavailableError('the call was cancelled'));
			} else {
				// Not connected yet: closing the connection ends the call as well.
				connection.dispose();
			}
		};

		const settle = (outcome: Outcome<CompleteResponse, ResponseFailure>) => {
			signal.removeEventListener('abort', abort);
			bodyTimer?.dispose();
			if (outcome.ok) {
				connection.release();
			} else {
				connection.discard();
			}

			resolve(outcome.ok || !hasUnneededBody ? outcome : fail({...outcome.error, errorHead: {status, headers}}));
		};

		signal.addEventListener('abort', abort, {once: true});
		try {
			connection.dispatch(options, {
				onRequestStart(started) {
					controller = started;
					onSent?.();
				},
				onResponseStart(started, startedStatus) {
					if (isFinalStatus(startedStatus)) {
						status = startedStatus;
						headers = headersOf(started);
						const problem = findProblem?.({status, headers});
						if (problem !== undefined) {
							isForeign = true;
							started.abort(new UnavailableError(problem));
							return;
						}

						onHead?.({status, headers});
						if (hasUndecodedCoding({headers})) {
							started.abort(new UnavailableError('the response body has a transfer coding that is not decoded'));
						} else if (status >= firstErrorStatus) {
							bodyTimer = connection.setTimer(unneededBody.timeoutMs, () => {
								hasUnneededBody = true;
								started.abort(new UnavailableError('the body of an error has no end'));
							});
						}
					}
				},
				onResponseData(reading, bytes) {
					received.append(bytes);
					if (received.sizeBytes > maxResponseBytes) {
						hasUnneededBody = status >= firstErrorStatus;
						reading.abort(new UnavailableError('the response body exceeds the size limit'));
					}
				},
				onResponseEnd() {
					if (connection.mayBeTruncated(headers)) {
						settle(fail({wasWritten: true, isForeign, message: 'the connection was lost before the response was complete'}));
					} else {
						settle(ok({status, headers, body: received.copy()}));
					}
				},
				onResponseError(_controller, error) {
					settle(fail({wasWritten: controller !== undefined, isForeign, message: messageOf(error)}));
				},
			});
		} catch (error) {
			settle(fail({wasWritten: false, isForeign, message: messageOf(error)}));
		}
	});
}
