/** Limits the bytes of a connection that are part of no response's body, of which a faulty server may send any number: HTTP clients limit only headers. */
import type {Socket} from 'node:net';
import type {Dispatcher} from 'undici';
import {UnavailableError} from '../../base/common/errors.js';
import {unreadableReasons} from '../common/unreadable-response.js';

/** Maximum number of bytes that are in no body: heads, chunk sizes and trailers, and bytes that the client has not parsed while its reader is paused. */
const maxFramingBytes = 512 * 1024;
/** Bytes that may frame each byte of a body: a chunk of one byte is framed by five, and a few more for an extension. */
const framingPerBodyByte = 16;

/** Measures one connection, call by call. */
export class FramingLimit {
	static create(): FramingLimit {
		return new FramingLimit();
	}

	private socket: Socket | undefined;
	/** Bytes that the connection had received when its call began, or its last call ended. */
	private startBytes = 0;
	private bodyBytes = 0;
	private controller: Dispatcher.DispatchController | undefined;

	/**
	Begins with a new connection; to be called before the HTTP client listens to it.
	@param socket - the connection.
	*/
	watch(socket: Socket): void {
		this.socket = socket;
		this.startBytes = socket.bytesRead;
		socket.prependListener('readable', () => {
			if (socket === this.socket) {
				this.check(socket);
			}
		});
	}

	/**
	Returns a handler for the next call, which ends the call once the limit is exceeded.
	@param handler - receives the response.
	*/
	limit(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
		const end = () => {
			this.controller = undefined;
			this.begin();
		};

		return {
			onRequestStart: (controller, context) => {
				this.controller = controller;
				this.begin();
				handler.onRequestStart?.(controller, context);
			},
			onRequestUpgrade(...upgrade) {
				handler.onRequestUpgrade?.(...upgrade);
			},
			onResponseStart(...response) {
				handler.onResponseStart?.(...response);
			},
			onResponseData: (controller, bytes) => {
				this.bodyBytes += bytes.byteLength;
				handler.onResponseData?.(controller, bytes);
			},
			onResponseEnd(controller, trailers) {
				end();
				handler.onResponseEnd?.(controller, trailers);
			},
			onResponseError(controller, error) {
				end();
				handler.onResponseError?.(controller, error);
			},
		};
	}

	private begin(): void {
		this.startBytes = this.socket?.bytesRead ?? 0;
		this.bodyBytes = 0;
	}

	private check(socket: Socket): void {
		const framingBytes = socket.bytesRead - this.startBytes - this.bodyBytes;
		if (framingBytes <= maxFramingBytes + (this.bodyBytes * framingPerBodyByte)) {
			return;
		}

		const error = new UnavailableError(unreadableReasons.framing);
		if (this.controller) {
			this.controller.abort(error);
		} else {
			socket.destroy(error);
		}
	}
}
