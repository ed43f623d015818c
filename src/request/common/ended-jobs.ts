/** The ended dispatches of a gate: none of them is run again, and the results of some can still be queried. */
import type {GateJob} from './gate-job.js';

/** Number of dispatch ids that are remembered, so that a duplicated dispatch is not run. */
const maxRememberedIds = 20_000;
/** How long the results of work that may not be repeated are retained for an entry that lost its connection. */
const resultRetentionMs = 60_000;

/** Remembers ended dispatches; the oldest are evicted first. */
export class EndedJobs {
	static create(): EndedJobs {
		return new EndedJobs();
	}

	private readonly jobs = new Map<string, GateJob | undefined>();

	has(dispatchId: string): boolean {
		return this.jobs.has(dispatchId);
	}

	/** @returns the job, or `undefined` if its result is not retained. */
	get(dispatchId: string): GateJob | undefined {
		return this.jobs.get(dispatchId);
	}

	/**
	Remembers an ended dispatch. Its result is retained only if the work may not be repeated, since only then can an entry
	query it.
	@param dispatchId - the id of the dispatch.
	@param job - the job with the result, or `undefined` if there is none.
	*/
	remember(dispatchId: string, job: GateJob | undefined): void {
		this.jobs.set(dispatchId, job?.dispatch.isRepeatable === false ? job : undefined);
		if (this.jobs.size > maxRememberedIds) {
			const [oldest] = this.jobs.keys();
			this.jobs.delete(oldest);
		}
	}

	/** Drops expired results; their ids stay remembered. */
	dropExpiredResults(nowMs: number): void {
		for (const [dispatchId, job] of this.jobs) {
			if (job?.endedMs !== undefined && nowMs - job.endedMs > resultRetentionMs) {
				this.jobs.set(dispatchId, undefined);
			}
		}
	}
}
