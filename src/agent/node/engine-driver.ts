/** Driver for model engines: starts, streams, cancels and resumes generations, and forwards orders. */
import type {Pool} from 'undici';
import {z} from 'zod';
import {messageOf} from '../../base/common/errors.js';
import {detach} from '../../base/common/unexpected-errors.js';
import type {CallEnd} from '../../request/common/gate-actions.js';
import type {DispatchMessage, OrderMessage} from '../../wire/common/messages.js';
import type {
	CallSink, OrderResult, UpstreamDriver, UpstreamState,
} from '../common/upstream-driver.js';
import {callEndOfError} from './http-errors.js';
import {makeUpstreamPool, readJsonBody} from './upstream-client.js';

const callTimeoutMs = 2000;
const statusOk = 200;
const inTimePriority = 2;
const statusConflict = 409;
/** Maximum number of bytes without a token; lines have one token each. */
const maxTokenlessBytes = 1024 * 1024;

const lineSchema = z.union([
	z.object({index: z.number(), text: z.string()}),
	z.object({isEnd: z.literal(true), count: z.number()}),
]);
const refusalSchema = z.object({message: z.string().default(''), isNotRun: z.boolean().default(false)});
const idsSchema = z.object({ids: z.array(z.string())});
const stateSchema = z.object({
	slots: z.number(), models: z.array(z.object({model: z.string(), version: z.string(), adapters: z.array(z.string())})),
});

/** Parses one stream of numbered tokens, and checks that none is missing or repeated. */
class TokenReader {
	count: number;
	isEnded = false;
	private partialLine = '';
	private tokenlessBytes = 0;
	private readonly decoder = new TextDecoder();
	private readonly encoder = new TextEncoder();

	constructor(offset: number) {
		this.count = offset;
	}

	/** Forwards the tokens of complete lines to the sink. Returns a description of the first problem in the stream, if any. */
	read(bytes: Uint8Array, sink: CallSink): string | undefined {
		const lines = `${this.partialLine}${this.decoder.decode(bytes, {stream: true})}`.split('\n');
		this.partialLine = lines.pop() ?? '';
		this.tokenlessBytes += bytes.byteLength;
		let text = '';
		let units = 0;
		let problem: string | undefined;
		for (const line of lines.filter(item => item !== '')) {
			const parsed = parseLine(line);
			if (!parsed || this.isEnded) {
				problem = 'a line that can\'t be read';
				break;
			}

			if ('isEnd' in parsed) {
				this.isEnded = true;
				problem = parsed.count === this.count + units ? undefined : `end mark at ${parsed.count}, ${this.count + units} tokens came`;
			} else if (parsed.index === this.count + units) {
				text += parsed.text;
				units++;
			} else {
				problem = `token ${parsed.index} where ${this.count + units} was due`;
				break;
			}
		}

		if (units > 0) {
			this.count += units;
			this.tokenlessBytes = 0;
			sink.chunk(units, this.encoder.encode(text));
		}

		return problem ?? (this.tokenlessBytes > maxTokenlessBytes ? 'too many bytes without a token' : undefined);
	}
}

function parseLine(line: string): z.infer<typeof lineSchema> | undefined {
	try {
		return lineSchema.safeParse(JSON.parse(line)).data;
	} catch {
		return undefined;
	}
}

/** Calls a model engine on the host of the agent. */
export class EngineDriver implements UpstreamDriver {
	static create(origin: string): EngineDriver {
		return new EngineDriver(makeUpstreamPool(origin, false));
	}

	private constructor(private readonly pool: Pool) {}

	async run(dispatch: DispatchMessage, sink: CallSink, signal: AbortSignal): Promise<CallEnd> {
		const {call} = dispatch;
		if (call.kind !== 'generate') {
			return {state: 'notRun', reason: 'an engine only generates'};
		}

		try {
			const response = await this.pool.request({
				method: 'POST',
				path: '/v1/generations',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({
					id: dispatch.dispatchId,
					model: call.model,
					adapter: call.adapter,
					version: call.version,
					prompt: new TextDecoder().decode(call.prompt),
					maxTokens: call.maxTokens,
					seed: call.seed,
					offset: call.resumeOffset,
					// Calls that can still meet their deadline go first; among equals, calls on which another engine has already spent time.
					priority: (dispatch.dueInMs > 0 ? inTimePriority : 0) + (call.resumeOffset > 0 ? 1 : 0),
				}),
				signal,
			});
			if (response.statusCode !== statusOk) {
				const refusal = refusalSchema.safeParse(await readJsonBody(response.body)).data;
				return {state: refusal?.isNotRun ? 'notRun' : 'failed', reason: refusal?.message ?? `status ${response.statusCode}`};
			}

			sink.started();
			return await readTokens(response.body, call.resumeOffset, sink);
		} catch (error) {
			return callEndOfError(error, dispatch.isRepeatable);
		}
	}

	async readState(): Promise<UpstreamState | undefined> {
		try {
			const response = await this.pool.request({method: 'GET', path: '/v1/state', signal: AbortSignal.timeout(callTimeoutMs)});
			return stateSchema.safeParse(await readJsonBody(response.body)).data;
		} catch {
			return undefined;
		}
	}

	async cancelOrphans(): Promise<void> {
		const response = await this.pool.request({method: 'GET', path: '/v1/generations', signal: AbortSignal.timeout(callTimeoutMs)});
		const {ids} = idsSchema.parse(await readJsonBody(response.body));
		await Promise.all(ids.map(async id => {
			const path = `/v1/generations/${encodeURIComponent(id)}`;
			const cancelled = await this.pool.request({method: 'DELETE', path, signal: AbortSignal.timeout(callTimeoutMs)});
			await cancelled.body.dump();
		}));
	}

	async order(order: OrderMessage): Promise<OrderResult> {
		const {epoch, sequence, kind, model, adapter, version} = order;
		try {
			const response = await this.pool.request({
				method: 'POST',
				path: '/v1/orders',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({
					epoch, sequence, kind, model, adapter, version,
				}),
				signal: AbortSignal.timeout(Math.max(1, order.timeLeftMs)),
			});
			const refusal = refusalSchema.safeParse(await readJsonBody(response.body)).data;
			if (response.statusCode === statusOk) {
				return {isAccepted: true};
			}

			const outcome = response.statusCode === statusConflict ? 'refused' : `status ${response.statusCode}`;
			return {isAccepted: false, reason: `${outcome}: ${refusal?.message ?? ''}`};
		} catch (error) {
			return {isAccepted: false, reason: messageOf(error)};
		}
	}

	dispose(): void {
		detach('connections to the upstream', this.pool.destroy());
	}
}

async function readTokens(body: AsyncIterable<Uint8Array>, offset: number, sink: CallSink): Promise<CallEnd> {
	const reader = new TokenReader(offset);
	for await (const bytes of body) {
		const problem = reader.read(bytes, sink);
		if (problem !== undefined) {
			return {state: 'failed', reason: problem};
		}

		await sink.ready();
	}

	return reader.isEnded ? {state: 'completed'} : {state: 'failed', reason: 'the stream was cut'};
}
