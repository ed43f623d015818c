/** Simulated model engine over HTTP; docs/SURROUNDINGS.md describes the protocol. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {request as httpRequest} from 'undici';
import {z} from 'zod';
import type {Disposable} from '../../base/common/disposable.js';
import type {LoadedModel} from '../../wire/common/messages.js';
import {
	defaultSpeed, EngineState, tokenAt, type EngineSpeed, type Sequence,
} from '../common/engine-state.js';
import {readJson, sendJson, StandinServer} from './standin-server.js';

const generationSchema = z.object({
	id: z.string(), model: z.string(), prompt: z.string(), maxTokens: z.number(), seed: z.number(), offset: z.number(), priority: z.number().default(0),
});
const orderSchema = z.object({
	epoch: z.number(), sequence: z.number(), kind: z.enum(['load', 'unload']), model: z.string(), adapter: z.string().optional(), version: z.string(),
});
type Order = z.infer<typeof orderSchema>;

/** Faults that tests can enable. */
export type EngineFaults = {
	/** Factor by which steps are slower. */
	slowFactor: number;
	/** Whether every generation fails immediately. */
	isFailing: boolean;
	/** Whether the engine generates nothing for now; its streams stay open. */
	isPaused: boolean;
	/** Number of tokens after which streams are closed without an end marker. */
	cutAfterTokens: number;
	/** Age of the reported load. */
	reportLagMs: number;
};

/** Options of a simulated engine. */
export type EngineOptions = {
	readonly speed?: EngineSpeed;
	readonly models: readonly LoadedModel[];
	/** Whether orders are refused unless their fencing token is higher than that of the last accepted order; true by default. */
	readonly isFenceChecked?: boolean;
	/** Origin of the weight store; without one, models load immediately. */
	readonly weightOrigin?: string;
};

/** A simulated engine on one loopback port. */
export class EngineServer implements Disposable {
	static async create(options: EngineOptions): Promise<EngineServer> {
		const engine = new EngineServer(options);
		engine.server = await StandinServer.create(async (request, response) => engine.handle(request, response));
		return engine;
	}

	readonly faults: EngineFaults = {
		slowFactor: 1, isFailing: false, isPaused: false, cutAfterTokens: Infinity, reportLagMs: 0,
	};

	readonly state: EngineState;
	/** Orders that took effect, in order. */
	readonly orders: Order[] = [];
	/** Ids of all generations that started. */
	readonly startedIds: string[] = [];
	tokenCount = 0;
	private readonly streams = new Map<string, ServerResponse>();
	private server: StandinServer | undefined;
	private timer: NodeJS.Timeout | undefined;
	private nextStepAtMs = 0;

	private constructor(private readonly options: EngineOptions) {
		this.state = EngineState.create(options.speed ?? defaultSpeed, options.models);
	}

	get origin(): string {
		return this.server!.origin;
	}

	dispose(): void {
		clearTimeout(this.timer);
		this.server?.dispose();
	}

	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {method, url = ''} = request;
		if (method === 'POST' && url === '/v1/generations') {
			this.generate(generationSchema.parse(await readJson(request)), response);
		} else if (method === 'GET' && url === '/v1/generations') {
			sendJson(response, 200, {ids: this.state.ids});
		} else if (method === 'DELETE' && url.startsWith('/v1/generations/')) {
			this.end(decodeURIComponent(url.slice('/v1/generations/'.length)), true);
			sendJson(response, 200, {});
		} else if (method === 'GET' && url === '/v1/state') {
			this.sendState(response);
		} else if (method === 'POST' && url === '/v1/orders') {
			await this.order(orderSchema.parse(await readJson(request)), response);
		} else {
			sendJson(response, 404, {message: 'no such call'});
		}
	}

	private generate(generation: z.infer<typeof generationSchema>, response: ServerResponse): void {
		if (!this.state.models.some(loaded => loaded.model === generation.model)) {
			sendJson(response, 409, {message: `model ${generation.model} is not loaded`, isNotRun: true});
			return;
		}

		this.startedIds.push(generation.id);
		if (this.faults.isFailing) {
			sendJson(response, 500, {message: 'engine fault'});
			return;
		}

		response.writeHead(200, {'content-type': 'application/x-ndjson'});
		response.flushHeaders();
		this.streams.set(generation.id, response);
		response.on('close', () => {
			this.end(generation.id, true);
		});
		this.state.add(generation);
		this.runSteps();
	}

	private runSteps(): void {
		if (this.timer !== undefined || this.state.batch.size === 0) {
			return;
		}

		const now = performance.now();
		const stepMs = this.state.stepMs * this.faults.slowFactor;
		// The next step is scheduled from the previous one, so that steps keep their mean rate although timers are coarse.
		this.nextStepAtMs = Math.max(this.nextStepAtMs, now - stepMs) + stepMs;
		this.timer = setTimeout(() => {
			this.timer = undefined;
			for (const sequence of this.faults.isPaused ? [] : this.state.step()) {
				this.emit(sequence);
			}

			this.runSteps();
		}, Math.max(0, this.nextStepAtMs - now));
	}

	private emit(sequence: Sequence): void {
		const {generation, next} = sequence;
		const stream = this.streams.get(generation.id);
		this.tokenCount++;
		if (next - generation.offset > this.faults.cutAfterTokens) {
			this.end(generation.id, true);
			return;
		}

		stream?.write(`${JSON.stringify({index: next - 1, text: tokenAt(generation, next - 1)})}\n`);
		if (next >= generation.maxTokens) {
			stream?.write(`${JSON.stringify({isEnd: true, count: next})}\n`);
			this.end(generation.id, false);
		}
	}

	private end(id: string, isCut: boolean): void {
		const stream = this.streams.get(id);
		this.streams.delete(id);
		this.state.remove(id);
		if (isCut) {
			stream?.destroy();
		} else {
			stream?.end();
		}
	}

	private sendState(response: ServerResponse): void {
		const {state} = this;
		const body = {
			slots: state.speed.slots, running: state.batch.size, queued: state.queued, models: state.models, epoch: state.epoch, sequence: state.sequence,
		};
		setTimeout(() => {
			sendJson(response, 200, body);
		}, this.faults.reportLagMs);
	}

	private async order(order: Order, response: ServerResponse): Promise<void> {
		const {state} = this;
		const isStale = order.epoch < state.epoch || (order.epoch === state.epoch && order.sequence <= state.sequence);
		if (this.options.isFenceChecked !== false && isStale) {
			sendJson(response, 409, {message: `fence ${order.epoch}/${order.sequence} is below ${state.epoch}/${state.sequence}`});
			return;
		}

		state.epoch = order.epoch;
		state.sequence = order.sequence;
		const {weightOrigin} = this.options;
		if (order.kind === 'load' && weightOrigin !== undefined) {
			const fetched = await httpRequest(`${weightOrigin}/v1/weights/fetch`, {method: 'POST', body: JSON.stringify({model: order.model, version: order.version})});
			await fetched.body.dump();
		}

		this.orders.push(order);
		applyOrder(state.models, order);
		sendJson(response, 200, {models: state.models});
	}
}

function applyOrder(models: LoadedModel[], order: Order): void {
	const at = models.findIndex(loaded => loaded.model === order.model);
	const adapters = new Set(at === -1 ? [] : models[at].adapters);
	if (order.adapter !== undefined) {
		if (order.kind === 'load') {
			adapters.add(order.adapter);
		} else {
			adapters.delete(order.adapter);
		}
	}

	if (at !== -1) {
		models.splice(at, 1);
	}

	if (order.kind === 'load' || order.adapter !== undefined) {
		models.push({model: order.model, version: order.version, adapters: [...adapters]});
	}
}
