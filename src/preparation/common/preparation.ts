/** State of the preparation of one request: which pieces can start, which results exist, and what must be computed again. */
import type {PreparationStep} from '../../deployment/common/declaration.js';
import type {ResultRef, StepWork} from './work.js';

/** A deferrable step starts once the longest other path has no more than this many steps remaining. */
const maxOtherRemainingSteps = 2;

type Step = {
	readonly declared: PreparationStep;
	readonly results: Array<ResultRef | undefined>;
	readonly pending: Set<number>;
	/** Pieces that were requested at least once. */
	readonly requested: Set<number>;
	/** Pending pieces whose inputs must have been fetched by calls in progress. */
	readonly fetched: Set<number>;
	/** Whether its results were released because every step that reads them is done, or has fetched them. */
	isReleased: boolean;
};

/** Tracks the steps of one request; does not call any upstream itself. */
export class Preparation {
	/**
	Creates the state; nothing is requested before `advance`.
	@param steps - as declared, numbered from 0.
	@param pieceCounts - number of pieces of each step; a step without pieces is skipped.
	@param isRepeat - whether all pieces were requested before.
	*/
	static create(steps: readonly PreparationStep[], pieceCounts: readonly number[], isRepeat = false): Preparation {
		return new Preparation(steps, pieceCounts, isRepeat);
	}

	private readonly steps: readonly Step[];

	private constructor(declared: readonly PreparationStep[], pieceCounts: readonly number[], isRepeat: boolean) {
		this.steps = declared.map((step, index) => {
			const results = Array.from({length: pieceCounts[index] ?? 1}, () => undefined);
			return {
				declared: step,
				results,
				pending: new Set<number>(),
				requested: new Set<number>(isRepeat ? results.keys() : []),
				fetched: new Set<number>(),
				isReleased: false,
			};
		});
	}

	/** Whether all results that the request reads are available. */
	get isComplete(): boolean {
		return this.steps.every((step, index) => !this.isFinal(index) || isDone(step));
	}

	/** Results that the request itself reads: those of the steps on which no other step depends. */
	get finalRefs(): ResultRef[] {
		return this.steps.flatMap((step, index) => this.isFinal(index) && !step.isReleased ? availableRefs(step) : []);
	}

	/** Results that the request itself reads, each with the upstream that stores it and its size in bytes. */
	finalSizes(): Array<{readonly serverId: string; readonly bytes: number}> {
		return this.steps.flatMap((step, index) => this.isFinal(index) && !step.isReleased
			? availableRefs(step).map(({serverId}) => ({serverId, bytes: step.declared.resultBytes}))
			: []);
	}

	/** All results that are stored somewhere. */
	get allRefs(): ResultRef[] {
		return this.steps.flatMap(step => step.isReleased ? [] : availableRefs(step));
	}

	/** Whether any of the results that the request itself reads were released. */
	get areFinalsReleased(): boolean {
		return this.steps.some((step, index) => step.isReleased && step.results.length > 0 && this.isFinal(index));
	}

	/**
	Takes the results that nothing will read any more, so that they can be released: the space for results limits what a
	pool can do.
	@returns the results.
	*/
	takeUnneeded(): ResultRef[] {
		const unneeded: ResultRef[] = [];
		for (const [index, step] of this.steps.entries()) {
			if (!step.isReleased && !this.isNeeded(index) && isDone(step)) {
				step.isReleased = true;
				unneeded.push(...availableRefs(step));
			}
		}

		return unneeded;
	}

	/**
	Takes the results that the request itself reads, so that they can be released once it has read them.
	@returns the results.
	*/
	takeFinalRefs(): ResultRef[] {
		const finals = this.finalRefs;
		for (const [index, step] of this.steps.entries()) {
			step.isReleased ||= this.isFinal(index);
		}

		return finals;
	}

	/**
	Takes all results that are stored somewhere, so that they can be released.
	@returns the results.
	*/
	takeAllRefs(): ResultRef[] {
		const refs = this.allRefs;
		for (const step of this.steps) {
			step.isReleased = true;
		}

		return refs;
	}

	/**
	Returns the duration of the steps that depend on a step, on the critical path, in milliseconds.
	@param index - the step; its own duration is not included.
	@param timeOf - returns the duration of a step of a pool.
	*/
	dependentsMs(index: number, timeOf: (pool: string) => number): number {
		const pathsMs = this.steps.flatMap(({declared, results}, other) =>
			declared.after.includes(index) && results.length > 0 ? [timeOf(declared.pool) + this.dependentsMs(other, timeOf)] : []);
		return Math.max(0, ...pathsMs);
	}

	/** Number of steps on the longest path from a step to the end, including the step itself. */
	remainingSteps(index: number): number {
		const counts = this.steps.flatMap(({declared, results}, other) =>
			declared.after.includes(index) && results.length > 0 ? [this.remainingSteps(other)] : []);
		return 1 + Math.max(0, ...counts);
	}

	/**
	Returns the work that can start now and has not been requested.
	@returns work; its pieces count as requested from now on.
	*/
	advance(): StepWork[] {
		this.renewReleased();
		const works: StepWork[] = [];
		for (const [index, step] of this.steps.entries()) {
			const missing = step.results.flatMap((result, piece) => result !== undefined || step.pending.has(piece) ? [] : [piece]);
			if (missing.length === 0 || !this.isNeeded(index) || !this.hasInputs(step) || this.canDefer(index)) {
				continue;
			}

			const inputs = this.inputsOf(step);
			const first = missing.filter(piece => !step.requested.has(piece));
			const repeated = missing.filter(piece => step.requested.has(piece));
			if (first.length > 0) {
				works.push({step: index, pieces: first, inputs});
			}

			if (repeated.length > 0) {
				works.push({
					step: index, pieces: repeated, inputs, isRepeat: true,
				});
			}

			for (const piece of missing) {
				step.pending.add(piece);
				step.requested.add(piece);
			}
		}

		return works;
	}

	/** Results that each piece of a step reads. */
	inputRefs(index: number): ResultRef[] {
		return this.steps[index].declared.after.flatMap(input => availableRefs(this.steps[input]));
	}

	/** Approximate number of bytes that each piece of a step reads. */
	inputBytes(index: number): number {
		let sumBytes = 0;
		for (const input of this.steps[index].declared.after) {
			const {declared, results} = this.steps[input];
			sumBytes += declared.resultBytes * results.length;
		}

		return sumBytes;
	}

	/**
	Records the result of a piece.
	@param index - its step.
	@param piece - its number.
	@param ref - its result.
	@returns false if the result is not needed, as when another one arrived first.
	*/
	completePiece(index: number, piece: number, ref: ResultRef): boolean {
		const step = this.steps[index];
		endPiece(step, piece);
		if (step.results[piece]) {
			return false;
		}

		step.results[piece] = ref;
		return true;
	}

	/**
	Records that a piece failed; it may be requested again.
	@param index - its step.
	@param piece - its number.
	*/
	failPiece(index: number, piece: number): void {
		endPiece(this.steps[index], piece);
	}

	/**
	Records that calls in progress must have fetched the inputs of pieces. Once that holds for all pieces of a step that are not done,
	the step needs its inputs no longer, unless a call fails. Ignored for pieces that were requested with other inputs than the step
	reads now: they may find these gone.
	@param index - the step.
	@param pieces - numbers of the pieces.
	@param inputs - handles of the inputs with which they were requested.
	*/
	handleFetched(index: number, pieces: readonly number[], inputs: readonly string[] | undefined): void {
		if (this.hasOtherInputs(index, inputs)) {
			return;
		}

		const {pending, fetched} = this.steps[index];
		for (const piece of pieces) {
			if (pending.has(piece)) {
				fetched.add(piece);
			}
		}
	}

	/**
	Whether a step reads other inputs now than those with which a piece was requested: some of them were discarded or computed again.
	@param index - the step.
	@param inputs - handles of the inputs with which the piece was requested.
	*/
	hasOtherInputs(index: number, inputs: readonly string[] | undefined): boolean {
		const current = this.inputsOf(this.steps[index]) ?? [];
		return current.length !== (inputs?.length ?? 0) || current.some((handle, position) => handle !== inputs?.[position]);
	}

	/**
	Discards inputs of a step that were reported lost. Released ones are not: `advance` requests them again. They explain the loss, so
	that of the other inputs only those are discarded whose server is gone.
	@param index - the step that was to read them.
	@param isListed - whether a server is still listed; if all of them are, all inputs are computed again.
	@returns the discarded results.
	*/
	discardInputs(index: number, isListed: (serverId: string) => boolean): ResultRef[] {
		const {after} = this.steps[index].declared;
		const stored = after.filter(input => !this.steps[input].isReleased);
		return this.discard(stored, isListed, stored.length < after.length);
	}

	/**
	Discards lost results that the request itself was to read.
	@param isStored - whether a server still stores its results, as far as is known.
	@param isDoubted - whether none are discarded if all of them seem to be stored; otherwise all are computed again then.
	@returns the discarded results.
	*/
	discardFinals(isStored: (serverId: string) => boolean, isDoubted = false): ResultRef[] {
		return this.discard([...this.steps.keys()].filter(index => this.isFinal(index) && !this.steps[index].isReleased), isStored, isDoubted);
	}

	/** Requests released results again if they are needed once more: a result computed from them is lost, or a call that had fetched them failed. */
	private renewReleased(): void {
		for (const [index, step] of [...this.steps.entries()].toReversed()) {
			if (step.isReleased && this.isNeeded(index)) {
				step.isReleased = false;
				step.results.fill(undefined);
				this.forgetFetched(index);
			}
		}
	}

	private discard(indexes: readonly number[], isListed: (serverId: string) => boolean, isExplained = false): ResultRef[] {
		const refs = indexes.flatMap(index => availableRefs(this.steps[index]));
		const lost = refs.filter(ref => !isListed(ref.serverId));
		const discarded = new Set(lost.length > 0 || isExplained ? lost : refs);
		for (const index of indexes) {
			const {results} = this.steps[index];
			this.forgetFetched(index);
			for (const [piece, ref] of results.entries()) {
				if (ref && discarded.has(ref)) {
					results[piece] = undefined;
				}
			}
		}

		return [...discarded];
	}

	/**
	Drops what is known of the pieces that read the results of a step, where some of them need these again: the calls of the others may
	have failed as well.
	*/
	private forgetFetched(index: number): void {
		for (const reader of this.steps) {
			if (reader.declared.after.includes(index) && !hasRead(reader)) {
				reader.fetched.clear();
			}
		}
	}

	private isFinal(index: number): boolean {
		return this.steps.every(({declared}) => !declared.after.includes(index));
	}

	/**
	Whether a step that reads no results, and whose results only the request itself reads, can be deferred. It would be done
	long before the others, and its results would use space meanwhile. It starts once the longest other path has `maxOtherRemainingSteps` steps left: as many as this step, and one more.
	*/
	private canDefer(index: number): boolean {
		if (!this.isFinal(index) || this.steps[index].declared.after.length > 0) {
			return false;
		}

		const others = this.steps.flatMap((step, other) => other !== index && !isDone(step) && this.hasInputs(step) ? [this.remainingSteps(other)] : []);
		return Math.max(0, ...others) > maxOtherRemainingSteps;
	}

	/** Whether something still has to read the results of this step. */
	private isNeeded(index: number): boolean {
		return this.isFinal(index) || this.steps.some((other, otherIndex) =>
			other.declared.after.includes(index) && !hasRead(other) && this.isNeeded(otherIndex));
	}

	private hasInputs({declared}: Step): boolean {
		return declared.after.every(index => isDone(this.steps[index]));
	}

	private inputsOf({declared}: Step): string[] | undefined {
		return declared.after.length === 0
			? undefined
			: declared.after.flatMap(index => availableRefs(this.steps[index]).map(ref => ref.handle));
	}
}

function isDone(step: Step): boolean {
	return step.results.every(Boolean);
}

/** Whether all pieces of a step are done or must have fetched their inputs. */
function hasRead({results, fetched}: Step): boolean {
	return results.every((result, piece) => result !== undefined || fetched.has(piece));
}

function endPiece({pending, fetched}: Step, piece: number): void {
	pending.delete(piece);
	fetched.delete(piece);
}

function availableRefs(step: Step): ResultRef[] {
	return step.results.filter(ref => ref !== undefined);
}
