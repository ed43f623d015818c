/** Observes the connections of callers: which requests are open on each, and how a connection ends whose responses are not all written out. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
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
type Exchange = {readonly request: IncomingMessage; readonly response: ServerResponse; requestId: string; isWritten: boolean; cause?: Cause};

/** One connection, with its open exchanges in the order of their requests. */
type Connection = {readonly exchanges: Exchange[]; cause?: Cause};

/** Dependencies of the observation. */
export type CallerConnectionsOptions = {readonly server: Server; readonly log: Logger; readonly metrics: Metrics};

const timeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Keeps the open connections of one HTTP server. */
export class CallerConnections {
	/**
	Observes a server; to be called before other listeners for its requests are added.
	@param options - the server and where to report.
	*/
	static create(options: CallerConnectionsOptions): CallerConnections {
		return new CallerConnections(options);
	}

	private readonly connections = new Map<Socket, Connection>();

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
		server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			this.handleClientError(error, socket);
		});
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

	/** Records that a planned stop is about to end all connections. */
	attributeAllToStop(): void {
		for (const connection of this.connections.values()) {
			connection.cause ??= {ending: connectionEndings.plannedStop};
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
		const connection: Connection = {exchanges: []};
		this.connections.set(socket, connection);
		socket.on('close', () => {
			this.connections.delete(socket);
		});
		return connection;
	}

	private begin(request: IncomingMessage, response: ServerResponse): void {
		const connection = this.connections.get(request.socket) ?? this.open(request.socket);
		const {socket} = request;
		const exchange: Exchange = {
			request, response, requestId: '', isWritten: false,
		};
		connection.exchanges.push(exchange);
		response.once('finish', () => {
			// The event also occurs when a connection ends whose last bytes still wait in this process.
			exchange.isWritten = !socket.destroyed;
		});
		response.once('close', () => {
			connection.exchanges.splice(connection.exchanges.indexOf(exchange), 1);
			if (!exchange.isWritten) {
				this.report(exchange, connection);
			}
		});
	}

	private report(exchange: Exchange, connection: Connection): void {
		const {ending, code} = exchange.cause ?? connection.cause ?? {ending: connectionEndings.callerGone};
		const {request, response, requestId} = exchange;
		this.options.log.info('A connection of a caller ended before a response was written out.', {
			request: requestId, ending, code, isRequestComplete: request.complete, isBegun: response.headersSent, isEnded: response.writableEnded,
		});
		this.options.metrics.increment('connections.endedEarly', 1, {ending, code: code ?? 'none'});
	}

	private handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
		const {code} = error;
		const connection = this.connections.get(socket);
		if (connection && !socket.destroyed) {
			connection.cause ??= {ending: code === timeoutCode ? connectionEndings.headerTimeout : connectionEndings.clientError, code};
		}

		// The bytes are not a valid HTTP request: nothing was run, and other connections are not affected.
		this.options.log.debug('A caller sent bytes that are not a valid HTTP request.', {reason: error.message, code});
		socket.destroy();
	}

	private exchangeOf(response: ServerResponse): Exchange | undefined {
		return this.connections.get(response.req.socket)?.exchanges.find(exchange => exchange.response === response);
	}
}
