/** Stand-ins of the platform's servers: plain services, model servers and stage servers, with faults to order. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {readBody, sendJson, StandinServer} from '../../src/standins/node/standin-server.js';

/** A request as a server saw it. */
export type SeenRequest = {readonly id: string; readonly method: string; readonly path: string; readonly headers: IncomingMessage['headers']; readonly body: string};

/** Which requests a server turns away as not run. */
export type RefusalPolicy = {
	/** Part of its requests. */
	readonly share: number;
	/** Value of the answers' `Retry-After`; none where absent. */
	readonly retryAfter?: string;
};

/** A request that was turned away: by which host it was sent, and until when the server wants no more from that host. */
type Refusal = {readonly host: string; readonly atMs: number; readonly untilMs: number};

/** What a server does with the next requests. */
export type Fault
	= | 'none'
	/** Says that it did not run the request. */
		| 'full'
	/** Runs the request and answers with an error. */
		| 'error'
	/** Runs the request and cuts the connection. */
		| 'reset'
	/** Never answers. */
		| 'silent'
	/** Answers in the name of another request. */
		| 'foreign'
	/** Answers without a length and cuts the connection in the middle. */
		| 'unframedReset'
	/** Answers without a length and closes the connection in order in the middle. */
		| 'unframedClose'
	/** Answers in chunks and closes the connection in order before the last one. */
		| 'chunkedClose'
	/** The same with a reset. */
		| 'chunkedReset'
	/** Streams two events and cuts the connection inside the third. */
		| 'cutStream'
	/** Says that a result it was to read is lost. */
		| 'inputsGone';

const freeSchema = z.object({sessions: z.array(z.string())});
const runSchema = z.object({entries: z.array(z.record(z.string(), z.unknown()))});
const eventCount = 5;

/** Half an answer, and the end of its connection. */
async function sendPartialResponse(request: IncomingMessage, id: string, fault: Fault): Promise<void> {
	const framing = fault.startsWith('chunked') ? 'Transfer-Encoding: chunked\r\nConnection: close\r\n' : '';
	const body = framing === '' ? 'half of it' : 'a\r\nhalf of it\r\n';
	request.socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Stamp: s\r\n${framing}\r\n${body}`);
	await sleep(20);
	if (fault.endsWith('Reset')) {
		request.socket.resetAndDestroy();
	} else {
		request.socket.end();
	}
}

/** The host that sent a request, as the ids of a load tell; calls of steps and releases come from the one host that batches their pool. */
function hostOf({headers}: IncomingMessage): string {
	return String(headers['attempt-id'] ?? '').split('@')[1] ?? 'batches';
}

/** A server with an id that is new at each start. */
export class ServerStandin {
	/**
	Starts a server.
	@param serverId - its id.
	@param stepMs - time of an event of a stream, or of an answer.
	@param hall - where it stands.
	*/
	static async create(serverId: string, stepMs = 2, hall = 'hall-a'): Promise<ServerStandin> {
		const standin = new ServerStandin(serverId, stepMs, hall);
		standin.server = await StandinServer.create(async (request, response) => standin.handleRequest(request, response));
		return standin;
	}

	fault: Fault = 'none';
	/** A request with this body ends the server as soon as it runs; nothing listens at its address from then on. */
	crashesOnBody: string | undefined;
	/** The same for a call of stage work with a piece of this key. */
	crashesOnPieceKey: string | undefined;
	hasCrashed = false;
	readonly seen: SeenRequest[] = [];
	/** Calls of stage work, each with its pieces. */
	readonly stageCalls: Array<ReadonlyArray<Record<string, unknown>>> = [];
	readonly releasedResults: string[] = [];
	/** While it is cold, it ends once more requests than this come within a second. */
	maxPerSecondWhileCold = Infinity;
	/** How much longer it is cold, as its entry tells. */
	coldLeftMs = 0;
	/** What all its answers name as the requests a second that it takes from all hosts together. */
	limit: string | undefined;
	/** When requests came, those it rejects included. */
	readonly arrivedMs: number[] = [];
	/** Which requests it turns away, releases of results included. */
	refusalPolicy: RefusalPolicy | undefined;
	/** Requests that it turned away. */
	readonly refusals: Refusal[] = [];
	/** Called with each request that comes, before it is looked at. */
	onArrival: (() => void) | undefined;
	/** When an answer first said that it leaves. */
	leavingReportedMs: number | undefined;
	/** Calls of stage work are answered once this has ended. */
	stageGate: Promise<void> | undefined;
	/** Requests whose connection closed before their answer was whole. */
	closedEarlyCount = 0;
	private isLeaving = false;
	/** When requests came, by the host that sent them. */
	private readonly arrivals: Array<{readonly host: string; readonly atMs: number}> = [];
	private accumulatedShare = 0;
	private server!: StandinServer;
	private resultCount = 0;

	private constructor(readonly serverId: string, private readonly stepMs: number, readonly hall: string) {}

	get address(): string {
		return new URL(this.server.origin).host;
	}

	/** The entry that a server of this kind keeps in the store. */
	entry(pool: string, phase: 'ready' | 'draining' = 'ready') {
		return {
			backend: pool, address: this.address, availZone: this.hall, generationNum: 'v1', slotCount: 4, phase, coldLeftMs: this.coldLeftMs, callSeq: 1,
		};
	}

	/** Most requests that came within any one second. */
	get maxInOneSecond(): number {
		return this.maxWithin(1000, -Infinity);
	}

	/**
	Tells how many requests came at most within any span.
	@param spanMs - its length.
	@param sinceMs - what came before does not count.
	*/
	maxWithin(spanMs: number, sinceMs: number): number {
		const countedMs = this.arrivedMs.filter(atMs => atMs >= sinceMs);
		return Math.max(0, ...countedMs.map(startMs => countedMs.filter(atMs => atMs >= startMs && atMs < startMs + spanMs).length));
	}

	/**
	Tells how many requests came at most from one host while it had been asked for rest.
	@param graceMs - the rest counts from this long after the answer that asked for it.
	*/
	maxDuringBackoff(graceMs: number): number {
		const counts = this.refusals.map(({host, atMs, untilMs}) => {
			const arrivals = this.arrivals.filter(arrived => arrived.host === host);
			return arrivals.filter(arrived => arrived.atMs > atMs + graceMs && arrived.atMs < untilMs).length;
		});
		return Math.max(0, ...counts);
	}

	/** From now on all its answers say that it leaves; its entry in the store stays as it is. */
	reportLeaving(): void {
		this.isLeaving = true;
	}

	dispose(): void {
		this.server.dispose();
	}

	private crash(): void {
		this.hasCrashed = true;
		this.dispose();
	}

	private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = new TextDecoder().decode(await readBody(request));
		const path = request.url ?? '';
		const nowMs = performance.now();
		const host = hostOf(request);
		this.arrivedMs.push(nowMs);
		this.arrivals.push({host, atMs: nowMs});
		this.onArrival?.();
		if (this.limit !== undefined) {
			response.setHeader('server-limit', this.limit);
		}

		if (this.isLeaving) {
			this.leavingReportedMs ??= performance.now();
			response.setHeader('server-leaving', '1');
		}

		if (this.coldLeftMs > 0 && this.maxInOneSecond > this.maxPerSecondWhileCold) {
			this.crash();
			return;
		}

		if (request.headers['expect-instance'] !== this.serverId) {
			response.writeHead(421, {'instance-id': this.serverId}).end();
		} else if (this.shouldRefuse()) {
			this.refuse(request, response, {host, nowMs});
		} else if (path === '/v1/stage-run') {
			await this.stageRun(body, response);
		} else if (path === '/v1/stage-free') {
			this.releasedResults.push(...freeSchema.parse(JSON.parse(body)).sessions);
			sendJson(response, 200, {});
		} else {
			await this.serve(request, response, body);
		}
	}

	/** The part that is turned away is spread evenly over the requests. */
	private shouldRefuse(): boolean {
		this.accumulatedShare += this.refusalPolicy?.share ?? 0;
		const isRefused = this.accumulatedShare >= 1;
		this.accumulatedShare -= isRefused ? 1 : 0;
		return isRefused;
	}

	private refuse(request: IncomingMessage, response: ServerResponse, {host, nowMs}: {readonly host: string; readonly nowMs: number}): void {
		const retryAfter = this.refusalPolicy?.retryAfter;
		const backoffS = Number(retryAfter);
		this.refusals.push({host, atMs: nowMs, untilMs: nowMs + (Number.isFinite(backoffS) ? backoffS * 1000 : 0)});
		response.writeHead(503, {
			'not-executed': '1', 'attempt-id': String(request.headers['attempt-id'] ?? ''), ...(retryAfter !== undefined && {'retry-after': retryAfter}),
		}).end();
	}

	private async serve(request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
		const id = String(request.headers['attempt-id'] ?? '');
		if (this.fault === 'full' || this.fault === 'inputsGone') {
			response.writeHead(this.fault === 'full' ? 503 : 409, {'not-executed': '1', 'attempt-id': id}).end();
			return;
		}

		this.seen.push({
			id, method: request.method ?? '', path: request.url ?? '', headers: request.headers, body,
		});
		response.on('close', () => {
			this.closedEarlyCount += response.writableFinished ? 0 : 1;
		});
		await sleep(this.stepMs);
		if (body === this.crashesOnBody) {
			this.crash();
			return;
		}

		const headers = {'attempt-id': this.fault === 'foreign' ? 'someone-else' : id, 'server-stamp': `stamp-${this.serverId}`};
		switch (this.fault) {
			case 'silent': {
				break;
			}

			case 'reset': {
				request.socket.resetAndDestroy();
				break;
			}

			case 'error': {
				response.writeHead(500, headers).end('failed');
				break;
			}

			case 'unframedReset':
			case 'unframedClose':
			case 'chunkedReset':
			case 'chunkedClose': {
				await sendPartialResponse(request, id, this.fault);
				break;
			}

			default: {
				await (request.headers.accept === 'text/event-stream' ? this.stream(request, response, headers) : response.writeHead(200, headers).end(`answer of ${this.serverId} to ${id}`));
			}
		}
	}

	private async stream(request: IncomingMessage, response: ServerResponse, headers: Record<string, string>): Promise<void> {
		response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
		const first = Number(request.headers['last-event-id'] ?? 0) + 1;
		for (let index = first; index <= eventCount; index++) {
			await sleep(this.stepMs);
			if (this.fault === 'cutStream' && index === 3) {
				response.write('id: 3\nda');
				await sleep(this.stepMs);
				request.socket.resetAndDestroy();
				return;
			}

			response.write(`id: ${index}\ndata: event ${index}\n\n`);
		}

		response.end();
	}

	private async stageRun(body: string, response: ServerResponse): Promise<void> {
		const {entries} = runSchema.parse(JSON.parse(body));
		if (this.fault === 'full') {
			response.writeHead(503, {'not-executed': '1'}).end();
			return;
		}

		this.stageCalls.push(entries);
		await this.stageGate;
		await sleep(this.stepMs);
		if (this.crashesOnPieceKey !== undefined && entries.some(({tlsKey}) => tlsKey === this.crashesOnPieceKey)) {
			this.crash();
			return;
		}

		const answer = entries.map(() => {
			if (this.fault === 'inputsGone') {
				return {reason: 'gone'};
			}

			this.resultCount++;
			return {session: `${this.address}/${this.serverId}-${this.resultCount}`};
		});
		sendJson(response, 200, {entries: answer});
	}
}
