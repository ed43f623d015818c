/** HTTP connections of an agent to its upstream, on which a response without a length ends only if it is proven to be complete. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	buildConnector, Client, DecoratorHandler, Pool, type Dispatcher,
} from 'undici';
import {ByteQueue} from '../../base/common/byte-queue.js';
import {UnavailableError} from '../../base/common/errors.js';
import {detach} from '../../base/common/unexpected-errors.js';
import {endsWithConnection} from '../../deployment/common/hop-headers.js';
import {FramingLimit} from '../../deployment/node/framing-limit.js';
import {crashSettleMs, isListening, livenessCheckTimeoutMs} from '../../deployment/node/server-liveness.js';
import {requireValidStatus} from '../../deployment/node/valid-status.js';

const defaultHttpPort = 80;

/**
Turns the end of a response that only the close of its connection ends into an error, unless the response is proven to be complete.
@param handler - receives the response.
@param method - of the request.
@param isProvenComplete - called when the connection has ended.
*/
function requireProvenEnd(handler: Dispatcher.DispatchHandler, method: string, isProvenComplete: () => Promise<boolean>): Dispatcher.DispatchHandler {
	// Handlers that the library passes may have its older form, which this class translates.
	const receiver: Dispatcher.DispatchHandler = new DecoratorHandler(handler);
	let needsClose = false;
	const endIfProven = async (...[controller, trailers]: Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseEnd']>>) => {
		if (await isProvenComplete()) {
			receiver.onResponseEnd?.(controller, trailers);
		} else {
			receiver.onResponseError?.(controller, new UnavailableError('the connection or the upstream was lost before the response was complete'));
		}
	};

	return {
		onRequestStart(controller, context) {
			receiver.onRequestStart?.(controller, context);
		},
		onRequestUpgrade(...upgrade) {
			receiver.onRequestUpgrade?.(...upgrade);
		},
		onResponseStart(controller, status, headers, message) {
			needsClose = endsWithConnection(method, {status, headers: Object.entries(headers).map(([name, value]) => ({name, value: String(value ?? '')}))});
			receiver.onResponseStart?.(controller, status, headers, message);
		},
		onResponseData(controller, bytes) {
			receiver.onResponseData?.(controller, bytes);
		},
		onResponseEnd(controller, trailers) {
			if (needsClose) {
				detach('check of a response', endIfProven(controller, trailers), error => {
					receiver.onResponseError?.(controller, new UnavailableError('the response could not be checked', {cause: error}));
				});
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
	private readonly framing: FramingLimit;
	private readonly url: URL;

	constructor(origin: string | URL, options: Client.Options, private readonly needsProof: boolean) {
		const connect = buildConnector({});
		const framing = FramingLimit.create();
		super(origin, {
			...options,
			connect: (target, done) => {
				connect(target, (...result) => {
					const [, socket] = result;
					this.wasClosedInOrder = false;
					if (socket) {
						framing.watch(socket);
					}

					// Runs before the client's own listener, which takes what was received so far for the complete response.
					socket?.prependListener('end', () => {
						// Node reports a reset that arrives together with data as an orderly end. Only a socket that was reset has no peer any more.
						this.wasClosedInOrder = socket.remoteAddress !== undefined;
					});
					done(...result);
				});
			},
		});
		this.framing = framing;
		this.url = new URL(origin);
	}

	override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		const proving = this.needsProof ? requireProvenEnd(handler, options.method, async () => this.isProvenComplete()) : handler;
		return super.dispatch(options, this.framing.limit(requireValidStatus(new DecoratorHandler(proving))));
	}

	/** A process that crashes closes its connections in order as well, so it must still be there directly after. */
	private async isProvenComplete(): Promise<boolean> {
		if (!this.wasClosedInOrder) {
			return false;
		}

		await sleep(crashSettleMs);
		const {hostname, port} = this.url;
		return isListening(hostname.replaceAll(/^\[|\]$/gv, ''), Number(port || defaultHttpPort), livenessCheckTimeoutMs);
	}
}

/**
Creates a pool of connections to an upstream. Its calls have no time limits of their own.
@param origin - of the upstream.
@param needsProof - whether the end of a connection must be proven to be that of a response without a length; not if responses have an end mark.
*/
export function makeUpstreamPool(origin: string, needsProof = true): Pool {
	return new Pool(origin, {
		bodyTimeout: 0, headersTimeout: 0, factory: (clientOrigin, options) => new UpstreamClient(clientOrigin, options, needsProof),
	});
}

/** Largest JSON body that is read: a state, a list of calls or a refusal. */
const maxJsonBytes = 1024 * 1024;

/**
Reads the JSON body of a response.
@param body - the body.
@returns the parsed value.
@throws UnavailableError if the body is larger than is read, SyntaxError if it is no JSON.
*/
export async function readJsonBody(body: AsyncIterable<Uint8Array>): Promise<unknown> {
	const received = ByteQueue.create();
	for await (const piece of body) {
		received.append(piece);
		if (received.sizeBytes > maxJsonBytes) {
			throw new UnavailableError('the body is larger than is read');
		}
	}

	return JSON.parse(new TextDecoder().decode(received.copy()));
}
