/** Sums of the work that requests have reserved in one pool. */
import type {Demand} from './demand-window.js';

/** Sum of the reservations of one rank and workspace. */
export type ReservedSum = {requests: number; serverMs: number; resultBytes: number};

/** Reservations by rank and workspace: a quote must not depend on their number. */
export class ReservedSums {
	static create(): ReservedSums {
		return new ReservedSums();
	}

	private readonly sums = new Map<number, Map<string, ReservedSum>>();

	/** Adds a reservation. */
	add(rank: number, workspace: string, {serverMs, resultBytes}: Demand): void {
		let byWorkspace = this.sums.get(rank);
		if (!byWorkspace) {
			byWorkspace = new Map();
			this.sums.set(rank, byWorkspace);
		}

		const sum = byWorkspace.get(workspace) ?? {requests: 0, serverMs: 0, resultBytes: 0};
		sum.requests++;
		sum.serverMs += serverMs;
		sum.resultBytes += resultBytes;
		byWorkspace.set(workspace, sum);
	}

	/** Subtracts a part of a reservation that remains. */
	subtract(rank: number, workspace: string, {serverMs, resultBytes}: Demand): void {
		const sum = this.of(rank, workspace);
		sum.serverMs -= serverMs;
		sum.resultBytes -= resultBytes;
	}

	/** Removes a reservation with what is left of it. */
	remove(rank: number, workspace: string, rest: Demand): void {
		this.subtract(rank, workspace, rest);
		const sum = this.of(rank, workspace);
		sum.requests--;
		if (sum.requests === 0) {
			// Also ends the rounding errors of the sum.
			this.sums.get(rank)!.delete(workspace);
		}
	}

	of(rank: number, workspace: string): ReservedSum {
		return this.sums.get(rank)!.get(workspace)!;
	}

	* entries(): Iterable<{readonly rank: number; readonly workspace: string; readonly sum: ReservedSum}> {
		for (const [rank, byWorkspace] of this.sums) {
			for (const [workspace, sum] of byWorkspace) {
				yield {rank, workspace, sum};
			}
		}
	}
}
