/** Stand-in of the platform: table service, object store and host list over HTTP. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import type {Disposable} from '../../base/common/disposable.js';
import type {ListedHost} from '../../platform/common/host-list.js';
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

/** The platform on one loopback port. */
export class PlatformServer implements Disposable {
	static async create(): Promise<PlatformServer> {
		const platform = new PlatformServer();
		platform.server = await StandinServer.create(async (request, response) => platform.handle(request, response));
		return platform;
	}

	readonly table = MemoryTable.create();
	readonly objects = MemoryObjects.create();
	/** Hosts as the list names them; set by whoever starts them. */
	hosts: ListedHost[] = [];
	/** Added to every answer. */
	delayMs = 0;
	private server: StandinServer | undefined;

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
				sendJson(response, 200, {hosts: this.hosts});
				break;
			}

			default: {
				sendJson(response, 404, {message: `no such call: ${path}`});
			}
		}
	}
}
