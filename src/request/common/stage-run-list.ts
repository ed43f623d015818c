/** The runs of a request's stages, as far as they came. */
import type {StageRun} from './stage-run.js';

/** Holds runs in the order of the stages. */
export class StageRunList {
	static create(): StageRunList {
		return new StageRunList();
	}

	readonly all: StageRun[] = [];

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
		return this.all.some(run => run.attempts.mayHaveRun);
	}

	/** Whether any attempt has not ended. */
	get hasLive(): boolean {
		return this.all.some(run => run.attempts.hasLive);
	}

	/** Whether the end of any attempt is not known, or not known yet. */
	get isUnsettled(): boolean {
		return this.all.some(run => run.attempts.hasLive || run.attempts.hasUnknown);
	}

	/** Whether only the first stage was begun, and no attempt is known to have started. */
	get isUnstarted(): boolean {
		return this.count === 1 && !this.all[0].attempts.hasStarted;
	}

	add(run: StageRun): void {
		this.all.push(run);
	}

	/**
	Takes a run out whose stage is begun again.
	@param run - one of the list.
	*/
	remove(run: StageRun): void {
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
