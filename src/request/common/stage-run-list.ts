/** The runs of those stages of a request that were begun. */
import type {Attempt} from './attempt.js';
import type {StageAnswer} from './stage-answer.js';
import type {StageRun} from './stage-run.js';
import type {StreamOrigin} from './stream-origin.js';

/** Holds stage runs in the order of the stages. */
export class StageRunList {
	static create(): StageRunList {
		return new StageRunList();
	}

	readonly all: StageRun[] = [];
	/** Attempts of a removed run that may have run; all of them have ended. */
	earlierAttempts: readonly Attempt[] = [];
	/** What the caller has received of the answer from a removed run. */
	begunAnswer: StageAnswer | undefined;
	/** Origin of the stream that a removed run has begun. */
	earlierOrigin: StreamOrigin | undefined;
	/** Runs that were removed, as their stage was begun again; none of their attempts is live. */
	private readonly removed: StageRun[] = [];

	get count(): number {
		return this.all.length;
	}

	/** The run of the latest stage begun; `undefined` before the first one. */
	get current(): StageRun | undefined {
		return this.all.at(-1);
	}

	/** Ids of all dispatches, including those of removed runs. */
	get dispatchIds(): string[] {
		return [...this.removed, ...this.all].flatMap(run => run.attempts.dispatchIds);
	}

	/** The runs whose traces tell what became of the request: a removed one only where its stage was not begun again. */
	get traced(): readonly StageRun[] {
		return this.count === 0 ? this.removed.slice(-1) : this.all;
	}

	/** Whether any attempt may have run. */
	get mayHaveRun(): boolean {
		return this.earlierAttempts.length > 0 || this.all.some(run => run.attempts.mayHaveRun);
	}

	/** Whether any attempt is still live. */
	get hasLive(): boolean {
		return this.all.some(run => run.attempts.hasLive);
	}

	/** Whether the result of any attempt is unknown or still pending; attempts of a removed run always count. */
	get isUnsettled(): boolean {
		return this.earlierAttempts.length > 0 || this.all.some(run => run.attempts.hasLive || run.attempts.hasUnknown);
	}

	/** Whether only the first stage was begun and none of its attempts is known to have started. */
	get isUnstarted(): boolean {
		return this.count === 1 && !this.all[0].attempts.hasStarted;
	}

	add(run: StageRun): void {
		this.all.push(run);
	}

	/**
	Removes a run whose stage is begun again. Its attempts that may have run are kept, so that the caller is not told that its
	request has not run, and the stage does not exceed its maximum number of attempts; what the caller has received is kept, so that it is continued.
	@param run - a run in the list.
	*/
	removeForRestart(run: StageRun): void {
		this.earlierAttempts = run.attempts.all.filter(attempt => attempt.mayHaveRun);
		this.begunAnswer = run.begunAnswer;
		this.earlierOrigin = run.stage.origin;
		this.all.splice(this.all.indexOf(run), 1);
		this.removed.push(run);
	}

	/**
	Cancels all live attempts and records their results as unknown.
	@param nowMs - the current time.
	*/
	abandon(nowMs: number): void {
		for (const run of this.all) {
			run.abandon(nowMs);
		}
	}
}
