/**
Owns the ends of callers' connections: answers that are owed are written in order before a connection closes because of what its caller
sent, and each connection that ends before a response was written out is reported.
*/
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {
	STATUS_CODES, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Duplex} from 'node:stream';
import {Server as TcpServer, type Socket} from 'node:net';
import type {Clock} from '../../base/common/clock.js';
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';

/** How a connection ended before a response on it was written out; the values appear in logs and metrics. */
export const connectionEndings = {
	/** The caller closed or reset it. */
	callerGone: 'callerGone',
	/** The caller sent bytes that are not a valid request. */
	clientError: 'clientError',
	/** A head did not arrive within its time limit. */
	headerTimeout: 'headerTimeout',
	/** A planned stop came to its end. */
	plannedStop: 'plannedStop',
	/** This host failed to serve the request. */
	exception: 'exception',
	/** An upstream did not complete a response that had begun. */
	cutOff: 'cutOff',
} as const;
export type ConnectionEnding = typeof connectionEndings[keyof typeof connectionEndings];

/** Why a connection is about to end, and the code of the error if there was one. */
type Cause = {readonly ending: ConnectionEnding; readonly code?: string | undefined};

/** A request whose response has not been written out. */
type Exchange = {
	readonly request: IncomingMessage; readonly response: ServerResponse; requestId: string; isWritten: boolean; isReported: boolean; cause?: Cause;
	/** Whether the rest of the request is invalid, so that it does not run. */
	isRejected: boolean;
	/** Called when the request may run, or never will. */
	onTurn?: (mayRun: boolean) => void;
};

/** One connection, with its open exchanges in the order of their requests. */
type Connection = {
	readonly socket: Socket;
	readonly exchanges: Exchange[];
	cause?: Cause;
	/** Status for what the caller sent behind its valid requests; the connection closes after it. */
	failureStatus?: number;
	isFailureSent: boolean;
	/** Number of requests so far. */
	requestCount: number;
	/** When the last response was written out. */
	idleSinceMs: number;
};

/** Dependencies of the observation. */
export type CallerConnectionsOptions = {readonly server: Server; readonly clock: Clock; readonly log: Logger; readonly metrics: Metrics};

const timeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';
const badRequest = 400;
const requestTimeout = 408;
const expectationFailed = 417;
const unavailable = 503;
/** Requests of one connection that may be open. Of them one is at work; each of the others takes memory. */
const maxOpenRequests = 100;
/** Time between two reads of bytes that are discarded: read at once, they would take the time of other connections; the close of a caller is behind all of them. */
const discardIntervalMs = 10;
/** In the log and the metrics, for a connection with more of them. */
const tooManyCode = 'TOO_MANY_REQUESTS';
/** Delay after which a caller may send the requests again that were too many. */
const tooManyRetryAfterMs = 1000;
/** Statuses for what is no valid request, by the code of the error; others get 400. */
const failureStatuses: ReadonlyMap<string, number> = new Map([['HPE_HEADER_OVERFLOW', 431], ['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413]]);
/** Code of the error when a caller closes its side within a request. */
const endWithinRequestCode = 'HPE_INVALID_EOF_STATE';
/**
Time for which a connection is still read after its last response: if it were closed with unread bytes, the caller's side would
be reset and might discard the response.
*/
const lingerMs = 1000;
/** Time for which an idle connection stays open beyond its limit: a caller counts from when it received the response. */
const idleMarginMs = 1000;

/** Keeps the open connections of one HTTP server. */
export class CallerConnections {
	/**
	Observes a server; to be called before other listeners for its requests are added.
	@param options - the server and where to report.
	*/
	static create(options: CallerConnectionsOptions): CallerConnections {
		return new CallerConnections(options);
	}

	private readonly connections = new Map<Duplex, Connection>();
	/** Responses to requests that are not served. */
	private readonly dropped = new WeakSet<ServerResponse>();

	private constructor(private readonly options: CallerConnectionsOptions) {
		const {server} = options;
		server.on('connection', (socket: Socket) => {
			this.open(socket);
		});
		// The server of a TLS connection emits requests with a socket of its own.
		server.on('secureConnection', (socket: Socket) => {
			this.open(socket);
		});
		server.on('request', (request: IncomingMessage, response: ServerResponse) => {
			this.begin(request, response);
		});
		// Without a listener the connection would be destroyed, also if a request has arrived that was not read yet.
		server.on('timeout', (socket: Socket) => {
			this.handleIdle(socket);
		});
		server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			this.handleClientError(error, socket);
		});
		// Without a listener the server answers such a request itself, and its response is unknown here.
		server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => {
			this.begin(request, response);
			response.shouldKeepAlive = false;
			response.writeHead(expectationFailed, {'content-length': 0});
			response.end();
		});
		// Without a listener the connection would be destroyed, also with earlier requests at work.
		server.on('connect', (_request: IncomingMessage, socket) => {
			this.handleConnect(socket);
		});
	}

	/**
	Returns whether a request is to be served. Those that arrive behind too many open ones of their connection are not, and get no response.
	@param response - its response.
	*/
	isTaken(response: ServerResponse): boolean {
		return !this.dropped.has(response);
	}

	/**
	Names a request in the report of its connection's end.
	@param response - its response.
	@param requestId - ID that its caller gave it.
	*/
	identify(response: ServerResponse, requestId: string): void {
		const exchange = this.exchangeOf(response);
		if (exchange) {
			exchange.requestId = requestId;
		}
	}

	/**
	Records why this host is about to end a connection before the response on it is complete.
	@param response - the response.
	@param ending - the reason.
	*/
	attribute(response: ServerResponse, ending: ConnectionEnding): void {
		const exchange = this.exchangeOf(response);
		if (exchange) {
			exchange.cause ??= {ending};
		}
	}

	/**
	Waits until the responses to all earlier requests of a connection are written out. Requests that run beside each other could be
	lost together: each response may have to end the connection.
	@param response - the response of the request that is to run.
	@returns whether the request may run; if not, its connection ends without a response to it. A promise only if it has to wait.
	*/
	turnOf(response: ServerResponse): boolean | Promise<boolean> {
		const connection = this.connections.get(response.req.socket);
		const exchange = this.exchangeOf(response);
		if (!connection || !exchange || exchange.isRejected || !connection.socket.writable) {
			return false;
		}

		return connection.exchanges[0] === exchange || new Promise(resolve => {
			exchange.onTurn = resolve;
		});
	}

	/** Number of requests whose response has not been written out, on connections that are open. */
	get openCount(): number {
		let count = 0;
		for (const {exchanges} of this.connections.values()) {
			count += exchanges.length;
		}

		return count;
	}

	/**
	Accepts no more connections. Open ones stay, also idle ones: a request may have arrived on them. The response to the last request
	of a connection asks its caller to use another one.
	*/
	stopAccepting(): void {
		// The method of HTTP servers also destroys connections whose last response is complete but not written out.
		TcpServer.prototype.close.call(this.options.server);
		for (const {exchanges} of this.connections.values()) {
			const response = exchanges.at(-1)?.response;
			if (response && !response.headersSent) {
				response.shouldKeepAlive = false;
			}
		}
	}

	/** Closes the connections that have had a request and have none open, unless more has arrived on them. */
	closeIdle(): void {
		for (const connection of this.connections.values()) {
			if (connection.exchanges.length === 0 && connection.requestCount > 0) {
				this.closeUnlessRead(connection);
			}
		}
	}

	/** Reports the requests whose responses are not written out, as a planned stop is about to end all connections: the process may exit before their sockets are closed. */
	reportPlannedStop(): void {
		for (const connection of this.connections.values()) {
			connection.cause ??= {ending: connectionEndings.plannedStop};
			for (const exchange of connection.exchanges) {
				this.report(exchange, connection);
			}
		}
	}

	/**
	Returns the ID of an open request as it was given to `identify`, or an empty text.
	@param response - its response.
	*/
	requestIdOf(response: ServerResponse): string {
		return this.exchangeOf(response)?.requestId ?? '';
	}

	private open(socket: Socket): Connection {
		const connection: Connection = {
			socket, exchanges: [], isFailureSent: false, requestCount: 0, idleSinceMs: this.options.clock.nowMs(),
		};
		this.connections.set(socket, connection);
		socket.on('close', () => {
			this.connections.delete(socket);
			// Responses that wait behind another one get no event of their own.
			for (const exchange of [...connection.exchanges]) {
				this.end(exchange, connection);
			}
		});
		return connection;
	}

	private begin(request: IncomingMessage, response: ServerResponse): void {
		const {socket} = request;
		const connection = this.connections.get(socket) ?? this.open(socket);
		if (connection.exchanges.length >= maxOpenRequests) {
			this.dropped.add(response);
			this.refuseMore(connection);
			return;
		}

		const exchange: Exchange = {
			request, response, requestId: '', isWritten: false, isReported: false, isRejected: connection.failureStatus !== undefined,
		};
		connection.exchanges.push(exchange);
		connection.requestCount++;
		response.once('finish', () => {
			// The event also occurs when a connection ends whose last bytes still wait in this process.
			exchange.isWritten = !socket.destroyed;
		});
		response.once('close', () => {
			this.end(exchange, connection);
		});
	}

	private end(exchange: Exchange, connection: Connection): void {
		const index = connection.exchanges.indexOf(exchange);
		if (index === -1) {
			return;
		}

		connection.exchanges.splice(index, 1);
		connection.idleSinceMs = this.options.clock.nowMs();
		this.report(exchange, connection);

		exchange.onTurn?.(false);
		const next = connection.exchanges.at(0);
		next?.onTurn?.(!next.isRejected && connection.socket.writable);
		this.sendFailure(connection);
	}

	/** Reports a request whose response is not written out, once. */
	private report(exchange: Exchange, connection: Connection): void {
		if (exchange.isWritten || exchange.isReported) {
			return;
		}

		exchange.isReported = true;
		const {ending, code} = exchange.cause ?? connection.cause ?? {ending: connectionEndings.callerGone};
		const {request, response, requestId} = exchange;
		this.options.log.info('A connection of a caller ended before a response was written out.', {
			request: requestId, ending, code, isRequestComplete: request.complete, isBegun: response.headersSent, isEnded: response.writableEnded,
		});
		this.options.metrics.increment('connections.endedEarly', 1, {ending, code: code ?? 'none'});
	}

	private handleClientError({code, message}: NodeJS.ErrnoException, socket: Duplex): void {
		const connection = this.connections.get(socket);
		if (connection?.failureStatus !== undefined) {
			// Bytes that follow after the first error are discarded.
			return;
		}

		this.options.log.debug('A caller sent bytes that are not a valid HTTP request.', {reason: message, code});
		if (!connection || !socket.writable) {
			socket.destroy();
			return;
		}

		if (code === endWithinRequestCode) {
			// The caller has left, as when it closes its connection after whole requests.
			socket.destroy();
			return;
		}

		if (code === timeoutCode) {
			this.handleExpiry(connection);
			return;
		}

		connection.cause ??= {ending: connectionEndings.clientError, code};
		this.fail(connection, failureStatuses.get(code ?? '') ?? badRequest);
	}

	/** Ends a connection whose next request did not arrive in time, unless the rest of it is there to be read. */
	private handleExpiry(connection: Connection): void {
		const {requestCount, exchanges} = connection;
		const incomplete = exchanges.at(-1)?.request;
		const wasComplete = incomplete?.complete ?? true;
		afterReading(() => {
			const hasArrived = connection.requestCount > requestCount || (!wasComplete && incomplete?.complete);
			if (!hasArrived && connection.failureStatus === undefined) {
				connection.cause ??= {ending: connectionEndings.headerTimeout, code: timeoutCode};
				this.fail(connection, requestTimeout);
			}
		});
	}

	/** Closes a connection that was idle for the time limit, by the limit that holds now. */
	private handleIdle(socket: Socket): void {
		const connection = this.connections.get(socket);
		if (!connection || connection.exchanges.length > 0) {
			return;
		}

		const remainingMs = Math.ceil(connection.idleSinceMs + this.options.server.keepAliveTimeout + idleMarginMs - this.options.clock.nowMs());
		if (remainingMs > 0) {
			socket.setTimeout(remainingMs);
		} else {
			this.closeUnlessRead(connection);
		}
	}

	private handleConnect(socket: Duplex): void {
		const connection = this.connections.get(socket);
		// The server has removed its own listeners.
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('end', () => {
			socket.destroy();
		});
		if (!connection) {
			socket.destroy();
			return;
		}

		socket.on('drain', () => {
			connection.exchanges.at(0)?.response.emit('drain');
		});
		socket.resume();
		connection.cause ??= {ending: connectionEndings.clientError, code: 'CONNECT'};
		this.fail(connection, badRequest);
	}

	/**
	Answers the requests of a connection that has too many of them, and discards what follows without parsing it. Its socket is read on, since
	it would not report otherwise that its caller has left.
	*/
	private refuseMore(connection: Connection): void {
		if (connection.failureStatus !== undefined) {
			return;
		}

		const {socket} = connection;
		this.options.log.info('A caller sent more requests on a connection than may be open.', {count: connection.exchanges.length});
		this.options.metrics.increment('connections.overfilled', 1);
		connection.cause ??= {ending: connectionEndings.clientError, code: tooManyCode};
		this.fail(connection, unavailable);
		// The parser is in use until what was read with this request is parsed.
		process.nextTick(() => {
			socket.removeAllListeners('data');
			socket.on('data', () => {
				socket.pause();
				this.options.clock.setTimer(discardIntervalMs, () => {
					socket.resume();
				});
			});
			socket.on('end', () => {
				socket.destroy();
			});
			socket.resume();
		});
	}

	/** Answers what a caller sent behind its valid requests, once these have their responses, and closes the connection. */
	private fail(connection: Connection, status: number): void {
		connection.failureStatus = status;
		const last = connection.exchanges.at(-1);
		if (last && !last.request.complete) {
			last.isRejected = true;
		}

		this.sendFailure(connection);
	}

	private sendFailure(connection: Connection): void {
		const {socket, exchanges, failureStatus} = connection;
		const isOwed = exchanges.some(({isRejected, response}) => !isRejected || response.headersSent);
		if (failureStatus === undefined || isOwed || connection.isFailureSent || !socket.writable) {
			return;
		}

		connection.isFailureSent = true;
		// A connection on which nothing was ever sent has no request to answer.
		socket.end(socket.bytesRead === 0 ? '' : failureText(failureStatus), () => {
			for (const exchange of exchanges) {
				exchange.isWritten = true;
			}
		});
		const timer = this.options.clock.setTimer(lingerMs, () => {
			socket.destroy();
		});
		socket.once('close', () => {
			timer.dispose();
		});
	}

	/** Closes an idle connection after it was read once more. */
	private closeUnlessRead({socket, exchanges}: Connection): void {
		const {bytesRead} = socket;
		afterReading(() => {
			if (exchanges.length === 0 && socket.bytesRead === bytesRead && socket.writableLength === 0) {
				socket.destroy();
			}
		});
	}

	private exchangeOf(response: ServerResponse): Exchange | undefined {
		return this.connections.get(response.req.socket)?.exchanges.find(exchange => exchange.response === response);
	}
}

/** Returns the bytes of the response to what is no valid request, or to requests that are too many. */
function failureText(status: number): string {
	const isValid = status === unavailable;
	const body = isValid ? 'Not run: too many requests of this connection wait.\n' : 'Not run: this is not a valid HTTP request.\n';
	const retryAfter = isValid ? `Retry-After: ${(tooManyRetryAfterMs / 1000).toFixed(2)}\r\n` : '';
	return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${retryAfter}Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

/** Calls a function once all connections were read: in a process that stood still, timers run before what has arrived meanwhile is read. */
function afterReading(run: () => void): void {
	setImmediate(() => {
		setImmediate(run);
	});
}
