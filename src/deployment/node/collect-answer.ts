/** Makes one call on a pooled connection and reads the complete response. */
import type {Dispatcher} from 'undici';
import {joinBytes} from '../../base/common/bytes.js';
import {messageOf, UnavailableError} from '../../base/common/errors.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import type {Header} from '../../wire/common/messages.js';
import {headersOf, isFinal} from './answer-head.js';
import type {Lane} from './lane.js';

/** Largest response body that is accepted; the response to a batch names results and is far smaller. */
const mostAnswerBytes = 16 * 1024 * 1024;

/** Status and headers of a response. */
export type AnswerHead = {
	readonly status: number;
	/** Names in lower case. */
	readonly headers: readonly Header[];
};

/** A response with its whole body. */
export type WholeAnswer = AnswerHead & {readonly body: Uint8Array};

/** Why there is no complete response. */
export type NoAnswer = {
	/** Whether the request may have reached the other side. */
	readonly wasWritten: boolean;
	readonly message: string;
};

/**
Makes a call and reads its response.
@param connection - one that carries no call; it is released afterwards, or discarded if there is no complete response.
@param options - what to send.
@param signal - cancels the call.
@param onHead - called as soon as the head has arrived: what it says about its server is valid even if the body fails.
@returns the response, or why there is none.
*/
export async function collectAnswer(lane: Lane, options: Dispatcher.DispatchOptions, signal: AbortSignal, headCame?: (head: AnswerHead) => void): Promise<Outcome<WholeAnswer, NoAnswer>> {
	return new Promise(resolve => {
		let controller: Dispatcher.DispatchController | undefined;
		let status = 0;
		let headers: WholeAnswer['headers'] = [];
		let sizeBytes = 0;
		const pieces: Uint8Array[] = [];
		const abort = () => {
			if (controller) {
				controller.abort(new UnavailableError('the call was cancelled'));
			} else {
				// Not connected yet: closing the connection ends the call as well.
				lane.dispose();
			}
		};

		const end = (outcome: Outcome<WholeAnswer, NoAnswer>) => {
			signal.removeEventListener('abort', abort);
			if (outcome.ok) {
				lane.rest();
			} else {
				lane.spend();
			}

			resolve(outcome);
		};

		signal.addEventListener('abort', abort, {once: true});
		try {
			lane.dispatch(options, {
				onRequestStart(started) {
					controller = started;
				},
				onResponseStart(started, startedStatus) {
					if (isFinal(startedStatus)) {
						status = startedStatus;
						headers = headersOf(started);
						headCame?.({status, headers});
					}
				},
				onResponseData(reading, bytes) {
					pieces.push(bytes);
					sizeBytes += bytes.byteLength;
					if (sizeBytes > mostAnswerBytes) {
						reading.abort(new UnavailableError('the response body exceeds the size limit'));
					}
				},
				onResponseEnd() {
					if (lane.isCutShort(headers)) {
						end(fail({wasWritten: true, message: 'the connection was lost before the response was complete'}));
					} else {
						end(ok({status, headers, body: joinBytes(pieces)}));
					}
				},
				onResponseError(_controller, error) {
					end(fail({wasWritten: controller !== undefined, message: messageOf(error)}));
				},
			});
		} catch (error) {
			end(fail({wasWritten: false, message: messageOf(error)}));
		}
	});
}
