/** Driver for workers and plain services: one HTTP call each, whose response is forwarded as it arrives. */
import type {Dispatcher, Pool} from 'undici';
import {z} from 'zod';
import {UnavailableError} from '../../base/common/errors.js';
import {detach} from '../../base/common/unexpected-errors.js';
import type {CallEnd} from '../../request/common/gate-actions.js';
import {headersSchema, type DispatchMessage, type Header} from '../../wire/common/messages.js';
import type {
	CallSink, OrderResult, UpstreamDriver, UpstreamState,
} from '../common/upstream-driver.js';
import {callEndOfError} from './http-errors.js';
import {makeUpstreamPool, readJsonBody} from './upstream-client.js';

const callTimeoutMs = 2000;
const statusOk = 200;
const minRedirectStatus = 300;
/** Statuses of success whose body is not the result of the work: it has only been accepted, or a part is sent. */
const unfinishedStatuses = new Set([202, 206]);

/** Hop-by-hop headers: they concern one connection, not the request or response, and are not forwarded. */
const hopByHopHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'te', 'trailer', 'proxy-authenticate', 'proxy-authorization']);

const stateSchema = z.object({slots: z.number()});

/** Calls a worker or a plain service on the host of the agent. */
export class HttpDriver implements UpstreamDriver {
	static create(origin: string): HttpDriver {
		return new HttpDriver(makeUpstreamPool(origin));
	}

	private constructor(private readonly pool: Pool) {}

	async run(dispatch: DispatchMessage, sink: CallSink, signal: AbortSignal): Promise<CallEnd> {
		const {call} = dispatch;
		if (call.kind === 'generate') {
			return {state: 'notRun', reason: 'this upstream does not generate'};
		}

		try {
			const response = await this.pool.request({...requestOf(dispatch), signal});
			const {statusCode: status} = response;
			if (call.kind === 'run' && (status >= minRedirectStatus || unfinishedStatuses.has(status))) {
				await response.body.dump();
				return {state: 'failed', reason: `status ${status}`};
			}

			const headers = headersOf(response);
			if (call.kind === 'http' && !headersSchema.safeParse(headers).success) {
				await response.body.dump();
				throw new UnavailableError('the response has more or longer headers than are forwarded');
			}

			// The response of a plain service is forwarded whatever its status, because the call did run.
			sink.started(call.kind === 'http' ? {status, headers} : undefined);
			for await (const bytes of response.body) {
				if (bytes instanceof Uint8Array) {
					sink.chunk(1, bytes);
					await sink.ready();
				}
			}

			return {state: 'completed'};
		} catch (error) {
			return callEndOfError(error, dispatch.isRepeatable);
		}
	}

	async readState(): Promise<UpstreamState | undefined> {
		try {
			const response = await this.pool.request({method: 'GET', path: '/v1/state', signal: AbortSignal.timeout(callTimeoutMs)});
			const state = stateSchema.safeParse(await readJsonBody(response.body)).data;
			return response.statusCode === statusOk && state ? {slots: state.slots, models: []} : undefined;
		} catch {
			return undefined;
		}
	}

	async cancelOrphans(): Promise<void> {
		// These upstreams have no API for listing or canceling calls: a call ends with its connection, which was closed when the agent ended.
	}

	async order(): Promise<OrderResult> {
		return {isAccepted: false, reason: 'this upstream takes no orders'};
	}

	dispose(): void {
		detach('connections to the upstream', this.pool.destroy());
	}
}

function requestOf(dispatch: DispatchMessage): Dispatcher.RequestOptions {
	const {call, requestId} = dispatch;
	if (call.kind === 'http') {
		const headers = call.headers.filter(header => !hopByHopHeaders.has(header.name));
		return {

			method: call.method,
			path: call.path,
			headers: [...headers.flatMap(({name, value}) => [name, value]), 'x-request-id', requestId],
			body: call.body.byteLength > 0 ? call.body : null,
		};
	}

	return {
		method: 'POST',
		path: '/v1/run',
		headers: {'content-type': 'application/json', 'x-request-id': requestId},
		body: call.kind === 'run' ? call.input : null,
	};
}

function headersOf(response: Dispatcher.ResponseData): Header[] {
	return Object.entries(response.headers).flatMap(([name, value]) => {
		const values = Array.isArray(value) ? value : [value ?? ''];
		return hopByHopHeaders.has(name) ? [] : values.map(item => ({name, value: item}));
	});
}
