/** Remembers canceled works with pieces in a call in progress, so that these pieces are not queued again if the call fails. */
import type {BatchCall} from './batch-call.js';

/** Tracks the canceled works of one pool. */
export class CanceledWorks {
	static create(): CanceledWorks {
		return new CanceledWorks();
	}

	private readonly workIds = new Set<string>();

	/**
	Records a canceled work.
	@param workId - ID of the work.
	@param calls - the calls in progress; a work without a piece in any of them is not recorded.
	*/
	add(workId: string, calls: readonly BatchCall[]): void {
		if (calls.some(call => includesWork(call, workId))) {
			this.workIds.add(workId);
		}
	}

	has(workId: string): boolean {
		return this.workIds.has(workId);
	}

	/**
	Removes the works that have no piece in progress any more.
	@param calls - the calls in progress.
	*/
	sweep(calls: readonly BatchCall[]): void {
		for (const workId of this.workIds) {
			if (!calls.some(call => includesWork(call, workId))) {
				this.workIds.delete(workId);
			}
		}
	}
}

function includesWork({pieces}: BatchCall, workId: string): boolean {
	return pieces.some(({work}) => work.workId === workId);
}
