/** Which upstreams may get new work: joins the host list, connections, heartbeats and settings. */
import {serveStates, type Identity, type ServeState} from '../../wire/common/messages.js';

/** How a host list speaks of a host. */
export const listedStates = {live: 'live', leaving: 'leaving'} as const;
export type ListedState = typeof listedStates[keyof typeof listedStates];

/** Why an upstream gets no new work, or that it does. */
export const memberStates = {
	live: 'live', leaving: 'leaving', silent: 'silent', gone: 'gone',
} as const;
export type MemberState = typeof memberStates[keyof typeof memberStates];

/** One upstream as this entry sees it. */
export type Member = {
	readonly upstreamId: string;
	readonly hostId: string;
	readonly pool: string;
	readonly hall: string;
	readonly incarnation: string;
	readonly joinedMs: number;
};

/** Limits of membership. */
export type MemberOptions = {
	/** Silence after which an upstream gets no new work. */
	readonly heartbeatTimeoutMs: number;
	/** Where more than this share of a pool is silent at once, this host doubts itself instead. */
	readonly distrustShare: number;
};

export const defaultMemberOptions: MemberOptions = {heartbeatTimeoutMs: 1500, distrustShare: 0.5};

type Entry = {
	readonly member: Member;
	isConnected: boolean;
	lastHeardMs: number;
	/** Sticky for one incarnation. */
	isLeaving: boolean;
};

/** Joins what is heard of each upstream into one state; time comes with each call. */
export class MemberTable {
	static create(options: MemberOptions = defaultMemberOptions): MemberTable {
		return new MemberTable(options);
	}

	private readonly entries = new Map<string, Entry>();
	private readonly pools = new Map<string, Set<string>>();
	private readonly leavingHosts = new Set<string>();
	private drained: ReadonlySet<string> = new Set();
	private changes = 0;

	private heartbeatTimeoutMs: number;

	private constructor(private readonly options: MemberOptions) {
		this.heartbeatTimeoutMs = options.heartbeatTimeoutMs;
	}

	/** Rises whenever an upstream joins, leaves or is lost; silence alone does not count. */
	get version(): number {
		return this.changes;
	}

	/**
	Pings come as often as the number of links allows; silence is judged by that.
	@param timeoutMs - silence after which an upstream gets no new work; never less than the options say.
	*/
	setHeartbeatTimeout(timeoutMs: number): void {
		this.heartbeatTimeoutMs = Math.max(timeoutMs, this.options.heartbeatTimeoutMs);
	}

	/**
	An agent's connection is ready.
	@param identity - who is behind it.
	@param nowMs - the time.
	@returns whether it is an incarnation not met before.
	*/
	connected(identity: Identity, nowMs: number): boolean {
		const {upstreamId, pool, hostId, hall, incarnation} = identity;
		if (upstreamId === undefined || pool === undefined) {
			return false;
		}

		this.changes++;
		const known = this.entries.get(upstreamId);
		if (known?.member.incarnation === incarnation) {
			known.isConnected = true;
			known.lastHeardMs = nowMs;
			return false;
		}

		if (known) {
			this.pools.get(known.member.pool)?.delete(upstreamId);
			// A list that named the old incarnation as leaving says nothing of the new one, unless it says so again.
			this.leavingHosts.delete(hostId);
		}

		const member = {
			upstreamId, hostId, pool, hall, incarnation, joinedMs: nowMs,
		};
		this.entries.set(upstreamId, {
			member, isConnected: true, lastHeardMs: nowMs, isLeaving: this.leavingHosts.has(hostId),
		});
		this.poolSet(pool).add(upstreamId);
		return true;
	}

	/**
	A connection was lost.
	@param upstreamId - the upstream behind it.
	@param incarnation - the run of the agent that was connected.
	*/
	disconnected(upstreamId: string, incarnation: string): void {
		const entry = this.entries.get(upstreamId);
		if (entry?.member.incarnation === incarnation) {
			entry.isConnected = false;
			this.changes++;
		}
	}

	/**
	Something came from an agent.
	@param upstreamId - its upstream.
	@param state - how it stands towards new work, if the message said so.
	@param nowMs - the time.
	*/
	heard(upstreamId: string, state: ServeState | undefined, nowMs: number): void {
		const entry = this.entries.get(upstreamId);
		if (entry) {
			entry.lastHeardMs = nowMs;
			if (state === serveStates.leaving && !entry.isLeaving) {
				entry.isLeaving = true;
				this.changes++;
			}
		}
	}

	/**
	The platform's list was read.
	@param hostId - a host it names.
	@param state - what it says of it.
	*/
	listed(hostId: string, state: ListedState): void {
		if (state === listedStates.leaving) {
			this.leavingHosts.add(hostId);
			for (const entry of this.entries.values()) {
				if (entry.member.hostId === hostId && !entry.isLeaving) {
					entry.isLeaving = true;
					this.changes++;
				}
			}
		} else {
			this.leavingHosts.delete(hostId);
		}
	}

	/**
	The settings name upstreams that shall get no work.
	@param upstreamIds - all of them.
	*/
	drainedBySettings(upstreamIds: Iterable<string>): void {
		this.drained = new Set(upstreamIds);
		this.changes++;
	}

	/**
	Tells how an upstream stands.
	@param upstreamId - which.
	@param nowMs - the time.
	@returns its state.
	*/
	stateOf(upstreamId: string, nowMs: number): MemberState {
		const entry = this.entries.get(upstreamId);
		if (!entry?.isConnected) {
			return memberStates.gone;
		}

		if (entry.isLeaving || this.drained.has(upstreamId)) {
			return memberStates.leaving;
		}

		return this.isSilent(entry, nowMs) ? memberStates.silent : memberStates.live;
	}

	/**
	Lists upstreams that may get new work.
	@param pool - the pool's name.
	@param nowMs - the time.
	@returns the live ones; the silent ones too where too many are silent at once to be believed.
	*/
	candidates(pool: string, nowMs: number): Member[] {
		const live: Member[] = [];
		const silent: Member[] = [];
		for (const upstreamId of this.pools.get(pool) ?? []) {
			const entry = this.entries.get(upstreamId)!;
			if (!entry.isConnected || entry.isLeaving || this.drained.has(upstreamId)) {
				continue;
			}

			(this.isSilent(entry, nowMs) ? silent : live).push(entry.member);
		}

		const isDoubtful = silent.length > (live.length + silent.length) * this.options.distrustShare;
		return isDoubtful ? [...live, ...silent] : live;
	}

	/**
	Forgets upstreams that have been gone for long.
	@param olderThanMs - how long.
	@param nowMs - the time.
	*/
	forget(olderThanMs: number, nowMs: number): void {
		for (const [upstreamId, entry] of this.entries) {
			if (!entry.isConnected && nowMs - entry.lastHeardMs > olderThanMs) {
				this.entries.delete(upstreamId);
				this.pools.get(entry.member.pool)?.delete(upstreamId);
			}
		}
	}

	/** @returns every upstream known. */
	all(): Member[] {
		return Array.from(this.entries.values(), entry => entry.member);
	}

	private isSilent(entry: Entry, nowMs: number): boolean {
		return nowMs - entry.lastHeardMs > this.heartbeatTimeoutMs;
	}

	private poolSet(pool: string): Set<string> {
		let set = this.pools.get(pool);
		if (!set) {
			set = new Set();
			this.pools.set(pool, set);
		}

		return set;
	}
}
