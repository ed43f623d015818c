/** The work before one request: which pieces may be worked on, which results are there, what is made again. */
import type {PreparationStep} from '../../deployment/common/declaration.js';
import type {ResultRef, StepWork} from './work.js';

/** Steps that the longest other way may still have when a step beside it begins. */
const headStartSteps = 2;

type Step = {
	readonly declared: PreparationStep;
	readonly results: Array<ResultRef | undefined>;
	readonly pending: Set<number>;
	/** Whether its results were given up because every step that reads them is done. */
	isSpent: boolean;
};

/** Follows the steps of one request; touches no upstream itself. */
export class Preparation {
	/**
	Makes the follower; nothing is asked for before `advance`.
	@param steps - as declared, numbered from 0.
	@param pieceCounts - pieces of each step; a step with none is left out.
	*/
	static create(steps: readonly PreparationStep[], pieceCounts: readonly number[]): Preparation {
		return new Preparation(steps, pieceCounts);
	}

	private readonly steps: readonly Step[];

	private constructor(declared: readonly PreparationStep[], pieceCounts: readonly number[]) {
		this.steps = declared.map((step, index) => ({
			declared: step,
			results: Array.from({length: pieceCounts[index] ?? 1}, () => undefined),
			pending: new Set<number>(),
			isSpent: false,
		}));
	}

	/** Whether everything the request reads is there. */
	get isComplete(): boolean {
		return this.steps.every((step, index) => !this.isLast(index) || isDone(step));
	}

	/** Results that the request itself reads: those of the steps that no other step comes after. */
	get finalRefs(): ResultRef[] {
		return this.steps.flatMap((step, index) => this.isLast(index) && !step.isSpent ? present(step) : []);
	}

	/** The same results, each with its upstream and its size. */
	finalSizes(): Array<{readonly serverId: string; readonly bytes: number}> {
		return this.steps.flatMap((step, index) => this.isLast(index) && !step.isSpent
			? present(step).map(({serverId}) => ({serverId, bytes: step.declared.resultBytes}))
			: []);
	}

	/** Every result that is kept somewhere. */
	get allRefs(): ResultRef[] {
		return this.steps.flatMap(step => step.isSpent ? [] : present(step));
	}

	/**
	Gives up results that nothing will read any more: room for results bounds what a pool can do.
	@returns the results.
	*/
	takeSpent(): ResultRef[] {
		const spent: ResultRef[] = [];
		for (const [index, step] of this.steps.entries()) {
			if (!step.isSpent && !this.isNeeded(index) && isDone(step)) {
				step.isSpent = true;
				spent.push(...present(step));
			}
		}

		return spent;
	}

	/**
	Gives up the results that the request itself reads, once it has read them.
	@returns the results.
	*/
	takeFinals(): ResultRef[] {
		const finals = this.finalRefs;
		for (const [index, step] of this.steps.entries()) {
			step.isSpent ||= this.isLast(index);
		}

		return finals;
	}

	/**
	Tells how long the steps behind one take, on the longest way.
	@param index - the step; it does not count itself.
	@param timeOf - tells how long a step of a pool takes.
	*/
	timeBehindMs(index: number, timeOf: (pool: string) => number): number {
		const ways = this.steps.flatMap(({declared, results}, other) =>
			declared.after.includes(index) && results.length > 0 ? [timeOf(declared.pool) + this.timeBehindMs(other, timeOf)] : []);
		return Math.max(0, ...ways);
	}

	/** Steps that are still to come behind a step, the step itself included, on the longest way. */
	stepsLeft(index: number): number {
		const behind = this.steps.flatMap(({declared, results}, other) =>
			declared.after.includes(index) && results.length > 0 ? [this.stepsLeft(other)] : []);
		return 1 + Math.max(0, ...behind);
	}

	/**
	Gives the work that may be done now and has not been asked for.
	@returns work; its pieces count as asked for from now on.
	*/
	advance(): StepWork[] {
		this.renewSpent();
		const works: StepWork[] = [];
		for (const [index, step] of this.steps.entries()) {
			const missing = step.results.flatMap((result, piece) => result !== undefined || step.pending.has(piece) ? [] : [piece]);
			if (missing.length === 0 || !this.isNeeded(index) || !this.hasInputs(step) || this.canWait(index)) {
				continue;
			}

			for (const piece of missing) {
				step.pending.add(piece);
			}

			works.push({step: index, pieces: missing, inputs: this.inputsOf(step)});
		}

		return works;
	}

	/** Results that each piece of a step reads. */
	inputRefs(index: number): ResultRef[] {
		return this.steps[index].declared.after.flatMap(input => present(this.steps[input]));
	}

	/** Bytes that each piece of a step reads, about. */
	inputBytes(index: number): number {
		let sumBytes = 0;
		for (const input of this.steps[index].declared.after) {
			const {declared, results} = this.steps[input];
			sumBytes += declared.resultBytes * results.length;
		}

		return sumBytes;
	}

	/**
	A piece is done.
	@param index - its step.
	@param piece - its number.
	@param ref - its result.
	@returns false if the result is not wanted, as when another one came first.
	*/
	done(index: number, piece: number, ref: ResultRef): boolean {
		const step = this.steps[index];
		step.pending.delete(piece);
		if (step.results[piece]) {
			return false;
		}

		step.results[piece] = ref;
		return true;
	}

	/**
	A piece was not done; it may be asked for again.
	@param index - its step.
	@param piece - its number.
	*/
	failed(index: number, piece: number): void {
		this.steps[index].pending.delete(piece);
	}

	/**
	Results a piece was to read are lost.
	@param index - the step that was to read them.
	@param isKept - tells whether a server is still there; where it says yes of all, all are made again.
	@returns the results that are given up.
	*/
	inputsLost(index: number, isKept: (serverId: string) => boolean): ResultRef[] {
		return this.giveUp(this.steps[index].declared.after, isKept);
	}

	/**
	Results the request itself was to read are lost.
	@param isKept - as for `inputsLost`.
	@returns the results that are given up.
	*/
	finalsLost(isKept: (serverId: string) => boolean): ResultRef[] {
		return this.giveUp([...this.steps.keys()].filter(index => this.isLast(index) && !this.steps[index].isSpent), isKept);
	}

	/** A result was lost behind a step whose own results are given up already: these are made again as well. */
	private renewSpent(): void {
		for (const [index, step] of [...this.steps.entries()].toReversed()) {
			if (step.isSpent && this.isNeeded(index)) {
				step.isSpent = false;
				step.results.fill(undefined);
			}
		}
	}

	private giveUp(indexes: readonly number[], isKept: (serverId: string) => boolean): ResultRef[] {
		const refs = indexes.flatMap(index => present(this.steps[index]));
		const lost = refs.filter(ref => !isKept(ref.serverId));
		const given = new Set(lost.length > 0 ? lost : refs);
		for (const index of indexes) {
			const {results} = this.steps[index];
			for (const [piece, ref] of results.entries()) {
				if (ref && given.has(ref)) {
					results[piece] = undefined;
				}
			}
		}

		return [...given];
	}

	private isLast(index: number): boolean {
		return this.steps.every(({declared}) => !declared.after.includes(index));
	}

	/**
	Whether a step that only the request itself reads would be done long before the others: its results
	would take room meanwhile. It begins when the longest other way has as many steps left, and one more.
	*/
	private canWait(index: number): boolean {
		if (!this.isLast(index) || this.steps[index].declared.after.length > 0) {
			return false;
		}

		const others = this.steps.flatMap((step, other) => other !== index && !isDone(step) && this.hasInputs(step) ? [this.stepsLeft(other)] : []);
		return Math.max(0, ...others) > headStartSteps;
	}

	/** Whether something still has to read this step's results. */
	private isNeeded(index: number): boolean {
		return this.isLast(index) || this.steps.some((other, otherIndex) =>
			other.declared.after.includes(index) && !isDone(other) && this.isNeeded(otherIndex));
	}

	private hasInputs({declared}: Step): boolean {
		return declared.after.every(index => isDone(this.steps[index]));
	}

	private inputsOf({declared}: Step): string[] | undefined {
		return declared.after.length === 0
			? undefined
			: declared.after.flatMap(index => present(this.steps[index]).map(ref => ref.handle));
	}
}

function isDone(step: Step): boolean {
	return step.results.every(Boolean);
}

function present(step: Step): ResultRef[] {
	return step.results.filter(ref => ref !== undefined);
}
