/**
Decides when a peer needs a heartbeat on a connection: if no other message has shown that this host is alive, if the state in force
on this host has changed, or if that state was last sent a while ago. Every message counts as a sign of life, because hosts under
load send each other messages several times a second, and heartbeats in addition made up most of their messages.
*/
import {isHighCapacity} from '../../routing/common/host-capacity.js';

/** Interval between signs of life if one of the two hosts does work for the other. */
export const defaultHeartbeatIntervalMs = 500;
/** Interval between two hosts that do no work for each other: each only needs to know how many such hosts there are. */
const sparseHeartbeatIntervalMs = 2000;
/** The state in force is sent again after this many intervals: a peer that requested it and got no reply asks again at the next heartbeat. */
const intervalsPerStateRefresh = 2;
/** A connection on which nothing arrives for this many announced intervals is dead: that is the time of three heartbeats, one of them lost. */
const maxSilentIntervals = 3.2;

/**
Returns how often two hosts need signs of life from each other. Low-capacity hosts do not batch, read or gather for others, so
a loss may be noticed late between two of them. In a fleet of 68 hosts, 53 of them with low capacity, each of those receives 56 signs of
life a second instead of 134.
@param capacities - capacities of the two hosts for shared work, in cores.
@param maxCapacity - capacity of the host that has the most.
@returns the interval in milliseconds.
*/
export function heartbeatIntervalMs(capacities: readonly [number, number], maxCapacity: number): number {
	return capacities.some(capacity => isHighCapacity(capacity, maxCapacity)) ? defaultHeartbeatIntervalMs : sparseHeartbeatIntervalMs;
}

/**
Returns how long a connection may be silent before it is considered dead.
@param intervalMs - how often the other side sends something, as it announced; absent if it announces no interval.
@returns the time in milliseconds.
*/
export function maxSilenceMs(intervalMs: number | undefined): number {
	return maxSilentIntervals * (intervalMs ?? defaultHeartbeatIntervalMs);
}

/** Tracks what was last sent to a peer on one connection. */
export class HeartbeatSchedule {
	static create(): HeartbeatSchedule {
		return new HeartbeatSchedule();
	}

	private lastSentMs = -Infinity;
	private lastState = '';
	private lastHeartbeatMs = -Infinity;

	/** Records that a message was sent. */
	recordSend(nowMs: number): void {
		this.lastSentMs = nowMs;
	}

	/**
	Records that a heartbeat was sent.
	@param state - the state it carried, as a string to compare.
	@param nowMs - the current time.
	*/
	recordHeartbeat(state: string, nowMs: number): void {
		this.recordSend(nowMs);
		this.lastState = state;
		this.lastHeartbeatMs = nowMs;
	}

	/**
	Checks whether a heartbeat is due.
	@param state - the state it would carry, as a string to compare.
	@param intervalMs - how often the peer needs a sign of life.
	@param nowMs - the current time.
	*/
	isNeeded(state: string, intervalMs: number, nowMs: number): boolean {
		return state !== this.lastState || nowMs - this.lastSentMs >= intervalMs || nowMs - this.lastHeartbeatMs >= intervalsPerStateRefresh * intervalMs;
	}
}
