/** Decides which upstreams may receive new work, from the host list, connections, heartbeats and settings. */
import {serveStates, type Identity, type ServeState} from '../../wire/common/messages.js';

/** State of a host in the platform's host list. */
export const listedStates = {live: 'live', leaving: 'leaving'} as const;
export type ListedState = typeof listedStates[keyof typeof listedStates];

/** Whether an upstream receives new work (`live`), or why it does not. */
export const memberStates = {
	live: 'live', leaving: 'leaving', silent: 'silent', gone: 'gone',
} as const;
export type MemberState = typeof memberStates[keyof typeof memberStates];

/** One upstream as known to this entry host. */
export type Member = {
	readonly upstreamId: string;
	readonly hostId: string;
	readonly pool: string;
	readonly hall: string;
	readonly incarnation: string;
	readonly joinedMs: number;
};

/** Limits that decide when an upstream counts as silent. */
export type MemberOptions = {
	/** Silence after which an upstream receives no new work. */
	readonly heartbeatTimeoutMs: number;
	/** If more than this share of a pool is silent at once, this host assumes that the fault is its own and ignores the silence. */
	readonly maxSilentShare: number;
};

export const defaultMemberOptions: MemberOptions = {heartbeatTimeoutMs: 1500, maxSilentShare: 0.5};

type Entry = {
	readonly member: Member;
	isConnected: boolean;
	lastReceivedMs: number;
	/** Once set, stays set for the incarnation. */
	isLeaving: boolean;
};

/** Combines the signals about each upstream into one state; callers pass the current time to each method. */
export class MemberTable {
	static create(options: MemberOptions = defaultMemberOptions): MemberTable {
		return new MemberTable(options);
	}

	private readonly entries = new Map<string, Entry>();
	private readonly pools = new Map<string, Set<string>>();
	private readonly leavingHosts = new Set<string>();
	private drainedIds: ReadonlySet<string> = new Set();
	private changeCount = 0;

	private heartbeatTimeoutMs: number;

	private constructor(private readonly options: MemberOptions) {
		this.heartbeatTimeoutMs = options.heartbeatTimeoutMs;
	}

	/** Increases whenever an upstream connects, leaves or is lost, or the drained upstreams are set; silence alone does not change it. */
	get version(): number {
		return this.changeCount;
	}

	/**
	Adapts the silence timeout to the ping interval, which depends on the number of links.
	@param timeoutMs - silence after which an upstream receives no new work; the value in the options is the lower bound.
	*/
	setHeartbeatTimeout(timeoutMs: number): void {
		this.heartbeatTimeoutMs = Math.max(timeoutMs, this.options.heartbeatTimeoutMs);
	}

	/**
	Records that the connection to an agent is ready.
	@param identity - the agent's identity.
	@param nowMs - the current time.
	@returns whether the incarnation is new.
	*/
	connected(identity: Identity, nowMs: number): boolean {
		const {upstreamId, pool, hostId, hall, incarnation} = identity;
		if (upstreamId === undefined || pool === undefined) {
			return false;
		}

		this.changeCount++;
		const known = this.entries.get(upstreamId);
		if (known?.member.incarnation === incarnation) {
			known.isConnected = true;
			known.lastReceivedMs = nowMs;
			return false;
		}

		if (known) {
			this.pools.get(known.member.pool)?.delete(upstreamId);
			// That the host list showed the old incarnation as leaving does not apply to the new one, unless the list shows it again.
			this.leavingHosts.delete(hostId);
		}

		const member = {
			upstreamId, hostId, pool, hall, incarnation, joinedMs: nowMs,
		};
		this.entries.set(upstreamId, {
			member, isConnected: true, lastReceivedMs: nowMs, isLeaving: this.leavingHosts.has(hostId),
		});
		this.poolSet(pool).add(upstreamId);
		return true;
	}

	/**
	Records that a connection was lost.
	@param upstreamId - the upstream of the agent.
	@param incarnation - the incarnation of the agent that was connected.
	*/
	disconnected(upstreamId: string, incarnation: string): void {
		const entry = this.entries.get(upstreamId);
		if (entry?.member.incarnation === incarnation) {
			entry.isConnected = false;
			this.changeCount++;
		}
	}

	/**
	Records that a message was received from an agent.
	@param upstreamId - the upstream of the agent.
	@param state - whether it accepts new work, if the message reported that.
	@param nowMs - the current time.
	*/
	received(upstreamId: string, state: ServeState | undefined, nowMs: number): void {
		const entry = this.entries.get(upstreamId);
		if (entry) {
			entry.lastReceivedMs = nowMs;
			if (state === serveStates.leaving && !entry.isLeaving) {
				entry.isLeaving = true;
				this.changeCount++;
			}
		}
	}

	/**
	Applies an entry of the platform's host list.
	@param hostId - the host that it names.
	@param state - the state that it reports.
	*/
	applyListedState(hostId: string, state: ListedState): void {
		if (state === listedStates.leaving) {
			this.leavingHosts.add(hostId);
			for (const entry of this.entries.values()) {
				if (entry.member.hostId === hostId && !entry.isLeaving) {
					entry.isLeaving = true;
					this.changeCount++;
				}
			}
		} else {
			this.leavingHosts.delete(hostId);
		}
	}

	/**
	Sets the upstreams that are to receive no work according to the settings.
	@param upstreamIds - all of these upstreams; they replace the former ones.
	*/
	setDrained(upstreamIds: Iterable<string>): void {
		this.drainedIds = new Set(upstreamIds);
		this.changeCount++;
	}

	/**
	Returns the state of an upstream.
	@param upstreamId - the upstream.
	@param nowMs - the current time.
	@returns its state; `gone` if it is unknown or not connected.
	*/
	stateOf(upstreamId: string, nowMs: number): MemberState {
		const entry = this.entries.get(upstreamId);
		if (!entry?.isConnected) {
			return memberStates.gone;
		}

		if (entry.isLeaving || this.drainedIds.has(upstreamId)) {
			return memberStates.leaving;
		}

		return this.isSilent(entry, nowMs) ? memberStates.silent : memberStates.live;
	}

	/**
	Lists the upstreams that may receive new work.
	@param pool - the pool's name.
	@param nowMs - the current time.
	@returns the live upstreams; also the silent ones if so many are silent at once that the fault must be this host's own.
	*/
	candidates(pool: string, nowMs: number): Member[] {
		const live: Member[] = [];
		const silent: Member[] = [];
		for (const upstreamId of this.pools.get(pool) ?? []) {
			const entry = this.entries.get(upstreamId)!;
			if (!entry.isConnected || entry.isLeaving || this.drainedIds.has(upstreamId)) {
				continue;
			}

			(this.isSilent(entry, nowMs) ? silent : live).push(entry.member);
		}

		const areTooManySilent = silent.length > (live.length + silent.length) * this.options.maxSilentShare;
		return areTooManySilent ? [...live, ...silent] : live;
	}

	/**
	Forgets upstreams that have been gone for a long time.
	@param olderThanMs - time since the last message after which a disconnected upstream is forgotten.
	@param nowMs - the current time.
	*/
	forgetGone(olderThanMs: number, nowMs: number): void {
		for (const [upstreamId, entry] of this.entries) {
			if (!entry.isConnected && nowMs - entry.lastReceivedMs > olderThanMs) {
				this.entries.delete(upstreamId);
				this.pools.get(entry.member.pool)?.delete(upstreamId);
			}
		}
	}

	/** @returns all known upstreams. */
	all(): Member[] {
		return Array.from(this.entries.values(), entry => entry.member);
	}

	private isSilent(entry: Entry, nowMs: number): boolean {
		return nowMs - entry.lastReceivedMs > this.heartbeatTimeoutMs;
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
