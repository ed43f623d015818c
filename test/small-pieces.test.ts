/** Tests how much memory is taken by what is received in very small pieces, in each place that keeps them until they are whole. */
import {createServer, type IncomingMessage} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {PassThrough} from 'node:stream';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import t from 'tap';
import type {Dispatcher} from 'undici';
import {StoreTable} from '../platform/store-client.js';
import {readJsonBody} from '../src/agent/node/upstream-client.js';
import {silentLoggers} from '../src/base/common/logger.js';
import {ok} from '../src/base/common/outcome.js';
import {collectResponse} from '../src/deployment/node/collect-response.js';
import type {PooledConnection} from '../src/deployment/node/connection-pool.js';
import {readBody as readCallerBody} from '../src/direct/node/read-request.js';
import {readBody} from '../src/entry/node/http-common.js';
import {StageAnswer} from '../src/request/common/stage-answer.js';
import {encodeFrame, FrameDecoder} from '../src/wire/common/frame-codec.js';

const pieceCount = 300_000;
/** Bound on what the pieces may take: an object for each of them takes over 30 MB. */
const maxHeldBytes = 16 * 1024 * 1024;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function usedBytes(): number {
	collectGarbage();
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
}

/** All pieces are views of one buffer, as those of one read of a socket. */
const source = new Uint8Array(64 * 1024).fill(0x20);
const pieceAt = (index: number) => source.subarray(index % source.byteLength, (index % source.byteLength) + 1);

function feed(receive: (piece: Uint8Array) => void): void {
	for (let index = 0; index < pieceCount; index++) {
		receive(pieceAt(index));
	}
}

/** A body whose pieces are taken one by one. */
async function * bodyOf(onLast: () => void) {
	for (let index = 0; index < pieceCount; index++) {
		yield pieceAt(index);
	}

	onLast();
}

/** Lets each place receive all pieces, and calls a function while it keeps them. */
const places: Record<string, (measure: () => void) => unknown> = {
	async 'the body of a caller'(measure) {
		const request = new PassThrough();
		const body = readCallerBody(request as unknown as IncomingMessage, pieceCount, {growTo: () => true});
		feed(piece => {
			request.emit('data', piece);
		});
		measure();
		request.emit('end');
		return body;
	},
	async 'the body of a caller of an entry with agents'(measure) {
		return readBody({iterator: () => bodyOf(measure)} as unknown as IncomingMessage, pieceCount);
	},
	async 'the answer of a stage server'(measure) {
		let handler: Dispatcher.DispatchHandler | undefined;
		const connection = {
			dispatch(_options: unknown, given: Dispatcher.DispatchHandler) {
				handler = given;
			},
			mayBeTruncated: () => false, release: () => undefined, discard: () => undefined,
		};
		const response = collectResponse(connection as unknown as PooledConnection, {method: 'POST', path: '/'}, new AbortController().signal);
		const controller = {rawHeaders: [], abort: () => undefined} as unknown as Dispatcher.DispatchController;
		handler?.onRequestStart?.(controller, {});
		handler?.onResponseStart?.(controller, 200, {}, '');
		feed(piece => {
			handler?.onResponseData?.(controller, piece as Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseData']>>[1]);
		});
		measure();
		handler?.onResponseEnd?.(controller, {});
		return response;
	},
	async 'the state of an engine'(measure) {
		return readJsonBody(bodyOf(measure)).catch(() => undefined);
	},
	'a response or stream'(measure) {
		const answer = StageAnswer.create();
		feed(piece => {
			answer.add(1, piece);
		});
		measure();
		return answer.body;
	},
	'the message of a peer'(measure) {
		const decoder = FrameDecoder.create();
		decoder.push(Uint8Array.of(0, 0x7F, 0, 0));
		feed(piece => {
			decoder.push(piece);
		});
		measure();
		return decoder;
	},
};

for (const [name, receive] of Object.entries(places)) {
	// Guards against hosts whose heap is filled by an object for each received piece.
	t.test(`${name} takes little more memory than its bytes, in pieces of one byte`, async t => {
		const beforeBytes = usedBytes();
		let heldBytes: number | undefined;
		await receive(() => {
			heldBytes = usedBytes() - beforeBytes;
		});
		t.ok(heldBytes !== undefined && heldBytes < maxHeldBytes, `${heldBytes} bytes for ${pieceCount}`);
	});
}

// Guards against a host that ends because its store, or what listens at its address, sends a response without an end.
t.test('a response of the store that is larger than any page is given up', {timeout: 60_000}, async t => {
	const server = createServer((_request, response) => {
		response.writeHead(200);
		const flood = new Uint8Array(1024 * 1024).fill(0x20);
		const write = () => {
			while (!response.destroyed && response.write(flood)) {
				// Writes as much as the host takes.
			}
		};

		response.on('drain', write);
		write();
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	const {address, port} = server.address() as AddressInfo;
	const table = StoreTable.create({
		store: {address, port}, table: 'servers', readRow: (_key, value) => ok(value), log: silentLoggers.for('test'),
	});
	const result = await table.readAll({signal: AbortSignal.timeout(50_000), onProgress: () => undefined});
	t.match(result, {ok: false, error: {code: 'away', message: /larger than/v}});
});

t.test('a frame is decoded from pieces of one byte', async t => {
	const decoder = FrameDecoder.create();
	const message = {type: 'cancel', dispatchId: 'd1'} as const;
	const results = [...encodeFrame(message), ...encodeFrame(message)].map(byte => decoder.push(Uint8Array.of(byte)));
	t.same(results.flatMap(result => result.ok ? [...result.value] : []), [message, message]);
});
