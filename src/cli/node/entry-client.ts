/** HTTP client of an entry's operators' interface. */
import process from 'node:process';
import {request} from 'undici';
import {z} from 'zod';
import {messageOf} from '../../base/common/errors.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import {exitCodeOfStatus, exitCodes, type ExitCode} from '../common/exit-codes.js';

/** Why a call failed. */
export type CallFailure = {readonly exitCode: ExitCode; readonly message: string; readonly body?: unknown};

/** Flags that all commands that call an entry accept. */
export type CommonFlags = {readonly entry?: string; readonly callers?: string; readonly json?: boolean};

const callTimeoutMs = 15_000;
const problemSchema = z.object({code: z.string(), detail: z.string(), more: z.unknown().optional()});

/** Calls one entry on behalf of one operator. */
export class EntryClient {
	/**
	Creates a client.
	@param flags - the command's flags; environment variables apply where a flag is not given.
	@returns the client.
	*/
	static create(flags: CommonFlags): EntryClient {
		const origin = flags.entry ?? process.env.PUMICEHATCH_ENTRY ?? 'http://127.0.0.1:7002';
		return new EntryClient(origin, process.env.PUMICEHATCH_TOKEN ?? '');
	}

	private constructor(private readonly origin: string, private readonly token: string) {}

	async get<T>(path: string, schema: z.ZodType<T>): Promise<Outcome<T, CallFailure>> {
		return this.call('GET', path, undefined, schema);
	}

	async post<T>(path: string, body: unknown, schema: z.ZodType<T>): Promise<Outcome<T, CallFailure>> {
		return this.call('POST', path, body, schema);
	}

	private async call<T>(method: 'GET' | 'POST', path: string, body: unknown, schema: z.ZodType<T>): Promise<Outcome<T, CallFailure>> {
		try {
			const response = await request(`${this.origin}${path}`, {
				method,
				headers: {authorization: `Bearer ${this.token}`, 'content-type': 'application/json'},
				body: body === undefined ? undefined : JSON.stringify(body),
				signal: AbortSignal.timeout(callTimeoutMs),
			});
			const responseBody: unknown = await response.body.json();
			const exitCode = exitCodeOfStatus(response.statusCode);
			if (exitCode === exitCodes.ok) {
				const parsed = schema.safeParse(responseBody);
				return parsed.success ? ok(parsed.data) : fail({exitCode: exitCodes.failed, message: `${this.origin}${path}: malformed response`});
			}

			const problem = problemSchema.safeParse(responseBody);
			const message = problem.success ? `${problem.data.detail} (${problem.data.code})` : `status ${response.statusCode}`;
			return fail({exitCode, message: `${this.origin}${path}: ${message}`, body: responseBody});
		} catch (error) {
			return fail({exitCode: exitCodes.unavailable, message: `${this.origin}: ${messageOf(error)}`});
		}
	}
}
