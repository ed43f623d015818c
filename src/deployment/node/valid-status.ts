/** Ends calls whose response has a status that HTTP doesn't have: HTTP clients accept any three digits. */
import type {Dispatcher} from 'undici';
import {UnavailableError} from '../../base/common/errors.js';
import {unreadableReasons} from '../common/unreadable-response.js';

/** Range of the statuses of HTTP (RFC 9110, 15). */
const minStatus = 100;
const maxStatus = 599;

/**
Returns a handler that ends its call at the first head, interim or final, whose status is out of range.
@param handler - receives the response.
*/
export function requireValidStatus(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
	return {
		onRequestStart(controller, context) {
			handler.onRequestStart?.(controller, context);
		},
		onRequestUpgrade(...upgrade) {
			handler.onRequestUpgrade?.(...upgrade);
		},
		onResponseStart(controller, status, ...head) {
			if (status < minStatus || status > maxStatus) {
				controller.abort(new UnavailableError(unreadableReasons.status));
			} else {
				handler.onResponseStart?.(controller, status, ...head);
			}
		},
		onResponseData(controller, bytes) {
			handler.onResponseData?.(controller, bytes);
		},
		onResponseEnd(controller, trailers) {
			handler.onResponseEnd?.(controller, trailers);
		},
		onResponseError(controller, error) {
			handler.onResponseError?.(controller, error);
		},
	};
}
