/** HTTP clients of the platform's services. docs/SURROUNDINGS.md describes the protocol. */
import {request} from 'undici';
import {z} from 'zod';
import {messageOf} from '../../base/common/errors.js';
import type {Logger} from '../../base/common/logger.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import {
	listedHostSchema, type HostList, type HostListFailure, type ListedHost,
} from '../common/host-list.js';
import type {ObjectFailure, ObjectStore} from '../common/object-store.js';
import type {
	Row, ScanRange, TableFailure, TableService, Transaction,
} from '../common/table-service.js';

const rowsSchema = z.object({rows: z.array(z.object({key: z.string(), version: z.number(), value: z.string()}))});
const conflictSchema = z.object({keys: z.array(z.string())});
/** Hosts are parsed one by one, so that a malformed entry does not affect the others. */
const hostsSchema = z.object({hosts: z.array(z.unknown())});
const objectSchema = z.object({text: z.string().optional()});

/** Maximum length of a malformed entry in a log line. */
const maxLoggedEntryLength = 300;
const statusOk = 200;
const statusConflict = 409;

type PlatformResponse = {readonly status: number; readonly body: unknown};
type PlatformFailure = {readonly message: string};

/** Address, credentials and call timeout of the platform's services. */
export type PlatformOptions = {
	readonly origin: string;
	readonly token: string;
	readonly callTimeoutMs: number;
};

class PlatformHttpClient {
	constructor(private readonly options: PlatformOptions) {}

	async post(path: string, body: unknown): Promise<Outcome<PlatformResponse, PlatformFailure>> {
		try {
			const response = await request(`${this.options.origin}${path}`, {
				method: 'POST',
				headers: {'content-type': 'application/json', authorization: `Bearer ${this.options.token}`},
				body: JSON.stringify(body),
				signal: AbortSignal.timeout(this.options.callTimeoutMs),
			});
			return ok({status: response.statusCode, body: await response.body.json()});
		} catch (error) {
			return fail({message: messageOf(error)});
		}
	}

	/** Sends a POST request and validates the body of the response. */
	async postAndParse<T>(path: string, body: unknown, schema: z.ZodType<T>): Promise<Outcome<T, PlatformFailure>> {
		const response = await this.post(path, body);
		if (!response.ok) {
			return response;
		}

		const parsed = schema.safeParse(response.value.body);
		return response.value.status === statusOk && parsed.success
			? ok(parsed.data)
			: fail({message: `status ${response.value.status} from ${path}`});
	}
}

/** The table service over HTTP. */
export class HttpTableService implements TableService {
	static create(options: PlatformOptions): HttpTableService {
		return new HttpTableService(new PlatformHttpClient(options));
	}

	private constructor(private readonly http: PlatformHttpClient) {}

	async read(keys: readonly string[]): Promise<Outcome<Row[], TableFailure>> {
		return this.readRows('/v1/table/read', {keys});
	}

	async scan(range: ScanRange): Promise<Outcome<Row[], TableFailure>> {
		return this.readRows('/v1/table/scan', range);
	}

	async transact(transaction: Transaction): Promise<Outcome<undefined, TableFailure>> {
		const response = await this.http.post('/v1/table/transact', transaction);
		if (!response.ok) {
			return fail({code: 'unavailable', message: response.error.message, mayHaveTakenEffect: true});
		}

		const {status, body} = response.value;
		const conflict = conflictSchema.safeParse(body);
		if (status === statusConflict && conflict.success) {
			return fail({code: 'conflict', keys: conflict.data.keys});
		}

		// Any other response may come from an intermediary rather than from the service, so the outcome is unknown.
		return status === statusOk
			? ok(undefined)
			: fail({code: 'unavailable', message: `status ${status} from the table service`, mayHaveTakenEffect: true});
	}

	private async readRows(path: string, body: unknown): Promise<Outcome<Row[], TableFailure>> {
		const response = await this.http.postAndParse(path, body, rowsSchema);
		return response.ok
			? ok(response.value.rows)
			: fail({code: 'unavailable', message: response.error.message, mayHaveTakenEffect: false});
	}
}

/** The object store over HTTP. */
export class HttpObjectStore implements ObjectStore {
	static create(options: PlatformOptions): HttpObjectStore {
		return new HttpObjectStore(new PlatformHttpClient(options));
	}

	private constructor(private readonly http: PlatformHttpClient) {}

	async get(name: string): Promise<Outcome<string | undefined, ObjectFailure>> {
		const response = await this.http.postAndParse('/v1/objects/get', {name}, objectSchema);
		return response.ok ? ok(response.value.text) : fail({code: 'unavailable', message: response.error.message});
	}

	async put(name: string, text: string): Promise<Outcome<undefined, ObjectFailure>> {
		const response = await this.http.postAndParse('/v1/objects/put', {name, text}, objectSchema);
		return response.ok ? ok(undefined) : fail({code: 'unavailable', message: response.error.message});
	}
}

/** The host list over HTTP. */
export class HttpHostList implements HostList {
	/**
	Creates a client.
	@param options - address and credentials of the platform.
	@param log - receives a line for each malformed entry, once as long as it stays in the list.
	*/
	static create(options: PlatformOptions, log: Logger): HttpHostList {
		return new HttpHostList(new PlatformHttpClient(options), log);
	}

	private loggedEntries: ReadonlySet<string> = new Set();

	private constructor(private readonly http: PlatformHttpClient, private readonly log: Logger) {}

	async list(): Promise<Outcome<ListedHost[], HostListFailure>> {
		const response = await this.http.postAndParse('/v1/hosts/list', {}, hostsSchema);
		return response.ok ? ok(this.parseHosts(response.value.hosts)) : fail({code: 'unavailable', message: response.error.message});
	}

	private parseHosts(entries: readonly unknown[]): ListedHost[] {
		const malformed = new Set<string>();
		const hosts = entries.flatMap(entry => {
			const parsed = listedHostSchema.safeParse(entry);
			if (!parsed.success) {
				const text = JSON.stringify(entry).slice(0, maxLoggedEntryLength);
				malformed.add(text);
				if (!this.loggedEntries.has(text)) {
					const reason = parsed.error.issues.map(({path, message}) => `/${path.join('/')}: ${message}`).join('; ');
					this.log.error('An entry of the host list can\'t be used; the others are used.', {entry: text, reason});
				}
			}

			return parsed.success ? [parsed.data] : [];
		});
		this.loggedEntries = malformed;
		return hosts;
	}
}
