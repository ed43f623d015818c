/** Shared by the HTTP interfaces for callers and operators: servers, bodies, tokens, errors. */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerOptions, type ServerResponse,
} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {App} from '@tinyhttp/app';
import {ByteQueue} from '../../base/common/byte-queue.js';
import {messageOf} from '../../base/common/errors.js';
import type {Logger} from '../../base/common/logger.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import {endResponse} from '../../base/node/closing-response.js';
import type {TlsMaterial} from '../../wire/node/wire-server.js';
import {problemOf, type Problem} from '../common/problems.js';

/** Limits of an HTTP server. */
export const httpLimits = {
	maxBodyBytes: 4 * 1024 * 1024,
	maxHeaderBytes: 16 * 1024,
	headersTimeoutMs: 10_000,
	bodyTimeoutMs: 20_000,
	keepAliveTimeoutMs: 65_000,
} as const;

const serverOptions: ServerOptions = {
	maxHeaderSize: httpLimits.maxHeaderBytes,
	headersTimeout: httpLimits.headersTimeoutMs,
	requestTimeout: httpLimits.bodyTimeoutMs,
	keepAliveTimeout: httpLimits.keepAliveTimeoutMs,
};

/**
Creates an HTTP server, with TLS if a certificate is given.
@param tls - certificate and key.
@returns a server that does not listen yet.
*/
export function makeHttpServer(tls?: TlsMaterial): Server {
	return tls
		? createTlsServer({...serverOptions, cert: tls.certificate, key: tls.key})
		: createServer(serverOptions);
}

/**
Lets an application handle the requests of a server, after the checks that must precede routing.
@param server - the HTTP server whose requests are handled.
@param app - the application that routes the requests.
*/
export function attachApp(server: Server, app: App): void {
	server.on('request', (request: IncomingMessage, response: ServerResponse) => {
		if (isDecodable(request.url ?? '/')) {
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the library adds its own fields to the plain ones
			app.attach(request as Parameters<App['attach']>[0], response as Parameters<App['attach']>[1]);
		} else {
			sendProblem(response, problemOf('badRequest', 'the path is not URL-encoded UTF-8', {place: 'path'}));
		}
	});
}

function isDecodable(url: string): boolean {
	try {
		decodeURIComponent(url.split('?', 1)[0]);
		return true;
	} catch {
		return false;
	}
}

/**
Creates an application that also returns its own errors (unknown routes, failed handlers) as problems.
@param log - receives the errors of handlers.
@returns the application.
*/
export function makeApp(log: Logger): App {
	return new App({
		settings: {xPoweredBy: false},
		noMatchHandler(request, response) {
			sendProblem(response, problemOf('notFound', `nothing answers ${request.method} ${request.path}`));
		},
		onError(error, request, response) {
			// What callers get wrong is answered by the handlers; their exceptions are faults of this host.
			log.error('Could not serve a request.', {path: request.path, request: headerOf(request, 'x-request-id'), reason: messageOf(error)});
			sendProblem(response, problemOf('internal', 'this host could not serve the request'));
		},
	});
}

/**
Reads a complete request body.
@param request - the request.
@param maxBytes - maximum size of the body.
@returns its bytes, or a problem if the body is too large or incomplete.
*/
export async function readBody(request: IncomingMessage, maxBytes = httpLimits.maxBodyBytes): Promise<Outcome<Uint8Array, Problem>> {
	const received = ByteQueue.create();
	try {
		// When reading stops early, the connection must stay open, because the response is still to be sent on it.
		for await (const chunk of request.iterator({destroyOnReturn: false})) {
			if (chunk instanceof Uint8Array) {
				received.append(chunk);
			}

			if (received.sizeBytes > maxBytes) {
				return fail(problemOf('bodyTooLarge', `the body is larger than ${maxBytes} bytes`, {place: 'body'}));
			}
		}
	} catch {
		return fail(problemOf('badRequest', 'the body ended early', {place: 'body'}));
	}

	return ok(received.copy());
}

/**
Returns the first value of a header.
@param request - the request.
@param name - name of the header, in lower case.
@returns the value, or undefined if the header is absent.
*/
export function headerOf(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/**
Hashes a token in the form in which the settings store it.
@param token - the token.
@returns 64 hexadecimal digits.
*/
export function hashToken(token: string): string {
	return createHash('sha256').update(token).digest('hex');
}

/**
Checks the bearer token of a request.
@param request - the request.
@param hashes - hashes of the accepted tokens; all are compared, in constant time.
@returns whether the token is accepted.
*/
export function hasToken(request: IncomingMessage, hashes: readonly string[]): boolean {
	const [, token] = /^Bearer (?<token>.+)$/v.exec(headerOf(request, 'authorization') ?? '') ?? [];
	const given = new TextEncoder().encode(hashToken(token ?? ''));
	let isMatch = false;
	for (const hash of hashes) {
		const known = new TextEncoder().encode(hash);
		const isSame = known.byteLength === given.byteLength && timingSafeEqual(known, given);
		isMatch ||= isSame;
	}

	return isMatch && token !== undefined;
}

/**
Sends a JSON response.
@param response - the response to write.
@param status - HTTP status.
@param body - value to serialize.
*/
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
	sendText(response, status, {'content-type': 'application/json; charset=utf-8'}, JSON.stringify(body));
}

/**
Sends a response of text.
@param response - the response to write.
@param status - HTTP status.
@param headers - headers besides its length.
@param text - its body.
*/
export function sendText(response: ServerResponse, status: number, headers: Readonly<Record<string, string>>, text: string): void {
	// To a caller of HTTP/1.0, which knows no chunks, a response without a length that is broken off looks complete.
	response.writeHead(status, {...headers, 'content-length': Buffer.byteLength(text)});
	endResponse(response, text);
}

/**
Sends an error response; if the headers were already sent, closes the connection instead.
@param response - the response to write.
@param problem - the error.
*/
export function sendProblem(response: ServerResponse, problem: Problem): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const {retryAfterMs, requestId} = problem;
	if (problem.code === 'bodyTooLarge') {
		response.shouldKeepAlive = false;
	}

	sendText(response, problem.status, {
		'content-type': 'application/problem+json; charset=utf-8',
		...(requestId !== undefined && {'x-request-id': requestId}),
		...(retryAfterMs !== undefined && {'retry-after': String(Math.ceil(retryAfterMs / 1000))}),
	}, JSON.stringify(problem));
}
