/** One call on a kept connection whose answer is read whole. */
import type {Dispatcher} from 'undici';
import {joinBytes} from '../../base/common/bytes.js';
import {messageOf, UnavailableError} from '../../base/common/errors.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import type {Header} from '../../wire/common/messages.js';
import {headersOf, isFinal} from './answer-head.js';
import type {Lane} from './lane.js';

/** Largest answer that is kept; a batch's answer names results, and is far smaller. */
const mostAnswerBytes = 16 * 1024 * 1024;

/** The head of an answer. */
export type AnswerHead = {
	readonly status: number;
	/** Names in small letters. */
	readonly headers: readonly Header[];
};

/** A whole answer. */
export type WholeAnswer = AnswerHead & {readonly body: Uint8Array};

/** Why there is no whole answer. */
export type NoAnswer = {
	/** Whether the call may have reached the other side. */
	readonly wasWritten: boolean;
	readonly message: string;
};

/**
Makes a call and reads its answer.
@param lane - a connection that carries nothing; rests afterwards, or is spent where there is no whole answer.
@param options - what to send.
@param signal - gives the call up.
@param headCame - told of the head at once: what it says of its server holds whatever becomes of the rest.
@returns the answer, or why there is none.
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
				controller.abort(new UnavailableError('given up'));
			} else {
				// Not connected yet: the connection goes, and the call with it.
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
						reading.abort(new UnavailableError('the answer is larger than is taken'));
					}
				},
				onResponseEnd() {
					if (lane.isCutShort(headers)) {
						end(fail({wasWritten: true, message: 'the connection broke off before the answer was whole'}));
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
