/** Simulation of the request fuzzer: entries, upstreams with their agents and the connections between them, driven by commands. */
import {ManualClock} from '../src/base/common/clock.js';
import {SeededRandom} from '../src/base/common/random.js';
import {agentRules} from '../src/request/common/attempt-rules.js';
import type {RequestPlan, StagePlan} from '../src/request/common/request-plan.js';
import {policyDefaults, type EffectivePolicy} from '../src/settings/common/schema.js';
import {MemoryTable} from '../src/standins/common/memory-table.js';
import {RequestOracle, type CallerRecord} from './request-oracle.js';
import {SimulatedEntry} from './simulated-entry.js';
import {SimulatedLink} from './simulated-link.js';
import {
	generationSeed, tokensPerAnswer, SimulatedUpstream, type CallStep,
} from './simulated-upstream.js';

const stepMs = 10;
/** The connection to a suspended agent is closed after this time without a message. */
const maxSilenceMs = 4000;
/** Number of rounds, and the duration of each, in which all running work finishes at the end of a run. */
const settleRounds = 40;
const settleRoundMs = 200;
/** Longer than any retention time, so that all stored state expires. */
const finalSettleMs = 62_000;

export const entryCount = 2;
export const upstreamCount = 3;

/** Defects that a test injects on purpose, to show that the fuzzer detects them. */
export type InjectedDefect = 'repeatOnce' | 'ignoreLeaving' | 'stopCuts' | undefined;

/** The simulated fleet, driven by commands. Commands take any index and reduce it to the valid range. */
export class RequestSimulation {
	readonly clock = ManualClock.create(1000);
	readonly oracle = new RequestOracle();
	readonly table = MemoryTable.create();
	private readonly entries: readonly SimulatedEntry[];
	private readonly upstreams: readonly SimulatedUpstream[];
	private readonly links: readonly SimulatedLink[];
	private serial = 0;

	constructor(private readonly defect?: InjectedDefect) {
		const {clock, oracle, table} = this;
		const random = SeededRandom.create(7);
		const nextNumber = () => this.nextNumber();
		this.upstreams = Array.from({length: upstreamCount}, (_, index) => new SimulatedUpstream({
			upstreamId: `u${index}`,
			clock,
			oracle,
			newIncarnation: () => `a${nextNumber()}`,
			send: (connectionId, message) => {
				this.links.find(link => link.isUp && link.connectionId === connectionId)?.toEntry.push(message);
			},
		}));
		this.entries = Array.from({length: entryCount}, () => new SimulatedEntry({
			clock, oracle, table, random, nextNumber, linkTo: (entry, upstreamId) => this.linksOf(entry).find(link => link.upstream.upstreamId === upstreamId)!,
		}));
		this.links = this.entries.flatMap(entry => this.upstreams.map(upstream => new SimulatedLink(entry, upstream)));
		for (const link of this.links) {
			link.connect(this.nextNumber());
		}
	}

	/** A caller sends a request to an entry. */
	request(entryIndex: number, isRepeatable: boolean, deadlineMs: number, keyNumber: number): void {
		const requestId = `r${this.nextNumber()}`;
		const key = isRepeatable ? requestId : `k${keyNumber}`;
		const caller: CallerRecord = {
			plan: this.planOf(requestId, key, isRepeatable || this.defect === 'repeatOnce', deadlineMs),
			isRepeatable,
			key,
			results: [],
			delivered: '',
			deliveredUnits: 0,
			endedMs: 0,
			isEntryLost: false,
			isCallerGone: false,
		};
		this.oracle.callers.set(requestId, caller);
		this.entryAt(entryIndex).accept(caller);
	}

	/** The caller of one running request disconnects. */
	callerGone(index: number): void {
		const all = this.entries.flatMap(entry => [...entry.liveRequests.values()].map(live => ({entry, live})));
		const chosen = all.at(index % Math.max(1, all.length));
		chosen?.entry.callerGone(chosen.live);
	}

	/** Up to `count` messages are delivered in each direction of a connection. */
	deliver(linkIndex: number, count: number): void {
		const link = this.linkAt(linkIndex);
		for (let index = 0; index < count; index++) {
			link.deliver();
		}
	}

	/** All work makes some progress: messages are delivered, and each call produces a chunk. */
	progress(rounds: number): void {
		for (let round = 0; round <= rounds; round++) {
			for (const index of this.links.keys()) {
				this.deliver(index, 2);
			}

			for (const upstream of this.upstreams) {
				for (const dispatchId of upstream.callIds) {
					upstream.progress(dispatchId);
				}
			}
		}
	}

	/** A message in transit is duplicated, or swapped with the next one. */
	duplicateOrReorder(position: number, isDoubled: boolean, isToUpstream: boolean): void {
		const queues = this.links.map(link => isToUpstream ? link.toUpstream : link.toEntry).filter(queue => queue.length > 1);
		const queue = queues.at(position % Math.max(1, queues.length));
		if (!queue) {
			return;
		}

		const messageIndex = position % (queue.length - 1);
		if (isDoubled) {
			queue.splice(messageIndex, 0, queue[messageIndex]);
		} else {
			[queue[messageIndex], queue[messageIndex + 1]] = [queue[messageIndex + 1], queue[messageIndex]];
		}
	}

	/** An upstream takes one step in a call. */
	callStep(upstreamIndex: number, callIndex: number, step: CallStep): void {
		const upstream = this.upstreamAt(upstreamIndex);
		const {callIds} = upstream;
		const dispatchId = callIds.at(callIndex % Math.max(1, callIds.length));
		if (dispatchId !== undefined) {
			upstream.step(dispatchId, step);
		}
	}

	/** A connection is lost, and both sides are notified. */
	disconnect(linkIndex: number): void {
		this.linkAt(linkIndex).disconnect(true, this.nowMs);
	}

	/** A lost connection is established again, unless the agent is suspended. */
	reconnect(linkIndex: number): void {
		const link = this.linkAt(linkIndex);
		if (!link.isUp && !link.upstream.isPaused) {
			link.connect(this.nextNumber());
		}
	}

	/** An agent crashes and is replaced by a new one; the calls running on its upstream are canceled first. */
	crashAgent(upstreamIndex: number): void {
		const upstream = this.upstreamAt(upstreamIndex);
		const links = this.linksOf(upstream);
		for (const link of links) {
			link.disconnect(false, this.nowMs);
		}

		upstream.replaceAgent();
		for (const link of links) {
			link.connect(this.nextNumber());
		}
	}

	/** A planned stop: the agent announces that it is leaving and, if it has no work, is replaced by a new one. */
	stopAgent(upstreamIndex: number): void {
		const upstream = this.upstreamAt(upstreamIndex);
		this.leave(upstreamIndex);
		if (upstream.gate.isIdle || this.defect === 'stopCuts') {
			this.oracle.abortedByStop.push(...upstream.callIds);
			this.crashAgent(upstreamIndex);
		}
	}

	/** An agent announces to all connected entries that it is leaving. */
	leave(upstreamIndex: number): void {
		const upstream = this.upstreamAt(upstreamIndex);
		if (upstream.isPaused) {
			return;
		}

		upstream.announceLeaving();
		if (this.defect !== 'ignoreLeaving') {
			upstream.perform(upstream.gate.leave(this.nowMs));
		}

		for (const link of this.linksOf(upstream).filter(({isUp}) => isUp)) {
			link.toEntry.push({type: 'report', settingsRevision: 1, state: 'leaving'});
		}
	}

	/** The process of an entry crashes, and a new one starts. */
	crashEntry(entryIndex: number): void {
		const entry = this.entryAt(entryIndex);
		const links = this.linksOf(entry);
		entry.crash();
		for (const link of links) {
			link.disconnect(true, this.nowMs);
		}

		entry.start();
		for (const link of links.filter(({upstream}) => !upstream.isPaused)) {
			link.connect(this.nextNumber());
		}
	}

	/** The host of an agent is suspended. */
	pause(upstreamIndex: number): void {
		const upstream = this.upstreamAt(upstreamIndex);
		upstream.isPaused = true;
		upstream.pausedMs = this.nowMs;
	}

	/** The host of an agent resumes. */
	resume(upstreamIndex: number): void {
		const upstream = this.upstreamAt(upstreamIndex);
		if (!upstream.isPaused) {
			return;
		}

		upstream.isPaused = false;
		for (const link of this.linksOf(upstream)) {
			link.isStale = true;
			// The reply to the ping that the agent sends on resuming arrives after all messages that queued up meanwhile.
			link.toUpstream.push({
				type: 'pong', nonce: 1, settingsRevision: 1, state: 'serving',
			});
		}
	}

	/** Advances the clock in small steps, with a tick of all state machines after each. */
	advance(byMs: number): void {
		for (let passedMs = 0; passedMs < byMs; passedMs += stepMs) {
			this.clock.advance(stepMs);
			this.tick();
		}
	}

	/** Ends all faults and lets all running work finish. */
	async settle(): Promise<void> {
		this.table.isDown = false;
		this.table.crashAfterWrite = false;
		this.table.responsesToLose = 0;
		this.table.requestsToLose = 0;
		for (const index of this.upstreams.keys()) {
			this.resume(index);
		}

		for (const index of this.links.keys()) {
			this.reconnect(index);
		}

		for (let round = 0; round < settleRounds; round++) {
			for (const upstream of this.upstreams) {
				for (const dispatchId of upstream.callIds) {
					upstream.step(dispatchId, 'complete');
				}
			}

			for (const [index, link] of this.links.entries()) {
				this.deliver(index, link.toUpstream.length + link.toEntry.length);
			}

			this.advance(settleRoundMs);
			await settleMicrotasks();
		}

		this.advance(finalSettleMs);
		await settleMicrotasks();
	}

	/** Describes state that is left over although all work has finished. */
	leaks(): string[] {
		const found: string[] = [];
		for (const entry of this.entries) {
			for (const requestId of entry.liveRequests.keys()) {
				found.push(`${requestId} is still in the table of its entry`);
			}

			for (const {upstreamId} of this.upstreams) {
				const inFlight = entry.router.statsOf(upstreamId)?.inFlight ?? 0;
				if (inFlight !== 0) {
					found.push(`${upstreamId} still has ${inFlight} calls counted in flight`);
				}
			}
		}

		for (const {gate, upstreamId} of this.upstreams) {
			if (!gate.isIdle) {
				found.push(`the gate of ${upstreamId} is not empty: ${gate.openDispatchIds.join(', ')}`);
			}
		}

		return found;
	}

	private get nowMs(): number {
		return this.clock.nowMs();
	}

	private nextNumber(): number {
		this.serial++;
		return this.serial;
	}

	private entryAt(index: number): SimulatedEntry {
		return this.entries[index % entryCount];
	}

	private upstreamAt(index: number): SimulatedUpstream {
		return this.upstreams[index % upstreamCount];
	}

	private linkAt(index: number): SimulatedLink {
		return this.links[index % this.links.length];
	}

	private linksOf(side: SimulatedEntry | SimulatedUpstream): readonly SimulatedLink[] {
		return this.links.filter(({entry, upstream}) => entry === side || upstream === side);
	}

	private tick(): void {
		for (const upstream of this.upstreams) {
			if (!upstream.isPaused) {
				upstream.perform(upstream.gate.tick(this.nowMs));
			}
		}

		for (const link of this.links) {
			const {entry, upstream} = link;
			if (link.isUp && !upstream.isPaused) {
				entry.members.received(upstream.upstreamId, undefined, this.nowMs);
			} else if (link.isUp && this.nowMs - upstream.pausedMs > maxSilenceMs) {
				link.disconnect(true, this.nowMs);
			}
		}

		for (const entry of this.entries) {
			entry.tick();
		}
	}

	private planOf(requestId: string, key: string, isRepeatable: boolean, deadlineMs: number): RequestPlan {
		const policy: EffectivePolicy = {
			...policyDefaults, maxTokens: tokensPerAnswer, maxLateMs: 300, timeoutMs: 400, holdMs: 100, retryShare: 1, hedgeShare: 0.5, model: 'm',
		};
		const stage = (index: number, kind: StagePlan['kind']): StagePlan => ({
			name: `s${index}`, index, kind, pool: 'pool', slots: 2, key: `s${index}/${kind}`, budgetKey: `s${index}/${kind}`, policy,
		});
		// A request that must not be repeated is a single call of a service; the others are pipelines that end in a stream.
		const isOnce = key !== requestId;
		return {
			requestId,
			workspace: 'w',
			pipeline: isOnce ? 'reserve' : 'quote',
			stages: isOnce ? [stage(0, 'run')] : [stage(0, 'run'), stage(1, 'generate')],
			policy,
			isRepeatable,
			settingsRevision: 1,
			needsClaim: isOnce,
			needsPreparation: false,
			rules: agentRules,
			isStreaming: !isOnce,
			startMs: this.nowMs,
			deadlineMs: this.nowMs + deadlineMs,
			hardDeadlineMs: this.nowMs + deadlineMs + policy.maxLateMs,
			input: new TextEncoder().encode(`${requestId}:${key}`),
			prefixHash: 0,
			seed: generationSeed,
		};
	}
}

/** Runs all pending microtasks, so that settled promises take effect; timers are not advanced. */
export async function settleMicrotasks(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}
