/** Measures the time of single decisions, and how it grows with the number of upstreams. */
import {Bench} from 'tinybench';
import {ManualClock} from '../src/base/common/clock.js';
import {SeededRandom} from '../src/base/common/random.js';
import {EngineChooser} from '../src/direct/common/engine-chooser.js';
import {FleetRouter} from '../src/entry/common/fleet-router.js';
import {Planner} from '../src/entry/common/planner.js';
import {MemberTable} from '../src/membership/common/member-table.js';
import {GateStateMachine} from '../src/request/common/gate-state-machine.js';
import {RequestStateMachine} from '../src/request/common/request-state-machine.js';
import type {RequestPlan} from '../src/request/common/request-plan.js';
import type {Candidate} from '../src/routing/common/chooser.js';
import {EngineLoads, makePrompt, type PromptPart} from '../src/routing/common/engine-loads.js';
import {PrefixIndex} from '../src/routing/common/prefix-index.js';
import {ScoreChooser} from '../src/routing/common/score-chooser.js';
import {UpstreamStats} from '../src/routing/common/upstream-stats.js';
import {encodeFrame, FrameDecoder} from '../src/wire/common/frame-codec.js';
import type {DispatchMessage, Message} from '../src/wire/common/messages.js';
import {makeTree} from './synthetic-settings.js';

const workload = {tokens: 48, startMs: 1000};

/** Measured time of one decision: the median, and the median absolute deviation as a share of it. */
export type DecisionMeasurement = {readonly name: string; readonly microseconds: number; readonly spreadShare: number};

function makeRouter(upstreams: number, clock: ManualClock): FleetRouter {
	const members = MemberTable.create({heartbeatTimeoutMs: Infinity, maxSilentShare: 0.5});
	const random = SeededRandom.create(3);
	const prefixes = PrefixIndex.create();
	let serial = 0;
	const router = FleetRouter.create({
		hall: 'hall-a', members, prefixes, isAdaptive: true, chooser: ScoreChooser.create(random, prefixes), newDispatchId: () => `d${serial++}`,
	});
	for (let number = 0; number < upstreams; number++) {
		const identity = {
			upstreamId: `u${number}`, hostId: `h${number}`, pool: 'models', hall: `hall-${number % 6}`, incarnation: 'i', role: 'agent' as const,
		};
		members.connected(identity, clock.nowMs());
		router.handleJoin(members.all().at(-1)!);
		router.observeLoad(identity.upstreamId, {
			running: random.int(8), queued: 0, slots: 8, serviceMs: 20, models: [{model: 'm', version: 'v1', adapters: []}],
		}, clock.nowMs());
	}

	return router;
}

function planOf(planner: Planner, nowMs: number): RequestPlan {
	const plan = planner.plan({
		requestId: 'r1', workspace: 'w0', target: 'p0', isRepeatable: true, hasIdempotencyKey: false, isStreaming: true, input: new TextEncoder().encode('x'.repeat(200)),
	}, nowMs);
	if (!plan.ok) {
		throw new Error(plan.error.message);
	}

	return plan.value;
}

/** Returns a prompt for a document. All engines have cached its first part, the instructions that all documents share; each engine has cached another document. */
function promptOf(document: string): PromptPart[] {
	return makePrompt([{id: 'instructions', tokens: 2500}, {id: document, tokens: 3800}, {id: 'own', tokens: 2900}]);
}

/** Returns a function that chooses among engines that already have prompts in their caches. */
function makeEngineChoice(count: number): () => void {
	const engines = EngineChooser.create(EngineLoads.create());
	const candidates = Array.from({length: count}, (_, number): Candidate => ({
		upstreamId: `e${number}`, hall: `hall-${number % 5}`, stats: UpstreamStats.create(), joinedMs: 0,
	}));
	for (const [number, engine] of candidates.entries()) {
		engines.recordAssignment({pool: 'models', prompt: promptOf(`document ${number}`)}, engine, workload.startMs);
	}

	const need = {pool: 'models', prompt: promptOf('document 0')};
	return () => {
		engines.choose(need, candidates, workload.startMs);
	};
}

/** Runs a request with one generating stage through its state machine, with one token in each chunk; at the end its call fails and the caller disconnects. */
function runRequest(plan: RequestPlan, router: FleetRouter): void {
	const machine = RequestStateMachine.create(plan, router);
	const [action] = machine.handle({type: 'start'}, workload.startMs);
	if (action.type !== 'dispatch') {
		throw new Error(`expected a dispatch action, got ${action.type}`);
	}

	const {dispatchId} = action.message;
	const data = new Uint8Array(6);
	machine.handle({type: 'started', dispatchId, queueMs: 0}, workload.startMs);
	for (let sequence = 0; sequence < workload.tokens; sequence++) {
		machine.handle({
			type: 'chunk', dispatchId, sequence, units: 1, data,
		}, workload.startMs);
	}

	machine.handle({
		type: 'end', dispatchId, state: 'failed', units: workload.tokens, digest: 0, runMs: 10,
	}, workload.startMs);
	machine.handle({type: 'callerGone'}, workload.startMs);
}

function runGate(gate: GateStateMachine, dispatch: DispatchMessage, serial: number): void {
	const dispatchId = `d${serial}`;
	gate.dispatch(1, {...dispatch, dispatchId}, false, serial);
	gate.callStarted(dispatchId, undefined, serial);
	gate.callEnded(dispatchId, {state: 'completed'}, serial);
}

/**
Measures all decisions.
@param timeMs - time to spend on each.
@returns the measurements.
*/
export async function measureDecisions(timeMs: number): Promise<DecisionMeasurement[]> {
	const clock = ManualClock.create(workload.startMs);
	const bench = new Bench({time: timeMs, warmupTime: timeMs / 4});
	const planner = Planner.create(makeTree(5));
	const plan = planOf(planner, workload.startMs);
	const stage = plan.stages.at(-1)!;
	const excluded = new Set<string>();
	for (const count of [8, 64, 730]) {
		const router = makeRouter(count, clock);
		bench.add(`choose one of ${count} upstreams`, () => {
			router.choose(stage, excluded, 77, workload.startMs);
		});
	}

	for (const count of [30, 78, 300, 730]) {
		bench.add(`choose one of ${count} engines for a prompt`, makeEngineChoice(count));
	}

	const router = makeRouter(64, clock);
	const single: RequestPlan = {...plan, stages: [{...stage, index: 0}]};
	let dispatch: DispatchMessage | undefined;
	for (const action of RequestStateMachine.create(single, router).handle({type: 'start'}, workload.startMs)) {
		dispatch = action.type === 'dispatch' ? action.message : dispatch;
	}

	const chunk: Message = {
		type: 'chunk', dispatchId: 'abcdefghijklmnop', sequence: 17, units: 1, data: new Uint8Array(6),
	};
	const gate = GateStateMachine.create({slots: 8, maxQueue: 32});
	let serial = 0;
	bench.add('make a plan of four stages', () => {
		planOf(planner, workload.startMs);
	});
	bench.add(`whole request machine, ${workload.tokens} chunks`, () => {
		runRequest(single, router);
	});
	bench.add('whole dispatch through a gate', () => {
		runGate(gate, dispatch!, serial++);
	});
	for (const [name, message] of [['dispatch', dispatch!], ['chunk', chunk]] as const) {
		const frame = encodeFrame(message);
		const decoder = FrameDecoder.create();
		bench.add(`encode a ${name} frame`, () => {
			encodeFrame(message);
		});
		bench.add(`decode and check a ${name} frame`, () => {
			decoder.push(frame);
		});
	}

	await bench.run();
	return bench.tasks.map(task => {
		const {result} = task;
		if (!('latency' in result)) {
			throw new Error(`${task.name} was not measured`);
		}

		return {name: task.name, microseconds: result.latency.p50 * 1000, spreadShare: result.latency.mad / result.latency.p50};
	});
}
