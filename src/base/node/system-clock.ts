/** The machine's own time. */
import {performance} from 'node:perf_hooks';
import type {Clock} from '../common/clock.js';
import type {Disposable} from '../common/disposable.js';

/** Time and timers of the running process. */
export class SystemClock implements Clock {
	static create(): SystemClock {
		return new SystemClock();
	}

	nowMs(): number {
		return performance.now();
	}

	wallMs(): number {
		return Date.now();
	}

	setTimer(delayMs: number, run: () => void): Disposable {
		const timer = setTimeout(run, Math.max(0, delayMs));
		return {
			dispose() {
				clearTimeout(timer);
			},
		};
	}
}
