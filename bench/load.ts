/** Open-loop load generator: requests are sent when they are due, regardless of how slow the responses are. */
import {setTimeout as sleep} from 'node:timers/promises';
import {build, type Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {SeededRandom, type Random} from '../src/base/common/random.js';

/** One kind of request in the mix. */
export type LoadKind = {
	readonly name: string;
	/** Weight of this kind in the mix of requests. */
	readonly share: number;
	readonly path: string;
	readonly method: 'GET' | 'POST';
	readonly isRepeatForbidden: boolean;
	readonly body: (number: number, random: Random) => string | undefined;
};

/** Parameters of a load. */
export type LoadPlan = {
	readonly origins: readonly string[];
	/** Workspaces with their weight in the mix of requests. */
	readonly workspaces: ReadonlyArray<{readonly name: string; readonly share: number}>;
	readonly kinds: readonly LoadKind[];
	readonly deadlineMs: number;
	/** Returns the rate in requests per second at a time in milliseconds since the start. */
	readonly rateAt: (atMs: number) => number;
	readonly durationMs: number;
	readonly seed: number;
};

/** Outcomes of the requests of one workspace or one kind, as seen by the callers. */
export type OutcomeCounts = {requests: number; attained: number; refused: number; late: number; other: number};

/** Results of a load. */
export type LoadResult = {
	readonly workspaces: ReadonlyMap<string, OutcomeCounts>;
	readonly latency: Histogram;
	/** Outcomes by kind of request. */
	readonly byKind: ReadonlyMap<string, OutcomeCounts>;
};

function pickByShare<T extends {readonly share: number}>(items: readonly T[], random: Random): T {
	let remaining = random.next() * items.reduce((sum, item) => sum + item.share, 0);
	for (const item of items) {
		remaining -= item.share;
		if (remaining <= 0) {
			return item;
		}
	}

	return items[0];
}

function emptyCounts(): OutcomeCounts {
	return {
		requests: 0, attained: 0, refused: 0, late: 0, other: 0,
	};
}

/** Sends a load, and waits for all responses. */
export class LoadRun {
	readonly latency = build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000, numberOfSignificantValueDigits: 2});
	readonly workspaces = new Map<string, OutcomeCounts>();
	readonly byKind = new Map<string, OutcomeCounts>();
	private readonly agent = new Agent({connections: 256, pipelining: 1});

	constructor(private readonly plan: LoadPlan) {
		for (const {name} of plan.workspaces) {
			this.workspaces.set(name, emptyCounts());
		}

		for (const {name} of plan.kinds) {
			this.byKind.set(name, emptyCounts());
		}
	}

	async run(): Promise<LoadResult> {
		const random = SeededRandom.create(this.plan.seed);
		const startMs = performance.now();
		const pending: Array<Promise<void>> = [];
		let dueMs = 0;
		let number = 0;
		while (dueMs < this.plan.durationMs) {
			const waitMs = startMs + dueMs - performance.now();
			if (waitMs > 1) {
				await sleep(waitMs);
			}

			pending.push(this.send(number, random));
			number++;
			dueMs += -Math.log(1 - random.next()) * 1000 / this.plan.rateAt(dueMs);
		}

		await Promise.all(pending);
		await this.agent.destroy();
		return {workspaces: this.workspaces, latency: this.latency, byKind: this.byKind};
	}

	private async send(number: number, random: Random): Promise<void> {
		const {origins, workspaces, kinds, deadlineMs} = this.plan;
		const workspace = pickByShare(workspaces, random);
		const kind = pickByShare(kinds, random);
		const counts = [this.workspaces.get(workspace.name)!, this.byKind.get(kind.name)!];
		const body = kind.body(number, random);
		const sentMs = performance.now();
		for (const load of counts) {
			load.requests++;
		}

		const outcome = await this.exchange(`${origins[number % origins.length]}/v1/workspaces/${workspace.name}/${kind.path}`, {
			method: kind.method,
			body,
			headers: {
				authorization: `Bearer demo-${workspace.name}`,
				'content-type': 'application/json',
				'deadline-ms': String(deadlineMs),
				...(kind.isRepeatForbidden && {'idempotency-key': `bench-${this.plan.seed}-${number}`, 'not-repeatable': 'true'}),
			},
		});
		const latencyMs = performance.now() - sentMs;
		if (outcome === 'completed') {
			this.latency.recordValue(Math.max(1, Math.round(latencyMs)));
		}

		for (const load of counts) {
			countOutcome(load, outcome, latencyMs <= deadlineMs);
		}
	}

	private async exchange(url: string, options: {method: 'GET' | 'POST'; body: string | undefined; headers: Record<string, string>}): Promise<string> {
		try {
			const response = await request(url, {...options, dispatcher: this.agent});
			const text = await response.body.text();
			if (response.statusCode === 200) {
				return 'completed';
			}

			return text.includes('"notRun":true') ? 'refused' : 'failed';
		} catch {
			return 'failed';
		}
	}
}

function countOutcome(load: OutcomeCounts, outcome: string, isInTime: boolean): void {
	if (outcome === 'completed') {
		load[isInTime ? 'attained' : 'late']++;
	} else {
		load[outcome === 'refused' ? 'refused' : 'other']++;
	}
}
