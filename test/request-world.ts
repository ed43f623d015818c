/** The small world of the request fuzzer: real machines around fakes of wire, upstreams and store. */
import {ManualClock} from '../src/base/common/clock.js';
import {SeededRandom} from '../src/base/common/random.js';
import {FleetRouter} from '../src/entry/common/fleet-router.js';
import {MemberTable} from '../src/membership/common/member-table.js';
import {agentRules} from '../src/request/common/attempt-rules.js';
import {claimKey} from '../src/request/common/claim.js';
import {ClaimStore, type GrantedClaim} from '../src/request/common/claim-store.js';
import type {CallEnd, GateAction} from '../src/request/common/gate-actions.js';
import {GateMachine} from '../src/request/common/gate-machine.js';
import type {RequestAction, RequestEvent} from '../src/request/common/request-events.js';
import {RequestMachine} from '../src/request/common/request-machine.js';
import type {RequestPlan, StagePlan} from '../src/request/common/request-plan.js';
import {PrefixIndex} from '../src/routing/common/prefix-index.js';
import {ScoreChooser} from '../src/routing/common/score-chooser.js';
import {policyDefaults, type EffectivePolicy} from '../src/settings/common/schema.js';
import {MemoryTable} from '../src/standins/common/memory-table.js';
import {tokenAt} from '../src/standins/common/engine-state.js';
import type {DispatchMessage, Message} from '../src/wire/common/messages.js';
import {RequestOracle, stageOutput, type CallerRecord} from './request-oracle.js';

const tokens = 4;
const stepMs = 10;
const silenceMs = 4000;

export const entryCount = 2;
export const agentCount = 3;

type Live = {readonly machine: RequestMachine; readonly caller: CallerRecord; granted: GrantedClaim | undefined; blockedUntilMs: number};
type Entry = {
	incarnation: string;
	readonly members: MemberTable;
	router: FleetRouter;
	claims: ClaimStore;
	readonly live: Map<string, Live>;
};
type Call = {readonly dispatch: DispatchMessage; produced: number; isStarted: boolean};
type Agent = {
	readonly upstreamId: string;
	incarnation: string;
	gate: GateMachine;
	readonly calls: Map<string, Call>;
	isPaused: boolean;
	pausedMs: number;
	hasSaidLeaving: boolean;
};
type Link = {isUp: boolean; id: number; toAgent: Message[]; toEntry: Message[]; isStale: boolean; readonly entry: Entry; readonly agent: Agent; lastIncarnation: string};

/** What an upstream may do with a call. */
export const callSteps = ['piece', 'piece', 'piece', 'complete', 'complete', 'fail', 'notRun', 'unknown'] as const;
export type CallStep = typeof callSteps[number];

/** Ways to break the world, to show that the fuzzer notices. */
export type Sabotage = 'repeatOnce' | 'ignoreLeaving' | 'stopCuts' | undefined;

/** Everything, in one place, moved by commands. */
export class RequestWorld {
	readonly clock = ManualClock.create(1000);
	readonly oracle = new RequestOracle();
	readonly table = MemoryTable.create();
	readonly entries: Entry[] = [];
	readonly agents: Agent[] = [];
	readonly links: Link[] = [];
	private serial = 0;
	private readonly random = SeededRandom.create(7);

	constructor(private readonly sabotage?: Sabotage) {
		for (let index = 0; index < agentCount; index++) {
			this.agents.push(this.makeAgent(`u${index}`));
		}

		for (let index = 0; index < entryCount; index++) {
			this.entries.push(this.makeEntry());
		}

		for (const entry of this.entries) {
			for (const agent of this.agents) {
				const link: Link = {
					isUp: false, id: 0, toAgent: [], toEntry: [], isStale: false, entry, agent, lastIncarnation: '',
				};
				this.links.push(link);
				this.connect(link);
			}
		}
	}

	/** A caller sends a request. */
	request(entryIndex: number, isRepeatable: boolean, deadlineMs: number, keyNumber: number): void {
		const entry = this.entries[entryIndex % entryCount];
		const requestId = `r${this.nextNumber()}`;
		const key = isRepeatable ? requestId : `k${keyNumber}`;
		const plan = this.planOf(requestId, key, isRepeatable || this.sabotage === 'repeatOnce', deadlineMs);
		const caller: CallerRecord = {
			plan, isRepeatable, key, results: [], delivered: '', deliveredUnits: 0, endedMs: 0, isEntryLost: false, isCallerGone: false,
		};
		this.oracle.callers.set(requestId, caller);
		const live: Live = {
			machine: RequestMachine.create(plan, entry.router), caller, granted: undefined, blockedUntilMs: 0,
		};
		entry.live.set(requestId, live);
		this.feed(entry, live, {type: 'start'});
	}

	callerGone(index: number): void {
		const all = this.entries.flatMap(entry => [...entry.live.values()].map(live => ({entry, live})));
		const chosen = all.at(index % Math.max(1, all.length));
		if (chosen) {
			chosen.live.caller.isCallerGone = true;
			this.feed(chosen.entry, chosen.live, {type: 'callerGone'});
		}
	}

	/** Messages arrive. */
	deliver(linkIndex: number, count: number): void {
		const link = this.links[linkIndex % this.links.length];
		for (let index = 0; index < count; index++) {
			this.deliverToAgent(link);
			this.deliverToEntry(link);
		}
	}

	/** Everything goes on a little: messages arrive, and each call gives a piece. */
	goOn(rounds: number): void {
		for (let round = 0; round <= rounds; round++) {
			for (const index of this.links.keys()) {
				this.deliver(index, 2);
			}

			for (const [index, agent] of this.agents.entries()) {
				for (const call of [...agent.calls.keys()]) {
					const isDone = agent.calls.get(call)!.produced >= tokens || agent.calls.get(call)!.dispatch.call.kind === 'run';
					this.callStep(index, [...agent.calls.keys()].indexOf(call), isDone ? 'complete' : 'piece');
				}
			}
		}
	}

	/** A message arrives twice, or before the one ahead of it. */
	disturb(position: number, isDoubled: boolean, isToAgent: boolean): void {
		const queues = this.links.map(link => isToAgent ? link.toAgent : link.toEntry).filter(queue => queue.length > 1);
		const queue = queues.at(position % Math.max(1, queues.length));
		if (!queue) {
			return;
		}

		const at = position % (queue.length - 1);
		if (isDoubled) {
			queue.splice(at, 0, queue[at]);
		} else {
			[queue[at], queue[at + 1]] = [queue[at + 1], queue[at]];
		}
	}

	/** An upstream goes on with a call. */
	callStep(agentIndex: number, callIndex: number, step: CallStep): void {
		const agent = this.agents[agentIndex % agentCount];
		const call = [...agent.calls.values()].at(callIndex % Math.max(1, agent.calls.size));
		if (!call || agent.isPaused) {
			return;
		}

		const {dispatchId} = call.dispatch;
		if (step === 'notRun' && !call.isStarted) {
			// The upstream was never reached.
			const at = this.oracle.runs.findIndex(run => run.dispatchId === dispatchId);
			this.oracle.runs.splice(at, 1);
			this.endCall(agent, dispatchId, {state: 'notRun'});
			return;
		}

		if (!call.isStarted) {
			call.isStarted = true;
			this.perform(agent, agent.gate.callStarted(dispatchId, undefined, this.now));
		}

		if (step === 'piece') {
			this.produce(agent, call);
		} else if (step === 'complete') {
			while (this.produce(agent, call)) {
				// Until everything is produced.
			}

			this.endCall(agent, dispatchId, {state: 'completed'});
		} else {
			const isUnknown = step === 'unknown' && !call.dispatch.isRepeatable;
			this.endCall(agent, dispatchId, {state: isUnknown ? 'unknown' : 'failed', reason: step});
		}
	}

	cut(linkIndex: number): void {
		this.disconnect(this.links[linkIndex % this.links.length], true);
	}

	reconnect(linkIndex: number): void {
		const link = this.links[linkIndex % this.links.length];
		if (!link.isUp && !link.agent.isPaused) {
			this.connect(link);
		}
	}

	/** An agent dies, and its slot gets a new one; whatever ran on the upstream is cancelled first. */
	crashAgent(agentIndex: number): void {
		const agent = this.agents[agentIndex % agentCount];
		for (const link of this.links.filter(item => item.agent === agent)) {
			this.disconnect(link, false);
		}

		agent.calls.clear();
		this.replaceAgent(agent);
	}

	/** An agent stops as planned once its work is done, and a new one takes the slot. */
	stopAgent(agentIndex: number): void {
		const agent = this.agents[agentIndex % agentCount];
		this.leave(agentIndex);
		if (agent.gate.isIdle || this.sabotage === 'stopCuts') {
			this.oracle.cutByStop.push(...agent.calls.keys());
			this.crashAgent(agentIndex);
		}
	}

	leave(agentIndex: number): void {
		const agent = this.agents[agentIndex % agentCount];
		if (agent.isPaused) {
			return;
		}

		agent.hasSaidLeaving = true;
		if (this.sabotage !== 'ignoreLeaving') {
			this.perform(agent, agent.gate.leave(this.now));
		}

		for (const link of this.links.filter(item => item.agent === agent && item.isUp)) {
			link.toEntry.push({type: 'report', settingsRevision: 1, state: 'leaving'});
		}
	}

	crashEntry(entryIndex: number): void {
		const entry = this.entries[entryIndex % entryCount];
		for (const {caller} of entry.live.values()) {
			caller.isEntryLost = true;
		}

		entry.live.clear();
		for (const link of this.links.filter(item => item.entry === entry)) {
			this.disconnect(link, true);
		}

		Object.assign(entry, this.makeEntry());
		for (const link of this.links.filter(item => item.entry === entry && !item.agent.isPaused)) {
			this.connect(link);
		}
	}

	pause(agentIndex: number): void {
		const agent = this.agents[agentIndex % agentCount];
		agent.isPaused = true;
		agent.pausedMs = this.now;
	}

	resume(agentIndex: number): void {
		const agent = this.agents[agentIndex % agentCount];
		if (!agent.isPaused) {
			return;
		}

		agent.isPaused = false;
		for (const link of this.links.filter(item => item.agent === agent)) {
			link.isStale = true;
			// The answer to the ping sent on waking comes after all that waited.
			link.toAgent.push({
				type: 'pong', nonce: 1, settingsRevision: 1, state: 'serving',
			});
		}
	}

	/** Time passes. */
	advance(byMs: number): void {
		for (let passedMs = 0; passedMs < byMs; passedMs += stepMs) {
			this.clock.advance(stepMs);
			this.tick();
		}
	}

	/** Lets everything come to its end. */
	async settle(): Promise<void> {
		this.table.isDown = false;
		this.table.dieAfterWrite = false;
		this.table.loseAnswers = 0;
		this.table.loseRequests = 0;
		for (let index = 0; index < agentCount; index++) {
			this.resume(index);
		}

		for (const link of this.links) {
			if (!link.isUp) {
				this.connect(link);
			}
		}

		for (let round = 0; round < 40; round++) {
			for (const [index, agent] of this.agents.entries()) {
				for (let call = agent.calls.size; call > 0; call--) {
					this.callStep(index, 0, 'complete');
				}
			}

			for (const [index, link] of this.links.entries()) {
				this.deliver(index, link.toAgent.length + link.toEntry.length);
			}

			this.advance(200);
			await settleMicrotasks();
		}

		this.advance(62_000);
		await settleMicrotasks();
	}

	/** What should be empty once everything has ended, and is not. */
	leaks(): string[] {
		const found: string[] = [];
		for (const entry of this.entries) {
			for (const requestId of entry.live.keys()) {
				found.push(`${requestId} is still held by its entry`);
			}

			for (const agent of this.agents) {
				const inFlight = entry.router.statsOf(agent.upstreamId)?.inFlight ?? 0;
				if (inFlight !== 0) {
					found.push(`${agent.upstreamId} still counts ${inFlight} in flight`);
				}
			}
		}

		for (const agent of this.agents) {
			if (!agent.gate.isIdle) {
				found.push(`the gate of ${agent.upstreamId} is not empty: ${agent.gate.openDispatchIds.join(', ')}`);
			}
		}

		return found;
	}

	private get now(): number {
		return this.clock.nowMs();
	}

	private nextNumber(): number {
		this.serial++;
		return this.serial;
	}

	private makeEntry(): Entry {
		const members = MemberTable.create();
		const prefixes = PrefixIndex.create();
		const incarnation = `e${this.nextNumber()}`;
		return {
			incarnation,
			members,
			router: FleetRouter.create({
				hall: 'a', members, prefixes, isAdaptive: true, chooser: ScoreChooser.create(this.random, prefixes), newDispatchId: () => `d${this.nextNumber()}`,
			}),
			claims: ClaimStore.create({
				table: this.table, clock: this.clock, writer: incarnation, spacingMs: 10,
			}),
			live: new Map(),
		};
	}

	private makeAgent(upstreamId: string): Agent {
		return {
			upstreamId,
			incarnation: `a${this.nextNumber()}`,
			gate: GateMachine.create({slots: 2, maxQueue: 2}),
			calls: new Map(),
			isPaused: false,
			pausedMs: 0,
			hasSaidLeaving: false,
		};
	}

	private replaceAgent(agent: Agent): void {
		const fresh = this.makeAgent(agent.upstreamId);
		agent.incarnation = fresh.incarnation;
		agent.gate = fresh.gate;
		agent.isPaused = false;
		agent.hasSaidLeaving = false;
		for (const link of this.links.filter(item => item.agent === agent)) {
			this.connect(link);
		}
	}

	private planOf(requestId: string, key: string, isRepeatable: boolean, deadlineMs: number): RequestPlan {
		const policy: EffectivePolicy = {
			...policyDefaults, maxTokens: tokens, maxLateMs: 300, timeoutMs: 400, holdMs: 100, retryShare: 1, hedgeShare: 0.5, model: 'm',
		};
		const stage = (index: number, kind: StagePlan['kind']): StagePlan => ({
			name: `s${index}`, index, kind, pool: 'pool', slots: 2, key: `s${index}/${kind}`, budgetKey: `s${index}/${kind}`, policy,
		});
		// What may not be repeated is one call of a plain service; the others are pipelines that end in a stream.
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
			startMs: this.now,
			deadlineMs: this.now + deadlineMs,
			giveUpMs: this.now + deadlineMs + policy.maxLateMs,
			input: new TextEncoder().encode(`${requestId}:${key}`),
			prefixHash: 0,
			seed: 5,
		};
	}

	private connect(link: Link): void {
		const {entry, agent} = link;
		link.isUp = true;
		link.id = this.nextNumber();
		link.isStale = false;
		const isNew = entry.members.connected({
			hostId: agent.upstreamId, incarnation: agent.incarnation, role: 'agent', hall: 'a', upstreamId: agent.upstreamId, pool: 'pool',
		}, this.now);
		if (isNew) {
			entry.router.joined(entry.members.all().find(member => member.upstreamId === agent.upstreamId)!);
		}

		link.toEntry.push({type: 'report', settingsRevision: 1, state: agent.gate.isLeaving ? 'leaving' : 'serving'});
		const type = isNew ? 'incarnationGone' : 'reconnected';
		this.broadcast(entry, {type, upstreamId: agent.upstreamId});
		this.broadcast(entry, {type: 'candidatesChanged'});
	}

	private disconnect(link: Link, isAgentTold: boolean): void {
		if (!link.isUp) {
			return;
		}

		const {entry, agent} = link;
		link.isUp = false;
		link.toAgent = [];
		link.toEntry = [];
		entry.members.disconnected(agent.upstreamId, agent.incarnation);
		if (isAgentTold) {
			this.perform(agent, agent.gate.connectionLost(link.id, this.now));
		}

		this.broadcast(entry, {type: 'connectionLost', upstreamId: agent.upstreamId});
	}

	private tick(): void {
		for (const agent of this.agents) {
			if (!agent.isPaused) {
				this.perform(agent, agent.gate.tick(this.now));
			}
		}

		for (const link of this.links) {
			if (link.isUp && !link.agent.isPaused) {
				link.entry.members.heard(link.agent.upstreamId, undefined, this.now);
			} else if (link.isUp && this.now - link.agent.pausedMs > silenceMs) {
				this.disconnect(link, true);
			}
		}

		for (const entry of this.entries) {
			for (const live of [...entry.live.values()]) {
				if (live.machine.wakeAtMs <= this.now) {
					this.feed(entry, live, {type: 'tick'});
					if (!live.machine.isClosed && live.machine.wakeAtMs <= this.now) {
						this.oracle.spins.push(live.caller.plan.requestId);
					}
				}
			}
		}
	}

	private deliverToAgent(link: Link): void {
		const {agent} = link;
		if (!link.isUp || agent.isPaused) {
			return;
		}

		const message = link.toAgent.shift();
		switch (message?.type) {
			case 'dispatch': {
				this.perform(agent, agent.gate.dispatch(link.id, message, link.isStale, this.now));
				break;
			}

			case 'cancel': {
				this.perform(agent, agent.gate.cancel(message.dispatchId, this.now));
				break;
			}

			case 'query': {
				this.perform(agent, agent.gate.query(link.id, message.dispatchId, this.now));
				break;
			}

			case 'credit': {
				this.perform(agent, agent.gate.credit(message.dispatchId, message.chunks, this.now));
				break;
			}

			case 'pong': {
				link.isStale = false;
				break;
			}

			default: {
				break;
			}
		}
	}

	private deliverToEntry(link: Link): void {
		const message = link.isUp ? link.toEntry.shift() : undefined;
		const {entry, agent} = link;
		if (!message) {
			return;
		}

		if (message.type === 'report') {
			entry.members.heard(agent.upstreamId, message.state, this.now);
		} else if (message.type === 'refused' || message.type === 'started' || message.type === 'chunk' || message.type === 'end') {
			const live = [...entry.live.values()].find(item => item.machine.dispatchIds.includes(message.dispatchId));
			if (live) {
				this.feed(entry, live, message);
			}
		}
	}

	private broadcast(entry: Entry, event: RequestEvent): void {
		for (const live of [...entry.live.values()]) {
			this.feed(entry, live, event);
		}
	}

	private feed(entry: Entry, live: Live, event: RequestEvent): void {
		for (const action of live.machine.handle(event, this.now)) {
			this.act(entry, live, action);
		}
	}

	private act(entry: Entry, live: Live, action: RequestAction): void {
		switch (action.type) {
			case 'claim': {
				void this.claim(entry, live);
				break;
			}

			case 'prepare': {
				throw new Error('Plans of this world need no work before the request.');
			}

			case 'dispatch': {
				const link = this.linkOf(entry, action.upstreamId);
				if (link.isUp) {
					link.toAgent.push(action.message);
				} else {
					const {dispatchId} = action.message;
					this.clock.setTimer(1, () => {
						this.feed(entry, live, {type: 'notSent', dispatchId});
					});
				}

				break;
			}

			case 'cancel':
			case 'query':
			case 'credit': {
				const {upstreamId, ...message} = action;
				const link = this.linkOf(entry, upstreamId);
				if (link.isUp) {
					link.toAgent.push(message);
				}

				break;
			}

			case 'deliver': {
				live.caller.delivered += new TextDecoder().decode(action.data);
				live.caller.deliveredUnits += action.units;
				break;
			}

			case 'finish': {
				live.caller.results.push(action.result);
				live.caller.endedMs = this.now;
				if (live.granted) {
					void entry.claims.settle(live.granted, action.result.outcome);
				}

				break;
			}

			case 'settle': {
				if (live.granted) {
					void entry.claims.settle(live.granted, action.outcome);
				}

				break;
			}

			case 'close': {
				entry.live.delete(live.caller.plan.requestId);
				break;
			}
		}
	}

	private async claim(entry: Entry, live: Live): Promise<void> {
		const {plan, key} = live.caller;
		const claimed = await entry.claims.claim(claimKey('w', key), {
			writer: entry.incarnation, requestId: plan.requestId, fingerprint: 1, state: 'claimed', claimedAtMs: this.clock.wallMs(), endsByMs: this.clock.wallMs() + 10_000,
		});
		if (!entry.live.has(plan.requestId) || entry.incarnation !== this.entries.find(item => item === entry)?.incarnation) {
			if (claimed.ok && !live.caller.isEntryLost) {
				void entry.claims.settle(claimed.value, 'refused');
			}

			return;
		}

		if (claimed.ok) {
			live.granted = claimed.value;
			this.feed(entry, live, {type: 'claimed'});
		} else {
			const code = claimed.error.code === 'taken' ? 'duplicateRequest' : 'storeUnavailable';
			this.feed(entry, live, {type: 'claimRefused', code, message: code});
		}
	}

	private perform(agent: Agent, actions: readonly GateAction[]): void {
		for (const action of actions) {
			switch (action.type) {
				case 'send': {
					const link = this.links.find(item => item.agent === agent && item.isUp && item.id === action.connectionId);
					link?.toEntry.push(action.message);
					break;
				}

				case 'start': {
					this.startCall(agent, action.dispatch);
					break;
				}

				case 'abort': {
					this.endCall(agent, action.dispatchId, {state: 'failed', reason: 'aborted'});
					break;
				}

				case 'flow': {
					break;
				}
			}
		}
	}

	private startCall(agent: Agent, dispatch: DispatchMessage): void {
		const {dispatchId, requestId, stageIndex: stage} = dispatch;
		const {upstreamId} = agent;
		agent.calls.set(dispatchId, {
			dispatch, isStarted: false, produced: dispatch.call.kind === 'generate' ? dispatch.call.resumeOffset : 0,
		});
		this.oracle.runs.push({
			requestId, stage, dispatchId, upstreamId,
		});
		if (agent.hasSaidLeaving) {
			this.oracle.leavingBreaches.push({upstreamId, dispatchId});
		}
	}

	private endCall(agent: Agent, dispatchId: string, end: CallEnd): void {
		if (agent.calls.delete(dispatchId)) {
			this.perform(agent, agent.gate.callEnded(dispatchId, end, this.now));
		}
	}

	/** Gives the next piece; false once there is none. */
	private produce(agent: Agent, call: Call): boolean {
		const {dispatchId, call: work} = call.dispatch;
		const isGenerating = work.kind === 'generate';
		if (call.produced >= (isGenerating ? tokens : 1)) {
			return false;
		}

		const input = new TextDecoder().decode(work.kind === 'generate' ? work.prompt : (work.kind === 'run' ? work.input : work.body));
		const text = isGenerating ? tokenAt({prompt: input, seed: 5}, call.produced) : stageOutput('run', input, 5, tokens);
		call.produced++;
		this.perform(agent, agent.gate.callPiece(dispatchId, 1, new TextEncoder().encode(text), this.now));
		return true;
	}

	private linkOf(entry: Entry, upstreamId: string): Link {
		return this.links.find(link => link.entry === entry && link.agent.upstreamId === upstreamId)!;
	}
}

/** Lets what was promised come about, up to the next timer. */
export async function settleMicrotasks(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}
