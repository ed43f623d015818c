/** An HTTP client of one connection to an upstream that accepts a response without a length only if its connection was closed in order. */
import {
	buildConnector, Client, DecoratorHandler, Pool, type Dispatcher,
} from 'undici';
import {UnavailableError} from '../../base/common/errors.js';
import {isUnframed, pairHeaders} from '../../deployment/common/hop-headers.js';

/** Statuses of responses that have no body, and so need no length. */
const bodilessStatuses = new Set([204, 304]);

/**
Returns whether only the close of the connection ends a response.
@param method - of the request.
@param status - of the response.
@param rawHeaders - of the response: name, value, name, value…
*/
export function endsWithConnection(method: string, status: number, rawHeaders: ReadonlyArray<string | Uint8Array>): boolean {
	const headers = pairHeaders(rawHeaders).map(({name, value}) => ({name: name.toLowerCase(), value}));
	return method !== 'HEAD' && !bodilessStatuses.has(status) && isUnframed({headers});
}

/**
Turns the end of a response into an error if only the close of the connection ends it and the connection was not closed in order.
@param handler - receives the response.
@param method - of the request.
@param wasClosedInOrder - returns whether the other side has closed the connection in order.
*/
function requireOrderlyEnd(handler: Dispatcher.DispatchHandler, method: string, wasClosedInOrder: () => boolean): Dispatcher.DispatchHandler {
	// Handlers that the library passes may have its older form, which this class translates.
	const receiver: Dispatcher.DispatchHandler = new DecoratorHandler(handler);
	let needsClose = false;
	return {
		onRequestStart(controller, context) {
			receiver.onRequestStart?.(controller, context);
		},
		onRequestUpgrade(...upgrade) {
			receiver.onRequestUpgrade?.(...upgrade);
		},
		onResponseStart(controller, status, ...head) {
			needsClose = endsWithConnection(method, status, Array.isArray(controller.rawHeaders) ? controller.rawHeaders : []);
			receiver.onResponseStart?.(controller, status, ...head);
		},
		onResponseData(controller, bytes) {
			receiver.onResponseData?.(controller, bytes);
		},
		onResponseEnd(controller, trailers) {
			if (needsClose && !wasClosedInOrder()) {
				receiver.onResponseError?.(controller, new UnavailableError('the connection was lost before the response was complete'));
			} else {
				receiver.onResponseEnd?.(controller, trailers);
			}
		},
		onResponseError(controller, error) {
			receiver.onResponseError?.(controller, error);
		},
	};
}

/** A client with one connection, which carries one call at a time. */
class UpstreamClient extends Client {
	/** Whether the other side has closed the current connection in order. */
	private wasClosedInOrder = false;

	constructor(origin: string | URL, options: Client.Options) {
		const connect = buildConnector({});
		super(origin, {
			...options,
			connect: (target, done) => {
				connect(target, (...result) => {
					const [, socket] = result;
					this.wasClosedInOrder = false;
					// Runs before the client's own listener, which takes what was received so far for the complete response.
					socket?.prependListener('end', () => {
						this.wasClosedInOrder = true;
					});
					done(...result);
				});
			},
		});
	}

	override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		return super.dispatch(options, requireOrderlyEnd(handler, options.method, () => this.wasClosedInOrder));
	}
}

/**
Creates a pool of connections to an upstream. Its calls have no time limits of their own.
@param origin - of the upstream.
*/
export function makeUpstreamPool(origin: string): Pool {
	return new Pool(origin, {
		bodyTimeout: 0, headersTimeout: 0, factory: (clientOrigin, options) => new UpstreamClient(clientOrigin, options),
	});
}
