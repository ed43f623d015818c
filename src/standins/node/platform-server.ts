/** Simulated platform: table service, object store, host list and weight store over HTTP. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import type {Disposable} from '../../base/common/disposable.js';
import type {ListedHost} from '../../store/common/host-list.js';
import {MemoryObjects} from '../common/memory-objects.js';
import {MemoryTable} from '../common/memory-table.js';
import {readJson, sendJson, StandinServer} from './standin-server.js';

const keysSchema = z.object({keys: z.array(z.string())});
const scanSchema = z.object({prefix: z.string(), after: z.string().optional(), limit: z.number()});
const transactionSchema = z.object({
	conditions: z.array(z.object({key: z.string(), version: z.number()})),
	writes: z.array(z.object({key: z.string(), value: z.string().optional()})),
});
const objectSchema = z.object({name: z.string(), text: z.string().default('')});

/** Maximum number of concurrent fetches from the weight store. */
const weightSlots = 2;

/** A simulated platform on one loopback port. */
export class PlatformServer implements Disposable {
	static async create(): Promise<PlatformServer> {
		const platform = new PlatformServer();
		platform.server = await StandinServer.create(async (request, response) => platform.handle(request, response));
		return platform;
	}

	readonly table = MemoryTable.create();
	readonly objects = MemoryObjects.create();
	/** Age of the host list that callers receive. */
	hostListLagMs = 0;
	/** Duration of one fetch from the weight store; more than two concurrent fetches wait. */
	weightFetchMs = 0;
	weightFetches = 0;
	/** Delay added to every response. */
	delayMs = 0;
	private server: StandinServer | undefined;
	private readonly hostListHistory: Array<{readonly atMs: number; readonly hosts: ListedHost[]}> = [{atMs: 0, hosts: []}];
	private readonly weightQueue: Array<Promise<void>> = Array.from({length: weightSlots}, async () => undefined);

	/** The current hosts; callers receive the list of `hostListLagMs` ago. */
	get hosts(): ListedHost[] {
		return this.hostListHistory.at(-1)!.hosts;
	}

	set hosts(hosts: ListedHost[]) {
		this.hostListHistory.push({atMs: performance.now(), hosts});
	}

	get origin(): string {
		return this.server!.origin;
	}

	dispose(): void {
		this.server?.dispose();
	}

	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readJson(request);
		if (this.delayMs > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, this.delayMs);
			});
		}

		switch (request.url) {
			case '/v1/table/read': {
				const rows = await this.table.read(keysSchema.parse(body).keys);
				sendJson(response, rows.ok ? 200 : 503, rows.ok ? {rows: rows.value} : rows.error);
				break;
			}

			case '/v1/table/scan': {
				const rows = await this.table.scan(scanSchema.parse(body));
				sendJson(response, rows.ok ? 200 : 503, rows.ok ? {rows: rows.value} : rows.error);
				break;
			}

			case '/v1/table/transact': {
				const done = await this.table.transact(transactionSchema.parse(body));
				if (!done.ok && done.error.code === 'conflict') {
					sendJson(response, 409, done.error);
				} else {
					sendJson(response, done.ok ? 200 : 503, {});
				}

				break;
			}

			default: {
				await this.handleOther(request.url ?? '', body, response);
			}
		}
	}

	private hostsAfterLag(): ListedHost[] {
		const beforeMs = performance.now() - this.hostListLagMs;
		return this.hostListHistory.findLast(list => list.atMs <= beforeMs)?.hosts ?? [];
	}

	/** Simulates a fetch from the weight store, which serves `weightSlots` fetches concurrently; the others are queued. */
	private async fetchWeights(): Promise<void> {
		this.weightFetches++;
		const turn = this.weightQueue.shift();
		const fetch = (async () => {
			await turn;
			await new Promise(resolve => {
				setTimeout(resolve, this.weightFetchMs);
			});
		})();
		this.weightQueue.push(fetch);
		await fetch;
	}

	private async handleOther(path: string, body: unknown, response: ServerResponse): Promise<void> {
		switch (path) {
			case '/v1/objects/get': {
				const text = await this.objects.get(objectSchema.parse(body).name);
				sendJson(response, text.ok ? 200 : 503, text.ok ? {text: text.value} : text.error);
				break;
			}

			case '/v1/objects/put': {
				const {name, text} = objectSchema.parse(body);
				const done = await this.objects.put(name, text);
				sendJson(response, done.ok ? 200 : 503, {});
				break;
			}

			case '/v1/hosts/list': {
				sendJson(response, 200, {hosts: this.hostsAfterLag()});
				break;
			}

			case '/v1/weights/fetch': {
				await this.fetchWeights();
				sendJson(response, 200, {});
				break;
			}

			default: {
				sendJson(response, 404, {message: `no such call: ${path}`});
			}
		}
	}
}
