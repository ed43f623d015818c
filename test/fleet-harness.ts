/** Harness for integration tests: a small fleet of real daemons on real loopback sockets. */
import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {z} from 'zod';
import {LocalFleet, type FleetSpec} from '../examples/local-fleet.js';
import {planEdits, readDeclaration, toChangeRequest} from '../src/settings/common/plan.js';

const declarationFile = fileURLToPath(new URL('../../examples/kaolack.jsonc', import.meta.url));

/** Two entries, and two upstreams in each pool that a quote and a reservation need. */
export const smallFleet: FleetSpec = {
	entries: 2,
	models: [{model: 'sawmill-7b', version: 'v3', adapters: ['quotes', 'tallies']}],
	engineSpeed: {
		slots: 4, stepMs: 4, slowdownPerSequence: 0.05, prefillSteps: 3,
	},
	logLevel: 'error',
	stopGraceMs: 50,
	pools: [
		{pool: 'models', kind: 'engine', count: 2},
		...['encoders', 'retrievers', 'rerankers'].map(pool => ({
			pool, kind: 'worker' as const, count: 2, serviceMs: 5, slots: 8,
		})),
		{
			pool: 'stock', kind: 'service', count: 2, serviceMs: 30, slots: 4, isReporting: false,
		},
	],
};

/** A response as its caller receives it; `body` is empty if the text is not a JSON object. */
export type CallResponse = {readonly status: number; readonly headers: Record<string, unknown>; readonly text: string; readonly body: Record<string, unknown>};

export type CallOptions = {readonly headers?: Record<string, string>; readonly body?: string; readonly method?: 'GET' | 'POST'; readonly token?: string};

const objectSchema = z.record(z.string(), z.unknown());

/**
Sends a request to an entry.
@param origin - origin of the entry.
@param path - path below the workspace `buyers`, or from the root if it starts with a slash.
@param options - headers, body, method and token.
@returns the response.
*/
export async function call(origin: string, path: string, options: CallOptions = {}): Promise<CallResponse> {
	const httpResponse = await request(`${origin}${path.startsWith('/') ? path : `/v1/workspaces/buyers/${path}`}`, {
		method: options.method ?? 'POST',
		headers: {authorization: `Bearer ${options.token ?? 'demo-buyers'}`, 'content-type': 'application/json', ...options.headers},
		body: options.body,
	});
	const text = await httpResponse.body.text();
	let body: Record<string, unknown> = {};
	try {
		body = objectSchema.parse(JSON.parse(text));
	} catch {
		// Not JSON: an event stream or plain text.
	}

	return {
		status: httpResponse.statusCode, headers: httpResponse.headers, text, body,
	};
}

/**
Waits until a condition holds. There is no time-out of its own: if it never holds, the time-out of the test fails the test.
@param condition - the condition, checked every 10 ms.
*/
export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
	while (!await condition()) {
		await sleep(10);
	}
}

/**
Applies the declaration of `examples/kaolack.jsonc` through an entry.
@param fleet - the fleet.
@param entry - index of the entry.
@throws Error if the declaration is invalid or the change is refused.
*/
export async function applyDeclaration(fleet: LocalFleet, entry = 0): Promise<void> {
	const nodes = readDeclaration(readFileSync(declarationFile), declarationFile);
	if (!nodes.ok) {
		throw new Error(JSON.stringify(nodes.error));
	}

	// These tests cause more failures than the retry share of the example covers.
	nodes.value.set('/', {...nodes.value.get('/'), retryShare: 1});
	const change = toChangeRequest(planEdits(nodes.value, new Map()), 'initial', 'test');
	const answer = await call(fleet.operatorsOrigin(entry), '/v1/settings/changes', {body: JSON.stringify(change), token: 'demo-operator'});
	if (answer.status !== 200) {
		throw new Error(answer.text);
	}
}

const statusSchema = z.looseObject({
	settingsRevision: z.number(),
	requestsInFlight: z.number(),
	hosts: z.array(z.looseObject({hostId: z.string(), revision: z.number()})),
	upstreams: z.array(z.looseObject({upstreamId: z.string(), state: z.string(), inFlight: z.number()})),
});

/**
Reads the status of an entry.
@param fleet - the fleet.
@param entry - index of the entry.
@returns the status.
*/
export async function readStatus(fleet: LocalFleet, entry: number) {
	const answer = await call(fleet.operatorsOrigin(entry), '/v1/status', {method: 'GET', token: 'demo-operator'});
	return statusSchema.parse(answer.body);
}

/**
Starts a fleet, and waits until its settings are in effect on every host.
@param spec - hosts and upstreams to start.
@returns the fleet.
*/
export async function startFleet(spec: FleetSpec = smallFleet): Promise<LocalFleet> {
	const fleet = await LocalFleet.create(spec);
	await applyDeclaration(fleet);
	for (let entry = 0; entry < spec.entries; entry++) {
		await waitUntil(async () => {
			const status = await readStatus(fleet, entry);
			return status.settingsRevision >= 1 && status.upstreams.length === fleet.upstreams.length && status.hosts.every(host => host.revision >= 1);
		});
	}

	return fleet;
}

/**
Parses the events of a streamed response.
@param text - body of the response.
@returns the joined text of its chunks, and the name of its last event.
*/
export function readEvents(text: string): {readonly answer: string; readonly last: string} {
	const events = text.split('\n\n').filter(event => event !== '');
	const chunks = events.filter(event => event.startsWith('event: chunk')).map(event => {
		const data = event.slice(event.indexOf('data: ') + 'data: '.length);
		return z.object({text: z.string()}).parse(JSON.parse(data)).text;
	});
	const [, last = ''] = /^event: (?<name>\w+)/v.exec(events.at(-1) ?? '') ?? [];
	return {answer: chunks.join(''), last};
}
