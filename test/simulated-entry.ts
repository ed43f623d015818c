/** Entry with its callers in the simulation of the request fuzzer: real request state machines with a fake store and fake callers. */
import type {Clock} from '../src/base/common/clock.js';
import type {SeededRandom} from '../src/base/common/random.js';
import {FleetRouter} from '../src/entry/common/fleet-router.js';
import {MemberTable} from '../src/membership/common/member-table.js';
import {claimKey} from '../src/request/common/claim.js';
import {ClaimStore, type GrantedClaim} from '../src/request/common/claim-store.js';
import type {RequestAction, RequestEvent} from '../src/request/common/request-events.js';
import {RequestStateMachine} from '../src/request/common/request-state-machine.js';
import {PrefixIndex} from '../src/routing/common/prefix-index.js';
import {ScoreChooser} from '../src/routing/common/score-chooser.js';
import type {MemoryTable} from '../src/standins/common/memory-table.js';
import type {Message} from '../src/wire/common/messages.js';
import type {CallerRecord, RequestOracle} from './request-oracle.js';
import type {SimulatedLink} from './simulated-link.js';
import type {SimulatedUpstream} from './simulated-upstream.js';

const claimMs = 10_000;
const claimSpacingMs = 10;
/** Delay after which the entry is notified that a message could not be sent. */
const sendFailureDelayMs = 1;

/** A request that the entry is processing. */
export type LiveRequest = {readonly machine: RequestStateMachine; readonly caller: CallerRecord; granted: GrantedClaim | undefined};

/** Dependencies of an entry. */
export type SimulatedEntryOptions = {
	readonly clock: Clock;
	readonly random: SeededRandom;
	readonly table: MemoryTable;
	readonly oracle: RequestOracle;
	/** Returns a number that is unique in the simulation. */
	readonly nextNumber: () => number;
	readonly linkTo: (entry: SimulatedEntry, upstreamId: string) => SimulatedLink;
};

/** One entry, whose process can crash and be started again. */
export class SimulatedEntry {
	members!: MemberTable;
	router!: FleetRouter;
	/** Requests in progress, by request id. */
	readonly liveRequests = new Map<string, LiveRequest>();
	private incarnation!: string;
	private claims!: ClaimStore;

	constructor(private readonly options: SimulatedEntryOptions) {
		this.start();
	}

	/** Starts a new process without any state of the former one. */
	start(): void {
		const {random, table, clock, nextNumber} = this.options;
		const prefixes = PrefixIndex.create();
		this.incarnation = `e${nextNumber()}`;
		this.members = MemberTable.create();
		this.router = FleetRouter.create({
			hall: 'a', members: this.members, prefixes, isAdaptive: true, chooser: ScoreChooser.create(random, prefixes), newDispatchId: () => `d${nextNumber()}`,
		});
		this.claims = ClaimStore.create({
			table, clock, writer: this.incarnation, minWriteIntervalMs: claimSpacingMs,
		});
	}

	/** The process crashes; its callers receive nothing more. */
	crash(): void {
		for (const {caller} of this.liveRequests.values()) {
			caller.isEntryLost = true;
		}

		this.liveRequests.clear();
	}

	/** Accepts a request of a caller and starts its state machine. */
	accept(caller: CallerRecord): void {
		const {plan} = caller;
		const live: LiveRequest = {machine: RequestStateMachine.create(plan, this.router), caller, granted: undefined};
		this.liveRequests.set(plan.requestId, live);
		this.feed(live, {type: 'start'});
	}

	/** The caller of a request disconnects. */
	callerGone(live: LiveRequest): void {
		live.caller.isCallerGone = true;
		this.feed(live, {type: 'callerGone'});
	}

	/**
	Registers a connection to the agent of an upstream.
	@returns whether this incarnation of the agent was unknown.
	*/
	connected({upstreamId, incarnation}: SimulatedUpstream): boolean {
		const isNew = this.members.connected({
			hostId: upstreamId, incarnation, role: 'agent', hall: 'a', upstreamId, pool: 'pool',
		}, this.nowMs);
		if (isNew) {
			this.router.handleJoin(this.members.all().find(member => member.upstreamId === upstreamId)!);
		}

		return isNew;
	}

	/** Handles a message from the agent of an upstream. */
	receive(message: Message, upstreamId: string): void {
		if (message.type === 'report') {
			this.members.received(upstreamId, message.state, this.nowMs);
		} else if (message.type === 'refused' || message.type === 'started' || message.type === 'chunk' || message.type === 'end') {
			const live = [...this.liveRequests.values()].find(({machine}) => machine.dispatchIds.includes(message.dispatchId));
			if (live) {
				this.feed(live, message);
			}
		}
	}

	/** Passes an event to all requests. */
	broadcast(event: RequestEvent): void {
		for (const live of [...this.liveRequests.values()]) {
			this.feed(live, event);
		}
	}

	/** Sends a tick to the requests that are due, and reports those that are still due afterwards to the oracle. */
	tick(): void {
		for (const live of [...this.liveRequests.values()]) {
			if (live.machine.wakeAtMs <= this.nowMs) {
				this.feed(live, {type: 'tick'});
				if (!live.machine.isClosed && live.machine.wakeAtMs <= this.nowMs) {
					this.options.oracle.spinningRequestIds.push(live.caller.plan.requestId);
				}
			}
		}
	}

	private get nowMs(): number {
		return this.options.clock.nowMs();
	}

	private feed(live: LiveRequest, event: RequestEvent): void {
		for (const action of live.machine.handle(event, this.nowMs)) {
			this.perform(live, action);
		}
	}

	private perform(live: LiveRequest, action: RequestAction): void {
		switch (action.type) {
			case 'claim': {
				void this.claim(live);
				break;
			}

			case 'prepare':
			case 'stopPreparing': {
				throw new Error('Plans of this simulation need no preparation.');
			}

			case 'dispatch': {
				const link = this.options.linkTo(this, action.upstreamId);
				if (link.isUp) {
					link.send(action.message);
				} else {
					const {dispatchId} = action.message;
					this.options.clock.setTimer(sendFailureDelayMs, () => {
						this.feed(live, {type: 'notSent', dispatchId});
					});
				}

				break;
			}

			case 'cancel':
			case 'query':
			case 'credit': {
				const {upstreamId, ...message} = action;
				this.options.linkTo(this, upstreamId).send(message);
				break;
			}

			case 'deliver': {
				live.caller.delivered += new TextDecoder().decode(action.data);
				live.caller.deliveredUnits += action.units;
				break;
			}

			case 'finish': {
				live.caller.results.push(action.result);
				live.caller.endedMs = this.nowMs;
				this.settle(live, action.result.outcome);
				break;
			}

			case 'settle': {
				this.settle(live, action.outcome);
				break;
			}

			case 'close': {
				this.liveRequests.delete(live.caller.plan.requestId);
				break;
			}
		}
	}

	private settle({granted}: LiveRequest, outcome: Parameters<ClaimStore['settle']>[1]): void {
		if (granted) {
			void this.claims.settle(granted, outcome);
		}
	}

	private async claim(live: LiveRequest): Promise<void> {
		const {plan, key} = live.caller;
		const {claims, incarnation, options: {clock}} = this;
		const claimed = await claims.claim(claimKey('w', key), {
			writer: incarnation, requestId: plan.requestId, fingerprint: 1, state: 'claimed', claimedAtMs: clock.wallMs(), endsByMs: clock.wallMs() + claimMs,
		});
		if (!this.liveRequests.has(plan.requestId)) {
			if (claimed.ok && !live.caller.isEntryLost) {
				void this.claims.settle(claimed.value, 'refused');
			}

			return;
		}

		if (claimed.ok) {
			live.granted = claimed.value;
			this.feed(live, {type: 'claimed'});
		} else {
			const code = claimed.error.code === 'taken' ? 'duplicateRequest' : 'storeUnavailable';
			this.feed(live, {type: 'claimRefused', code, message: code});
		}
	}
}
