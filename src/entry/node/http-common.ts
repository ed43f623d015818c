/** What the callers' and the operators' HTTP interfaces share: servers, bodies, tokens, errors. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerOptions, type ServerResponse,
} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {App} from '@tinyhttp/app';
import {messageOf} from '../../base/common/errors.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import type {TlsMaterial} from '../../wire/node/wire-server.js';
import {problemOf, type Problem} from '../common/problems.js';

/** Limits of an HTTP server. */
export const httpLimits = {
	maxBodyBytes: 4 * 1024 * 1024,
	maxHeaderBytes: 16 * 1024,
	headersTimeoutMs: 10_000,
	bodyTimeoutMs: 20_000,
	keepAliveMs: 65_000,
} as const;

const serverOptions: ServerOptions = {
	maxHeaderSize: httpLimits.maxHeaderBytes,
	headersTimeout: httpLimits.headersTimeoutMs,
	requestTimeout: httpLimits.bodyTimeoutMs,
	keepAliveTimeout: httpLimits.keepAliveMs,
};

/**
Makes an HTTP server, with TLS where there is a certificate.
@param tls - certificate and key.
@returns a server that does not listen yet.
*/
export function makeHttpServer(tls?: TlsMaterial): Server {
	return tls
		? createTlsServer({...serverOptions, cert: tls.certificate, key: tls.key})
		: createServer(serverOptions);
}

/**
Answers a server's requests with an application, after checks that must come before its routes.
@param server - the server.
@param app - the application.
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
Makes an application whose own errors are told as problems too.
@returns the application.
*/
export function makeApp(): App {
	return new App({
		settings: {xPoweredBy: false},
		noMatchHandler(request, response) {
			sendProblem(response, problemOf('notFound', `nothing answers ${request.method} ${request.path}`));
		},
		onError(error, _request, response) {
			sendProblem(response, problemOf('badRequest', messageOf(error)));
		},
	});
}

/**
Reads a body whole, within the limits.
@param request - the request.
@param maxBytes - largest body taken.
@returns its bytes, or what is wrong.
*/
export async function readBody(request: IncomingMessage, maxBytes = httpLimits.maxBodyBytes): Promise<Outcome<Uint8Array, Problem>> {
	const pieces: Uint8Array[] = [];
	let sizeBytes = 0;
	try {
		// A body that is cut off here must not take the answer's connection with it.
		for await (const piece of request.iterator({destroyOnReturn: false})) {
			if (piece instanceof Uint8Array) {
				pieces.push(piece);
				sizeBytes += piece.byteLength;
			}

			if (sizeBytes > maxBytes) {
				return fail(problemOf('bodyTooLarge', `the body is larger than ${maxBytes} bytes`, {place: 'body'}));
			}
		}
	} catch {
		return fail(problemOf('badRequest', 'the body ended early', {place: 'body'}));
	}

	const body = new Uint8Array(sizeBytes);
	let offset = 0;
	for (const piece of pieces) {
		body.set(piece, offset);
		offset += piece.byteLength;
	}

	return ok(body);
}

/**
Reads one header.
@param request - the request.
@param name - in small letters.
@returns its value, or nothing.
*/
export function headerOf(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/**
Hashes a token as kept in the settings.
@param token - the token.
@returns 64 hexadecimal digits.
*/
export function hashToken(token: string): string {
	return createHash('sha256').update(token).digest('hex');
}

/**
Checks a bearer token.
@param request - the request.
@param hashes - hashes of the tokens that may pass; all are compared, in constant time.
@returns whether it may pass.
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
Answers with JSON.
@param response - where to.
@param status - HTTP status.
@param body - the value.
*/
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json; charset=utf-8'});
	response.end(text);
}

/**
Answers with an error.
@param response - where to.
@param problem - the error.
*/
export function sendProblem(response: ServerResponse, problem: Problem): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const {retryAfterMs, requestId} = problem;
	response.writeHead(problem.status, {
		'content-type': 'application/problem+json; charset=utf-8',
		// The rest of such a body is not read, so the connection can't be used again.
		...(problem.code === 'bodyTooLarge' && {connection: 'close'}),
		...(requestId !== undefined && {'x-request-id': requestId}),
		...(retryAfterMs !== undefined && {'retry-after': String(Math.ceil(retryAfterMs / 1000))}),
	});
	response.end(JSON.stringify(problem));
}
