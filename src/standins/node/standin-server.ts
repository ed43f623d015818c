/** Base of all simulated servers: a small HTTP server on loopback with JSON bodies. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Disposable} from '../../base/common/disposable.js';
import {messageOf} from '../../base/common/errors.js';
import {detach} from '../../base/common/unexpected-errors.js';
import {endpointOf} from '../../wire/node/listen.js';

/** Handles one request. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void> | void;

/** An HTTP server on a free loopback port. */
export class StandinServer implements Disposable {
	static async create(handler: RequestHandler): Promise<StandinServer> {
		const server = createServer((request, response) => {
			detach('request', handleRequest(handler, request, response));
		});
		server.keepAliveTimeout = 60_000;
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		return new StandinServer(server);
	}

	readonly origin: string;

	private constructor(private readonly server: Server) {
		this.origin = `http://127.0.0.1:${endpointOf(server).port}`;
	}

	/** Stops listening; open connections go on. */
	stopListening(): void {
		this.server.close();
	}

	dispose(): void {
		this.server.close();
		this.server.closeAllConnections();
	}
}

async function handleRequest(handler: RequestHandler, request: IncomingMessage, response: ServerResponse): Promise<void> {
	try {
		await handler(request, response);
	} catch (error) {
		if (!response.headersSent) {
			sendJson(response, 500, {message: messageOf(error)});
		}
	}
}

/**
Reads the complete body of a request.
@param request - the request.
@returns its bytes.
*/
export async function readBody(request: IncomingMessage): Promise<Uint8Array> {
	const pieces: Uint8Array[] = [];
	for await (const piece of request) {
		if (piece instanceof Uint8Array) {
			pieces.push(piece);
		}
	}

	return Buffer.concat(pieces);
}

/**
Reads the body of a request as JSON.
@param request - the request.
@returns the parsed value.
*/
export async function readJson(request: IncomingMessage): Promise<unknown> {
	return JSON.parse(new TextDecoder().decode(await readBody(request)));
}

/**
Sends a JSON response.
@param response - the response to send.
@param status - HTTP status.
@param body - the value to serialize.
*/
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
}
