/** Which steps of a request read the results of which others. All steps and their order are determined once, so that requests with many steps cost little. */
import type {PreparationStep} from '../../deployment/common/declaration.js';
import {inputsFirst} from '../../deployment/common/step-order.js';

/** The steps of one request as a graph. */
export class StepGraph {
	/**
	Creates the graph.
	@param steps - as declared, numbered from 0; none of them depends on itself, directly or through others.
	@param pieceCountOf - returns the number of pieces of a step; a step without pieces takes no time.
	*/
	static create(steps: readonly PreparationStep[], pieceCountOf: (index: number) => number): StepGraph {
		return new StepGraph(steps, pieceCountOf);
	}

	/** Numbers of all steps, each after the steps that read its results. */
	readonly readersFirst: readonly number[];
	private readonly readers: readonly number[][];
	private readonly remaining: readonly number[];

	private constructor(steps: readonly PreparationStep[], private readonly pieceCountOf: (index: number) => number) {
		this.readers = steps.map((): number[] => []);
		for (const [index, {after}] of steps.entries()) {
			for (const input of new Set(after)) {
				this.readers[input]?.push(index);
			}
		}

		this.readersFirst = inputsFirst(steps).toReversed();
		this.remaining = this.longestPaths(this.readersFirst, () => 1);
	}

	/** Whether no other step depends on a step, so that the request itself reads its results. */
	isFinal(index: number): boolean {
		return this.readers[index].length === 0;
	}

	/** Numbers of the steps that read the results of a step. */
	readersOf(index: number): readonly number[] {
		return this.readers[index];
	}

	/** Number of steps on the longest path from a step to the end, including the step itself. */
	remainingSteps(index: number): number {
		return 1 + this.remaining[index];
	}

	/**
	Returns the duration of the steps that depend on a step, on the critical path, in milliseconds.
	@param index - the step; its own duration is not included.
	@param timeOf - returns the duration of a step.
	*/
	dependentsMs(index: number, timeOf: (index: number) => number): number {
		return this.isFinal(index) ? 0 : this.longestPaths(this.dependentsFirst(index), timeOf)[index];
	}

	/** Returns for each of the given steps, which are in the order of `readersFirst`, the length of the longest path behind it. */
	private longestPaths(indexes: readonly number[], lengthOf: (index: number) => number): number[] {
		const behind: number[] = [];
		for (const index of indexes) {
			let longest = 0;
			for (const reader of this.readers[index]) {
				longest = this.pieceCountOf(reader) > 0 ? Math.max(longest, lengthOf(reader) + behind[reader]) : longest;
			}

			behind[index] = longest;
		}

		return behind;
	}

	/** Returns a step and all that depend on it, in the order of `readersFirst`. */
	private dependentsFirst(index: number): number[] {
		const found = new Set([index]);
		// A set that grows while it is iterated over is iterated to its end.
		for (const each of found) {
			for (const reader of this.readers[each]) {
				found.add(reader);
			}
		}

		return this.readersFirst.filter(each => found.has(each));
	}
}
