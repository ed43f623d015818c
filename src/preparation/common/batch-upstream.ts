/** What is known of one upstream that works in batches: its call, how slow it is, its failures and its room for results. */
import type {BatchCall} from './batch-call.js';
import {ResultRoom} from './result-room.js';

/** How quickly the measured slowness follows the calls. */
const slownessWeight = 0.6;
/** After this long without a call a slow upstream is believed to be half as slow: it may have recovered. */
const slownessHalfLifeMs = 2500;
/** A call that was given up says that it would have taken longer, not how much: one that hangs is not slow without bound. */
const mostGivenUpSlowness = 20;
/** First while without work after a call failed; it doubles with each further one. */
const avoidMs = 250;
const longestAvoidMs = 2000;

/** Follows one upstream. */
export class BatchUpstream {
	static create(): BatchUpstream {
		return new BatchUpstream();
	}

	/** The call it works on. */
	call: BatchCall | undefined;
	readonly room = ResultRoom.create();
	private slowness = 1;
	private measuredMs = 0;
	private avoidedUntilMs = -Infinity;
	private failures = 0;

	isFree(nowMs: number): boolean {
		return this.call === undefined && !this.isAvoided(nowMs);
	}

	/** Whether it is left alone because calls have failed there. */
	isAvoided(nowMs: number): boolean {
		return nowMs < this.avoidedUntilMs;
	}

	/** 1 is as declared; a measured slowness fades while nothing is measured. */
	slownessAt(nowMs: number): number {
		return 1 + ((this.slowness - 1) * (2 ** (-(nowMs - this.measuredMs) / slownessHalfLifeMs)));
	}

	answered(call: BatchCall, nowMs: number): void {
		this.end(call);
		this.failures = 0;
		this.avoidedUntilMs = -Infinity;
		const ratio = (nowMs - call.sentMs) / call.expectedMs;
		this.slowness = (this.slownessAt(nowMs) * (1 - slownessWeight)) + (ratio * slownessWeight);
		this.measuredMs = nowMs;
	}

	failed(call: BatchCall, nowMs: number): void {
		this.end(call);
		const ratio = Math.min(mostGivenUpSlowness, (nowMs - call.sentMs) / call.expectedMs);
		if (nowMs >= call.limitMs && ratio > this.slownessAt(nowMs)) {
			// It was given up: where all are that slow, the next call is given more time.
			this.slowness = ratio;
			this.measuredMs = nowMs;
		}

		this.avoidedUntilMs = nowMs + Math.min(longestAvoidMs, avoidMs * (2 ** this.failures));
		this.failures++;
	}

	private end(call: BatchCall): void {
		if (this.call === call) {
			this.call = undefined;
		}
	}
}
