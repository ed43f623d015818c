/** Dispatches that have ended: none of them is run again, and some may be asked about. */
import type {GateJob} from './gate-job.js';

/** Ids that are remembered, so that a doubled dispatch is not run. */
const rememberedIds = 20_000;
/** How long results of work that may not be repeated are kept for an entry that lost its connection. */
const keptResultMs = 60_000;

/** Remembers ended dispatches, the oldest forgotten first. */
export class EndedJobs {
	static create(): EndedJobs {
		return new EndedJobs();
	}

	private readonly jobs = new Map<string, GateJob | undefined>();

	has(dispatchId: string): boolean {
		return this.jobs.has(dispatchId);
	}

	/** @returns the job, where its result is kept. */
	get(dispatchId: string): GateJob | undefined {
		return this.jobs.get(dispatchId);
	}

	/**
	Remembers an id, with its result if it may be asked about.
	@param dispatchId - the id.
	@param job - its job, or nothing.
	*/
	remember(dispatchId: string, job: GateJob | undefined): void {
		this.jobs.set(dispatchId, job?.dispatch.isRepeatable === false ? job : undefined);
		if (this.jobs.size > rememberedIds) {
			const [oldest] = this.jobs.keys();
			this.jobs.delete(oldest);
		}
	}

	/** Drops old results; their ids stay remembered. */
	dropOldResults(nowMs: number): void {
		for (const [dispatchId, job] of this.jobs) {
			if (job?.endedMs !== undefined && nowMs - job.endedMs > keptResultMs) {
				this.jobs.set(dispatchId, undefined);
			}
		}
	}
}
