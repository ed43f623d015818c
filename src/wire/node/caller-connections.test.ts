import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import t, {type Test} from 'tap';
import type {Logger, LogFields} from '../../base/common/logger.js';
import {CallerConnections, connectionEndings} from './caller-connections.js';
import {listenOn} from './listen.js';

const endedMessage = 'A connection of a caller ended before a response was written out.';
const requestOf = (id: string, more = '') => `GET /${id} HTTP/1.1\r\nHost: h\r\n${more}\r\n`;
/** More bytes than the sockets of both ends hold. */
const largeBytes = 64 * 1024 * 1024;

/** A connection of a caller, with the bytes that it has received. */
class RawConnection {
	readonly socket: Socket;
	text = '';
	isClosed = false;

	constructor(port: number) {
		this.socket = connect({host: '127.0.0.1', port});
		this.socket.setEncoding('latin1');
		this.socket.on('data', (text: string) => {
			this.text += text;
		});
		this.socket.on('error', () => undefined);
		this.socket.on('close', () => {
			this.isClosed = true;
		});
	}

	/** The statuses of the responses so far. */
	get statuses(): number[] {
		return [...this.text.matchAll(/HTTP\/1\.1 (?<status>\d+)/gv)].map(match => Number(match.groups?.status)).filter(status => status >= 200);
	}
}

/** A server whose requests are answered by the test. */
class Harness {
	static async create(t: Test, headersTimeoutMs = 60_000): Promise<Harness> {
		const harness = new Harness(headersTimeoutMs);
		const {port} = await listenOn(harness.server, {address: '127.0.0.1', port: 0});
		harness.port = port;
		t.teardown(() => {
			harness.server.close();
			harness.server.closeAllConnections();
		});
		return harness;
	}

	readonly server;
	readonly connections: CallerConnections;
	readonly seen: Array<{readonly request: IncomingMessage; readonly response: ServerResponse}> = [];
	readonly ends: LogFields[] = [];
	readonly counts: string[] = [];
	private port = 0;

	private constructor(headersTimeout: number) {
		this.server = createServer({headersTimeout, connectionsCheckingInterval: 20, requestTimeout: 0});
		const keep = (sentence: string, fields: LogFields = {}) => {
			if (sentence === endedMessage) {
				this.ends.push(fields);
			}
		};

		const log: Logger = {
			debug: keep, info: keep, warn: keep, error: keep,
		};
		this.connections = CallerConnections.create({
			server: this.server,
			log,
			metrics: {
				increment: (name, _by, tags) => {
					this.counts.push(`${name} ${tags?.ending}`);
				},
				gauge: () => undefined,
				timing: () => undefined,
			},
		});
		this.server.on('request', (request, response) => {
			this.connections.identify(response, (request.url ?? '').slice(1));
			this.seen.push({request, response});
		});
	}

	get paths(): Array<string | undefined> {
		return this.seen.map(({request}) => request.url);
	}

	call(): RawConnection {
		return new RawConnection(this.port);
	}

	/** Sends bytes on a new connection and waits until a number of requests has been received in all. */
	async send(bytes: string, count: number): Promise<RawConnection> {
		const connection = this.call();
		connection.socket.write(bytes, 'latin1');
		await waitUntil(() => this.seen.length === count);
		return connection;
	}
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
	while (!isTrue()) {
		await setImmediate();
	}
}

/* Guards against a connection that ends without a response and leaves nothing in the log by which its request can be found. */
t.test('the end of a connection with an open request is reported with its cause and the ID of the request', async t => {
	const harness = await Harness.create(t);
	const gone = await harness.send(requestOf('a'), 1);
	gone.socket.destroy();
	await harness.send(requestOf('b'), 2);
	harness.connections.attribute(harness.seen[1].response, connectionEndings.exception);
	harness.seen[1].response.destroy();
	await waitUntil(() => harness.ends.length === 2);
	await harness.send(requestOf('c'), 3);
	harness.connections.attributeAllToStop();
	harness.server.closeAllConnections();
	await waitUntil(() => harness.ends.length === 3);
	t.match(harness.ends, [
		{request: 'a', ending: 'callerGone'}, {request: 'b', ending: 'exception'}, {request: 'c', ending: 'plannedStop'},
	]);
	t.same(harness.counts, ['callerGone', 'exception', 'plannedStop'].map(ending => `connections.endedEarly ${ending}`));
});

/* Guards against a response that counts as written because it was complete, while its last bytes were still in the process. */
t.test('a connection that ends while the end of a response waits to be written is reported, one that ends after it is not', async t => {
	const harness = await Harness.create(t);
	const slow = await harness.send(requestOf('slow'), 1);
	slow.socket.pause();
	harness.seen[0].response.end(Buffer.alloc(largeBytes));
	const whole = await harness.send(requestOf('whole'), 2);
	harness.seen[1].response.end('x');
	await waitUntil(() => whole.text.endsWith('x'));
	harness.connections.attributeAllToStop();
	harness.server.closeAllConnections();
	await waitUntil(() => harness.ends.length === 1 && whole.isClosed);
	t.match(harness.ends, [{request: 'slow', ending: 'plannedStop', isEnded: true}]);
});
