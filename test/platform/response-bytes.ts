/** Generates the bytes of HTTP responses, sound and broken ones, with what a client may take them for wherever they are cut. */
import {Buffer} from 'node:buffer';
import fc from 'fast-check';

/** Part of a response; a cut is placed in a part of a kind that is chosen first, so that short parts are cut as often as long ones. */
type Part = {
	readonly kind: 'interim' | 'head' | 'body' | 'chunkSize' | 'chunkEnd' | 'lastChunk' | 'trailer' | 'lastLine' | 'rest';
	readonly bytes: Uint8Array;
};

/** What ends the message of a response: an offset in its bytes, or the orderly close of its connection. A response that is broken has no end. */
type MessageEnd = number | 'close' | 'never';

/** A response as a server sends it, up to its cut. */
export type GeneratedResponse = {
	readonly method: 'GET' | 'POST' | 'HEAD';
	readonly status: number;
	readonly isNotRun: boolean;
	/** The bytes up to the cut, in the pieces in which they are written. */
	readonly writes: readonly Uint8Array[];
	/** What follows the last byte; the connection stays open only after a whole message with a framing. */
	readonly close: 'FIN' | 'RST' | 'open';
	/** Time between the last byte and the close; without it both reach the reader at once. */
	readonly pauseMs: number | undefined;
	readonly headIsSent: boolean;
	/** The body as far as it was sent, without its framing. */
	readonly sentBody: string;
	/** Whether a client may take the message for complete. */
	readonly mayBeWhole: boolean;
	/** Whether a client must do so; it may reject what servers are not to send, even if its end is plain. */
	readonly mustBeWhole: boolean;
	/** For the report of a failure. */
	readonly description: string;
};

const framings = {
	/** Sound ones, which a client must accept. */
	sound: ['chunked', 'chunked', 'length', 'length', 'none', 'none'],
	/** Ones that a client may accept, or reject. */
	odd: ['lengthTwice', 'lengthList', 'chunkedWithLength', 'chunkedTwice', 'identity'],
	/** Ones that have no end. */
	broken: ['lengthsDiffer', 'lengthListDiffers', 'badLength', 'badChunkSize', 'chunkNotEnded', 'gzipChunked', 'gzipThenChunked', 'chunkedGzip', 'gzip', 'unknownCoding', 'switched'],
} as const;
type Framing = (typeof framings)[keyof typeof framings][number];

const badLengths = ['', '-1', '+5', '0x5', '5 5', '5;', 'five', '99999999999999999999999'];
const badChunkSizes = ['', 'zz', '-5', '+5', '0x5', '5 5', ' 5', 'ffffffffffffffffffff', '5,'];
const trailerSets = [[], [], ['X-Sum: 1'], ['Content-Length: 3', 'Transfer-Encoding: chunked'], ['Attempt-Id: another']];
const chunkExtensions = ['', '', ';a', ';a=b;c="d;e"'];
const interimHeads = [
	[], [], [], [], ['HTTP/1.1 100 Continue'], ['HTTP/1.1 103 Early Hints\nLink: </a>'], ['HTTP/1.1 102 Processing', 'HTTP/1.1 102 Processing\nContent-Length: 4'],
];
const connectionHeaders = ['', '', 'close', 'keep-alive', 'Close', 'keep-alive, close', 'keep-alive\nKeep-Alive: timeout=5'];

const kinds: ReadonlyArray<Part['kind']> = ['interim', 'head', 'body', 'chunkSize', 'chunkEnd', 'lastChunk', 'trailer', 'lastLine', 'rest'];

const contentArbitrary = fc.oneof(
	{weight: 4, arbitrary: fc.record({type: fc.constantFrom('events', 'unnumberedEvents', 'cutEvents'), count: fc.integer({min: 0, max: 12}), size: fc.constantFrom(1, 5, 40)})},
	{weight: 1, arbitrary: fc.record({type: fc.constantFrom('events', 'unnumberedEvents', 'cutEvents'), count: fc.integer({min: 1, max: 30}), size: fc.integer({min: 1, max: 10_000})})},
	{weight: 2, arbitrary: fc.record({type: fc.constantFrom('page', 'text'), count: fc.constant(1), size: fc.constantFrom(0, 1, 30, 5000)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('text' as const), count: fc.constant(1), size: fc.integer({min: 0, max: 300_000})})},
);
type Content = {readonly type: string; readonly count: number; readonly size: number};

const responseArbitraries = {
	method: fc.constantFrom<Array<GeneratedResponse['method']>>('GET', 'GET', 'POST', 'POST', 'POST', 'HEAD'),
	version: fc.constantFrom('1.1', '1.1', '1.1', '1.0'),
	status: fc.constantFrom(200, 200, 200, 200, 200, 201, 204, 304, 404, 500, 503),
	framing: fc.oneof(
		{weight: 6, arbitrary: fc.constantFrom<Framing[]>(...framings.sound)},
		{weight: 1, arbitrary: fc.constantFrom<Framing[]>(...framings.odd)},
		{weight: 2, arbitrary: fc.constantFrom<Framing[]>(...framings.broken)},
	),
	/** Which of several variants of the framing is taken, and at which of the chunks the framing is broken. */
	variant: fc.nat({max: 1000}),
	connection: fc.constantFrom(...connectionHeaders),
	interim: fc.constantFrom(...interimHeads),
	extension: fc.constantFrom(...chunkExtensions),
	trailers: fc.constantFrom(...trailerSets),
	isLineFeedOnly: fc.nat({max: 15}).map(number => number === 0),
	content: contentArbitrary,
	/** Bytes of a chunk; 0 for one chunk for each piece of the content. */
	chunkBytes: fc.constantFrom(0, 0, 1, 7, 1000, 70_000),
	cut: fc.option(fc.record({kind: fc.nat({max: 1000}), part: fc.nat({max: 100_000}), offset: fc.constantFrom('start', 'middle', 'beforeEnd', 'end')}), {freq: 5}),
	close: fc.constantFrom<Array<GeneratedResponse['close']>>('FIN', 'FIN', 'RST', 'open'),
	pauseMs: fc.constantFrom(undefined, 0, 3),
	/** Where the bytes are split into writes, as shares of their number. */
	splits: fc.array(fc.double({min: 0, max: 1, noNaN: true}), {maxLength: 4}),
};
type Choices = {readonly [Name in keyof typeof responseArbitraries]: (typeof responseArbitraries)[Name] extends fc.Arbitrary<infer Value> ? Value : never};

/** Pieces of a body: its events, or its text. */
function piecesOf({type, count, size}: Content): string[] {
	switch (type) {
		case 'page': {
			return [`<html>${'x'.repeat(size)}`, '\n\n</html>\n\n'];
		}

		case 'text': {
			return size === 0 ? [] : [`begin ${'y'.repeat(size)} end`];
		}

		default: {
			const events = Array.from({length: count}, (_, index) => `${type === 'unnumberedEvents' ? '' : `id: ${index + 1}\n`}data: ${index} ${'z'.repeat(size)}\n\n`);
			return type === 'cutEvents' && events.length > 0 ? [...events.slice(0, -1), events.at(-1)!.slice(0, -1)] : events;
		}
	}
}

type HeaderLines = (bodyBytes: number, variant: number) => string[];

const chunkedLine: HeaderLines = (_, variant) => [variant % 5 === 0 ? 'transfer-encoding: Chunked' : 'Transfer-Encoding: chunked'];

/** The header lines that state each framing. */
const framingLines: Readonly<Record<Framing, HeaderLines>> = {
	chunked: chunkedLine,
	length: bodyBytes => [`Content-Length: ${bodyBytes}`],
	none: () => [],
	lengthTwice: bodyBytes => [`Content-Length: ${bodyBytes}`, `Content-Length: ${bodyBytes}`],
	lengthList: bodyBytes => [`Content-Length: ${bodyBytes}, ${bodyBytes}`],
	chunkedWithLength(bodyBytes, variant) {
		const length = `Content-Length: ${variant % 2 === 0 ? bodyBytes : variant}`;
		return variant % 3 === 0 ? [length, 'Transfer-Encoding: chunked'] : ['Transfer-Encoding: chunked', length];
	},
	chunkedTwice: () => ['Transfer-Encoding: chunked, chunked'],
	identity: () => ['Transfer-Encoding: identity'],
	lengthsDiffer: (bodyBytes, variant) => variant % 2 === 0
		? [`Content-Length: ${bodyBytes}`, `Content-Length: ${bodyBytes + 1 + variant}`]
		: [`Content-Length: ${bodyBytes + 1}`, `Content-Length: ${bodyBytes}`],
	lengthListDiffers: bodyBytes => [`Content-Length: ${bodyBytes}, ${bodyBytes + 1}`],
	badLength: (_, variant) => [`Content-Length: ${badLengths[variant % badLengths.length]}`],
	badChunkSize: chunkedLine,
	chunkNotEnded: chunkedLine,
	gzipChunked: () => ['Transfer-Encoding: gzip, chunked'],
	gzipThenChunked: () => ['Transfer-Encoding: gzip', 'Transfer-Encoding: chunked'],
	chunkedGzip: () => ['Transfer-Encoding: chunked, gzip'],
	gzip: () => ['Transfer-Encoding: gzip'],
	unknownCoding: (_, variant) => [variant % 2 === 0 ? 'Transfer-Encoding: xchunked' : 'Transfer-Encoding: chunked-x'],
	switched: () => ['Upgrade: another'],
};

const chunkedFramings = new Set<Framing>(['chunked', 'chunkedWithLength', 'chunkedTwice', 'badChunkSize', 'chunkNotEnded', 'gzipChunked', 'gzipThenChunked', 'chunkedGzip']);
const bodylessStatuses = new Set([204, 304]);
const {sound, broken}: {sound: readonly Framing[]; broken: readonly Framing[]} = framings;

const bytesOf = (text: string) => Buffer.from(text, 'latin1');

function splitBody(body: string, chunkBytes: number): string[] {
	return Array.from({length: Math.ceil(body.length / chunkBytes)}, (_, index) => body.slice(index * chunkBytes, (index + 1) * chunkBytes));
}

function headOf({version, status, framing, variant, connection, isLineFeedOnly}: Choices, requestId: string, bodyBytes: number): string {
	const lineEnd = isLineFeedOnly ? '\n' : '\r\n';
	const connectionValue = framing === 'switched' ? 'upgrade' : connection;
	return [
		`HTTP/${version} ${framing === 'switched' ? 101 : status} Status`,
		`Attempt-Id: ${requestId}`,
		'Server-Stamp: s',
		...(status === 503 ? ['Not-Executed: 1'] : []),
		...(connectionValue === '' ? [] : `Connection: ${connectionValue}`.split('\n')),
		...framingLines[framing](bodyBytes, variant),
		'',
		'',
	].join(lineEnd);
}

function chunkParts({framing, variant, extension, trailers, isLineFeedOnly}: Choices, pieces: readonly string[]): Part[] {
	const lineEnd = isLineFeedOnly ? '\n' : '\r\n';
	const brokenIndex = variant % Math.max(1, pieces.length);
	const chunks = pieces.flatMap((piece, index): Part[] => {
		const isBroken = index === brokenIndex;
		const size = framing === 'badChunkSize' && isBroken ? badChunkSizes[variant % badChunkSizes.length] : piece.length.toString(16);
		const end = framing === 'chunkNotEnded' && isBroken ? ['', 'XX', '\r', '\r\r\n'][variant % 4] : lineEnd;
		return [
			{kind: 'chunkSize', bytes: bytesOf(`${size}${extension}${lineEnd}`)}, {kind: 'body', bytes: bytesOf(piece)}, {kind: 'chunkEnd', bytes: bytesOf(end)},
		];
	});
	return [
		...chunks,
		{kind: 'lastChunk', bytes: bytesOf(`${framing === 'badChunkSize' && pieces.length === 0 ? 'zz' : '0'}${extension}${lineEnd}`)},
		...trailers.map((trailer): Part => ({kind: 'trailer', bytes: bytesOf(`${trailer}${lineEnd}`)})),
		{kind: 'lastLine', bytes: bytesOf(framing === 'chunkNotEnded' && pieces.length === 0 ? 'XX' : lineEnd)},
	];
}

/** The parts of the whole response. */
function partsOf(choices: Choices, requestId: string): Part[] {
	const {method, status, framing, interim, content, chunkBytes} = choices;
	const pieces = piecesOf(content);
	const body = pieces.join('');
	const parts: Part[] = interim.map(text => ({kind: 'interim', bytes: bytesOf(`${text.replaceAll('\n', '\r\n')}\r\n\r\n`)}));
	parts.push({kind: 'head', bytes: bytesOf(headOf(choices, requestId, body.length))});
	if (method === 'HEAD' || bodylessStatuses.has(status)) {
		return parts;
	}

	if (chunkedFramings.has(framing)) {
		const chunks = chunkBytes === 0 ? pieces : splitBody(body, body.length > 1000 * chunkBytes ? 1000 : chunkBytes);
		return [...parts, ...chunkParts(choices, chunks)];
	}

	return [...parts, ...pieces.map((piece): Part => ({kind: 'body', bytes: bytesOf(piece)}))];
}

function messageEndOf({method, status, framing}: Choices, totalBytes: number): MessageEnd {
	if (framing === 'switched') {
		return 'never';
	}

	if (method === 'HEAD' || bodylessStatuses.has(status)) {
		// The message ends with its head, whatever the head says of its framing; a client may reject a broken one.
		return totalBytes;
	}

	if (broken.includes(framing)) {
		return 'never';
	}

	return framing === 'none' || framing === 'identity' ? 'close' : totalBytes;
}

/** Returns the number of bytes that are sent before the cut. */
function cutOffsetOf({cut}: Choices, parts: readonly Part[], totalBytes: number): number {
	if (!cut) {
		return totalBytes;
	}

	const present = kinds.filter(kind => parts.some(part => part.kind === kind));
	const wanted = present[cut.kind % present.length];
	const candidates = parts.flatMap((part, index) => part.kind === wanted ? [index] : []);
	const index = candidates[cut.part % candidates.length];
	const startBytes = parts.slice(0, index).reduce((sum, {bytes}) => sum + bytes.length, 0);
	const {length} = parts[index].bytes;
	const offsets = {
		start: 0, middle: Math.floor(length / 2), beforeEnd: Math.max(0, length - 1), end: length,
	};
	return startBytes + offsets[cut.offset];
}

/** Returns the bytes of a body that are among the first ones of a response. */
function sentBodyOf(parts: readonly Part[], sentBytes: number): string {
	let offset = 0;
	let body = '';
	for (const {kind, bytes} of parts) {
		if (kind === 'body') {
			body += Buffer.from(bytes.subarray(0, Math.max(0, sentBytes - offset))).toString('latin1');
		}

		offset += bytes.length;
	}

	return body;
}

function writesOf(bytes: Uint8Array, splits: readonly number[]): Uint8Array[] {
	const offsets = [...new Set([0, ...splits.map(share => Math.floor(share * bytes.length)), bytes.length])].toSorted((a, b) => a - b);
	return offsets.slice(1).map((end, index) => bytes.subarray(offsets[index], end)).filter(({length}) => length > 0);
}

/** Whether servers are not to send a response so, or send it so only if asked to, although its end is plain: this HTTP client takes it for broken. */
function isOdd({status, framing, interim, trailers}: Choices): boolean {
	return interim.some(text => text.includes(' 100 ')) || (bodylessStatuses.has(status) && framing === 'length')
		|| (framing === 'chunked' && trailers.some(text => text.startsWith('Content-Length')));
}

function makeResponse(choices: Choices, requestId: string): GeneratedResponse {
	const {method, status, framing, version, close, pauseMs, splits, isLineFeedOnly} = choices;
	const parts = partsOf(choices, requestId);
	const bytes = Buffer.concat(parts.map(part => part.bytes));
	const sentBytes = cutOffsetOf(choices, parts, bytes.length);
	const messageEnd = messageEndOf(choices, bytes.length);
	const headEnd = parts.slice(0, parts.findIndex(({kind}) => kind === 'head') + 1).reduce((sum, part) => sum + part.bytes.length, 0);
	const hasEnded = typeof messageEnd === 'number' && sentBytes >= messageEnd;
	const closing = close === 'open' && !(hasEnded && sound.includes(framing) && !isLineFeedOnly) ? 'FIN' : close;
	const mayBeWhole = hasEnded || (messageEnd === 'close' && sentBytes >= headEnd && closing === 'FIN');
	const isSound = sound.includes(framing) && !isLineFeedOnly && !(version === '1.0' && framing === 'chunked') && !isOdd(choices);
	return {
		method,
		status,
		isNotRun: status === 503,
		writes: writesOf(bytes.subarray(0, sentBytes), splits),
		close: closing,
		pauseMs,
		headIsSent: sentBytes >= headEnd && framing !== 'switched' && isSound,
		sentBody: sentBodyOf(parts, sentBytes),
		mayBeWhole,
		// A reset may discard bytes that were sent before it.
		mustBeWhole: mayBeWhole && isSound && closing !== 'RST',
		description: `${framing} ${version}, ${sentBytes} of ${bytes.length} bytes, then ${closing}: ${JSON.stringify(bytes.subarray(0, sentBytes).toString('latin1').slice(0, 600))}`,
	};
}

/**
Generates responses.
@param requestId - the id of the request, which they repeat.
*/
export function responseArbitrary(requestId: string): fc.Arbitrary<GeneratedResponse> {
	return fc.record(responseArbitraries).map(choices => makeResponse(choices, requestId));
}
