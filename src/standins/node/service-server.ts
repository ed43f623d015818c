/** Simulated workers (encoders, retrievers, rerankers) and plain services. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Disposable} from '../../base/common/disposable.js';
import {readBody, sendJson, StandinServer} from './standin-server.js';

/** Options of a simulated service. */
export type ServiceOptions = {
	/** Duration of one call. */
	readonly serviceMs: number;
	/** Maximum number of concurrent calls; others wait. */
	readonly slots: number;
	/** Whether `GET /v1/state` reports the load. */
	readonly isReporting: boolean;
	/** Returns the response body for the path and the body of a request. */
	readonly respond: (path: string, body: string) => unknown;
};

/** Faults that tests can enable. */
export type ServiceFaults = {slowFactor: number; isFailing: boolean; isDroppingResponses: boolean};

/** A simulated service on one loopback port that records the calls that ran. */
export class ServiceServer implements Disposable {
	static async create(options: ServiceOptions): Promise<ServiceServer> {
		const service = new ServiceServer(options);
		service.server = await StandinServer.create(async (request, response) => service.handle(request, response));
		return service;
	}

	readonly faults: ServiceFaults = {slowFactor: 1, isFailing: false, isDroppingResponses: false};
	/** Bodies of all calls that ran, in order. */
	readonly ran: string[] = [];
	private running = 0;
	private readonly waiting: Array<() => void> = [];
	private server: StandinServer | undefined;

	private constructor(private readonly options: ServiceOptions) {}

	get origin(): string {
		return this.server!.origin;
	}

	dispose(): void {
		this.server?.dispose();
	}

	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url === '/v1/state') {
			const {slots} = this.options;
			const status = this.options.isReporting ? 200 : 404;
			sendJson(response, status, {slots, running: this.running, queued: this.waiting.length});
			return;
		}

		const body = new TextDecoder().decode(await readBody(request));
		await this.takeSlot();
		this.ran.push(body);
		await new Promise(resolve => {
			setTimeout(resolve, this.options.serviceMs * this.faults.slowFactor);
		});
		this.freeSlot();
		if (this.faults.isDroppingResponses) {
			response.destroy();
		} else if (this.faults.isFailing) {
			sendJson(response, 500, {message: 'service fault'});
		} else {
			sendJson(response, 200, this.options.respond(request.url ?? '/', body));
		}
	}

	private async takeSlot(): Promise<void> {
		if (this.running < this.options.slots) {
			this.running++;
			return;
		}

		await new Promise<void>(resolve => {
			this.waiting.push(resolve);
		});
	}

	private freeSlot(): void {
		const next = this.waiting.shift();
		if (next) {
			// The slot passes directly to the next call and is never free in between.
			next();
		} else {
			this.running--;
		}
	}
}
