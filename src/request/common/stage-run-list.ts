/** The runs of a request's stages, as far as they came. */
import type {Attempt} from './attempt.js';
import type {StageRun} from './stage-run.js';

/** Holds runs in the order of the stages. */
export class StageRunList {
	static create(): StageRunList {
		return new StageRunList();
	}

	readonly all: StageRun[] = [];
	/** Attempts of a run that was taken out, as far as they may have run; all have ended. */
	earlier: readonly Attempt[] = [];

	get count(): number {
		return this.all.length;
	}

	/** The run of the stage the request has come to; none before its first. */
	get current(): StageRun | undefined {
		return this.all.at(-1);
	}

	/** Ids of all dispatches. */
	get dispatchIds(): string[] {
		return this.all.flatMap(run => run.attempts.dispatchIds);
	}

	/** Whether any attempt may have run. */
	get mayHaveRun(): boolean {
		return this.earlier.length > 0 || this.all.some(run => run.attempts.mayHaveRun);
	}

	/** Whether any attempt has not ended. */
	get hasLive(): boolean {
		return this.all.some(run => run.attempts.hasLive);
	}

	/** Whether the end of any attempt is not known, or not known yet. */
	get isUnsettled(): boolean {
		return this.earlier.length > 0 || this.all.some(run => run.attempts.hasLive || run.attempts.hasUnknown);
	}

	/** Whether only the first stage was begun, and no attempt is known to have started. */
	get isUnstarted(): boolean {
		return this.count === 1 && !this.all[0].attempts.hasStarted;
	}

	add(run: StageRun): void {
		this.all.push(run);
	}

	/**
	Takes a run out whose stage is begun again. What may have run of it is remembered: a caller must not be told that its
	request has not, nor an upstream be tried more often than it may be.
	@param run - one of the list.
	*/
	beginAgain(run: StageRun): void {
		this.earlier = run.attempts.all.filter(attempt => attempt.mayHaveRun);
		this.all.splice(this.all.indexOf(run), 1);
	}

	/**
	Cancels whatever still runs, and counts it as unknown.
	@param nowMs - the time.
	*/
	abandon(nowMs: number): void {
		for (const run of this.all) {
			run.abandon(nowMs);
		}
	}
}
