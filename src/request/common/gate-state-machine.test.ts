import t from 'tap';
import type {DispatchMessage} from '../../wire/common/messages.js';
import type {GateAction} from './gate-actions.js';
import {GateStateMachine} from './gate-state-machine.js';

const dispatchWith = (changes: Partial<DispatchMessage> = {}): DispatchMessage => ({
	type: 'dispatch', dispatchId: 'd', requestId: 'r', workspace: 'w', pipeline: 'p', stage: 's', stageIndex: 0, startWithinMs: 1000, dueInMs: 1000,
	isRepeatable: true, settingsRevision: 0, weight: 1, creditChunks: 8, call: {kind: 'run', input: new Uint8Array(0)}, ...changes,
});
const refusalOf = (actions: readonly GateAction[]) => actions.flatMap(action => action.type === 'send' && action.message.type === 'refused' ? [action.message.reason] : []);

t.test('work that may not be repeated continues after its entry disconnects, even if it was waiting for credit', async t => {
	const gate = GateStateMachine.create({slots: 1, maxQueue: 1});
	gate.dispatch(1, dispatchWith({isRepeatable: false, creditChunks: 1}), false, 0);
	gate.callStarted('d', undefined, 1);
	t.match(gate.callChunkReceived('d', 1, new Uint8Array(1), 2), [{type: 'send'}, {type: 'flow', isOpen: false}]);
	t.match(gate.connectionLost(1, 3), [{type: 'flow', dispatchId: 'd', isOpen: true}], 'without a connected entry, nothing would grant credit');
	gate.callChunkReceived('d', 1, new Uint8Array(1), 4);
	gate.callEnded('d', {state: 'completed'}, 5);
	t.strictSame(gate.query(2, 'd', 6).map(action => action.type === 'send' ? action.message.type : action.type), ['started', 'chunk', 'chunk', 'end']);
});

t.test('repeatable work whose entry disconnected is aborted after a grace period', async t => {
	const gate = GateStateMachine.create({slots: 1, maxQueue: 1});
	gate.dispatch(1, dispatchWith(), false, 0);
	gate.connectionLost(1, 10);
	t.strictSame(gate.tick(1000), []);
	t.match(gate.tick(2000), [{type: 'abort', dispatchId: 'd'}]);
});

t.test('a dispatch that was queried before it arrived is never run', async t => {
	const gate = GateStateMachine.create({slots: 1, maxQueue: 1});
	t.strictSame(refusalOf(gate.query(1, 'd', 0)), ['neverSeen']);
	t.strictSame(gate.dispatch(1, dispatchWith(), false, 1), []);
});

t.test('work is refused that is stale, out of time, beyond the queue limit, or received while leaving', async t => {
	const gate = GateStateMachine.create({slots: 1, maxQueue: 1});
	t.strictSame(refusalOf(gate.dispatch(1, dispatchWith({dispatchId: 'a'}), true, 0)), ['stale']);
	t.strictSame(refusalOf(gate.dispatch(1, dispatchWith({dispatchId: 'b', startWithinMs: 0}), false, 0)), ['outOfTime']);
	gate.dispatch(1, dispatchWith({dispatchId: 'c'}), false, 0);
	gate.dispatch(1, dispatchWith({dispatchId: 'e'}), false, 0);
	t.strictSame(refusalOf(gate.dispatch(1, dispatchWith({dispatchId: 'f'}), false, 0)), ['queueFull']);
	t.strictSame(refusalOf(gate.leave(1)), ['leaving']);
	t.strictSame(refusalOf(gate.dispatch(1, dispatchWith({dispatchId: 'g'}), false, 2)), ['leaving']);
});

t.test('work in time is started before late work, later stages before earlier ones, and workspaces by their shares', async t => {
	const gate = GateStateMachine.create({slots: 1, maxQueue: 100});
	const order: string[] = [];
	const run = (actions: readonly GateAction[]) => {
		for (const action of actions) {
			if (action.type === 'start') {
				order.push(action.dispatch.dispatchId);
			}
		}
	};

	run(gate.dispatch(1, dispatchWith({dispatchId: 'first'}), false, 0));
	run(gate.dispatch(1, dispatchWith({dispatchId: 'late', dueInMs: 0}), false, 0));
	for (let number = 0; number < 3; number++) {
		run(gate.dispatch(1, dispatchWith({dispatchId: `a${number}`, workspace: 'a'}), false, 0));
		run(gate.dispatch(1, dispatchWith({dispatchId: `b${number}`, workspace: 'b', weight: 2}), false, 0));
	}

	run(gate.dispatch(1, dispatchWith({dispatchId: 'later', stageIndex: 1}), false, 0));
	for (let number = 0; order.length < 9; number++) {
		run(gate.callEnded(order[number], {state: 'completed'}, 1));
	}

	t.equal(order[1], 'later');
	t.equal(order.at(-1), 'late');
	t.ok(order.indexOf('b1') < order.indexOf('a2'), 'b has twice the share of a');
});
