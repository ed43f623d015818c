import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {Emitter} from '../../base/common/emitter.js';
import {silentLoggers} from '../../base/common/logger.js';
import type {PeerMessage} from '../../peers/node/peer-mesh.js';
import {rendezvousOwner} from '../../routing/common/rendezvous.js';
import type {Message} from '../../wire/common/messages.js';
import type {FetchedPieces, FinishedPiece} from '../common/batch-call.js';
import {pieceFailures, type BatchWork, type PieceOutcome} from '../common/work.js';
import {BatchHandler, type BatchPeerMesh, type PoolBatches} from './batch-handler.js';

/** Hosts of one test, each with its handler; messages arrive immediately. */
class Hosts {
	readonly handlers = new Map<string, BatchHandler>();
	readonly clock = ManualClock.create();
	/** Pieces held by each host, by host ID. */
	readonly queues = new Map<string, FinishedPiece[]>();
	/** Reports of the pool of each host, by host ID. */
	readonly reports = new Map<string, {readonly onFinished: (finished: FinishedPiece) => void; readonly onInputsFetched: (fetched: FetchedPieces) => void}>();
	private readonly meshEvents = new Map<string, {readonly receive: Emitter<PeerMessage>; readonly change: Emitter<void>}>();
	private readonly capacities = new Map<string, number>();
	private live: string[] = [];

	add(hostId: string, capacity = 1): BatchHandler {
		this.capacities.set(hostId, capacity);
		const receive = Emitter.create<PeerMessage>();
		const change = Emitter.create<void>();
		const mesh: BatchPeerMesh = {
			onDidReceive: receive.event,
			onDidChange: change.event,
			onDidLose: Emitter.create<string>().event,
			liveCapacities: new Map(),
			send: (to, message) => this.deliver(hostId, to, message),
			broadcast: () => undefined,
		};
		Object.defineProperty(mesh, 'liveCapacities', {get: () => new Map(this.live.filter(other => other !== hostId).map(other => [other, this.capacities.get(other) ?? 0]))});
		this.meshEvents.set(hostId, {receive, change});
		const handler = BatchHandler.create({
			hostId, capacity, mesh, clock: this.clock, log: silentLoggers.for('test'),
			isLeaving: () => !this.live.includes(hostId),
			makePool: (pool, onFinished, onInputsFetched) => {
				this.reports.set(hostId, {onFinished, onInputsFetched});
				return this.makePool(hostId, pool, onFinished);
			},
		});
		this.handlers.set(hostId, handler);
		this.setLive([...this.live, hostId]);
		return handler;
	}

	setLive(live: string[]): void {
		this.live = live;
		for (const {change} of this.meshEvents.values()) {
			change.fire();
		}
	}

	private deliver(from: string, to: string, message: Message): boolean {
		this.meshEvents.get(to)?.receive.fire({hostId: from, message});
		return this.meshEvents.has(to);
	}

	private makePool(hostId: string, _pool: string, onFinished: (finished: FinishedPiece) => void): PoolBatches {
		const queue: FinishedPiece[] = [];
		this.queues.set(hostId, queue);
		return {
			get isIdle() {
				return queue.length === 0;
			},
			add(work) {
				queue.push(...work.pieces.map((piece): FinishedPiece => ({work, piece, outcome: {ok: true, ref: {handle: `${hostId}${piece}`, serverId: 's'}}})));
			},
			cancel(workId) {
				queue.splice(0, queue.length, ...queue.filter(finished => finished.work.workId !== workId));
			},
			handOver() {
				for (const {work, piece} of queue.splice(0)) {
					onFinished({work, piece, outcome: {ok: false, reason: pieceFailures.moved}});
				}
			},
			release: () => undefined,
			waitMs: () => 0,
			quote: () => undefined,
			reserve: () => undefined,
			dropReservations: () => undefined,
			forgo: () => undefined,
			admittedLate: () => undefined,
			sweepReservations: () => undefined,
			dispose: () => undefined,
		};
	}
}

const work: BatchWork = {
	workId: 'w', pool: 'p', callerRequestId: 'r', contentId: 'c'.repeat(32), pieceKey: 'k', step: 0, pieces: [0, 1], inputs: undefined, resultBytes: 1, rank: 0,
	dueMs: 1, lateDueMs: 2, deadlineMs: 3, hall: '', crossingBytes: 0,
};

t.test('queued work is transferred to the host that batches its pool now, and a transfer reports no outcome', async t => {
	const hosts = new Hosts();
	const names = ['a', 'b'];
	const owner = rendezvousOwner('p', names)!;
	const other = names.find(name => name !== owner)!;
	const submitter = hosts.add(other);
	const outcomes: PieceOutcome[] = [];
	submitter.submit(work, (_piece, outcome) => {
		outcomes.push(outcome);
	});
	t.equal(hosts.queues.get(other)!.length, 2, 'a host without peers batches for itself');
	hosts.add(owner);
	t.equal(hosts.queues.get(other)!.length, 0);
	t.equal(hosts.queues.get(owner)!.length, 2);
	hosts.setLive([other]);
	hosts.handlers.get(owner)!.handOver();
	t.equal(hosts.queues.get(owner)!.length, 0, 'a host that is leaving transfers its queue');
	t.equal(hosts.queues.get(other)!.length, 2);
	t.ok(hosts.handlers.get(owner)!.isIdle, 'a host that has transferred its queue is idle');
	t.same(outcomes, []);
});

/*
Guards against outcomes that go to the wrong host, and against work that another host's request cancels. Work IDs derive from the IDs
of requests, which are unique on one host only: callers choose them, and several hosts use the same serial IDs.
*/
t.test('work of several hosts with the same ID is kept apart', async t => {
	const names = ['a', 'b', 'c'];
	const owner = rendezvousOwner('p', names)!;
	const hosts = new Hosts();
	const handlers = new Map(names.map(name => [name, hosts.add(name)]));
	const outcomes: string[] = [];
	for (const [name, handler] of handlers) {
		handler.submit({...work, pieces: [0]}, piece => {
			outcomes.push(`${name} ${piece}`);
		});
	}

	const queue = hosts.queues.get(owner)!;
	t.equal(queue.length, 3);
	const [canceling, remaining] = names.filter(name => name !== owner);
	handlers.get(canceling)!.cancel(work.workId);
	t.equal(queue.length, 2);
	for (const finished of queue.splice(0)) {
		hosts.reports.get(owner)!.onFinished(finished);
	}

	t.same(outcomes.toSorted(), [`${owner} 0`, `${remaining} 0`].toSorted());
	t.ok(handlers.get(owner)!.isIdle);
});

t.test('a host with little capacity batches nothing while one with more capacity is live', async t => {
	const names = ['a', 'b'];
	const small = rendezvousOwner('p', names)!;
	const big = names.find(name => name !== small)!;
	const hosts = new Hosts();
	const submitter = hosts.add(small, 0.1);
	hosts.add(big, 1.35);
	submitter.submit(work, () => undefined);
	t.equal(hosts.queues.get(small), undefined);
	t.equal(hosts.queues.get(big)!.length, 2);
});

t.test('pieces that are queued again on a host that no longer batches are transferred', async t => {
	const names = ['a', 'b'];
	const owner = rendezvousOwner('p', names)!;
	const other = names.find(name => name !== owner)!;
	const hosts = new Hosts();
	const submitter = hosts.add(other);
	submitter.submit(work, () => undefined);
	const atWork = hosts.queues.get(other)!.splice(0);
	hosts.add(owner);
	hosts.queues.get(other)!.push(...atWork);
	hosts.clock.advance(100);
	t.equal(hosts.queues.get(other)!.length, 0);
	t.equal(hosts.queues.get(owner)!.length, 2);
});

/* Guards against a submitter that is not notified, or that releases inputs of pieces that have to be sent again. */
t.test('the submitter of a work, a peer or this host, is notified of its unfinished pieces whose inputs were fetched', async t => {
	const names = ['a', 'b'];
	const owner = rendezvousOwner('p', names)!;
	const other = names.find(name => name !== owner)!;
	const hosts = new Hosts();
	hosts.add(owner);
	hosts.add(other);
	for (const submitter of names) {
		const fetched: Array<readonly number[]> = [];
		const workId = `w-${submitter}`;
		hosts.handlers.get(submitter)!.submit({...work, workId}, () => undefined, pieces => {
			fetched.push(pieces);
		});
		const report = hosts.reports.get(owner)!;
		// The pool holds the work of a peer under an ID of its own.
		const held = hosts.queues.get(owner)!.at(-1)!.work;
		report.onInputsFetched({workId: held.workId, pool: 'p', pieces: [0, 1]});
		t.same(fetched, [[0, 1]], submitter);
		report.onFinished({work: held, piece: 0, outcome: {ok: true, ref: {handle: 'x', serverId: 's'}}});
		report.onInputsFetched({workId: held.workId, pool: 'p', pieces: [0, 1]});
		t.same(fetched, [[0, 1], [1]], 'not of a piece that is done');
		hosts.handlers.get(submitter)!.cancel(workId);
		report.onInputsFetched({workId: held.workId, pool: 'p', pieces: [1]});
		t.equal(fetched.length, 2, 'not of canceled work');
	}
});

/* Guards against inputs that are released on the word of a former scheduler while the current one has yet to send the pieces. */
t.test('fetched inputs reported by a host that no longer holds a work are ignored', async t => {
	const names = ['a', 'b'];
	const owner = rendezvousOwner('p', names)!;
	const other = names.find(name => name !== owner)!;
	const hosts = new Hosts();
	const submitter = hosts.add(other);
	const fetched: Array<readonly number[]> = [];
	submitter.submit(work, () => undefined, pieces => {
		fetched.push(pieces);
	});
	hosts.add(owner);
	t.equal(hosts.queues.get(owner)!.length, 2, 'transferred');
	hosts.reports.get(other)!.onInputsFetched({workId: 'w', pool: 'p', pieces: [0]});
	t.same(fetched, []);
	const held = hosts.queues.get(owner)!.at(-1)!.work;
	hosts.reports.get(owner)!.onInputsFetched({workId: held.workId, pool: 'p', pieces: [1]});
	t.same(fetched, [[1]]);
});
