/** State of the preparation of one request: which pieces can start, which results exist, and what must be computed again. */
import type {PreparationStep} from '../../deployment/common/declaration.js';
import {StepGraph} from './step-graph.js';
import type {ResultRef, StepWork} from './work.js';

/** A deferrable step starts once the longest other path has no more than this many steps remaining. */
const maxOtherRemainingSteps = 2;

type Step = {
	readonly declared: PreparationStep;
	readonly results: Array<ResultRef | undefined>;
	readonly pending: Set<number>;
	/** Pieces that were requested at least once. */
	readonly requested: Set<number>;
	/** Pending pieces whose inputs must have been fetched by calls in progress; none of them has a result. */
	readonly fetched: Set<number>;
	/** Number of pieces without a result. */
	missingCount: number;
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
	private readonly graph: StepGraph;
	/** Steps on which no other step depends. */
	private readonly finals: readonly number[];

	private constructor(declared: readonly PreparationStep[], pieceCounts: readonly number[], isRepeat: boolean) {
		this.graph = StepGraph.create(declared, index => pieceCounts[index] ?? 1);
		this.finals = [...declared.keys()].filter(index => this.graph.isFinal(index));
		this.steps = declared.map((step, index) => {
			const results = Array.from({length: pieceCounts[index] ?? 1}, () => undefined);
			return {
				declared: step,
				results,
				pending: new Set<number>(),
				requested: new Set<number>(isRepeat ? results.keys() : []),
				fetched: new Set<number>(),
				missingCount: results.length,
				isReleased: false,
			};
		});
	}

	/** Whether all results that the request reads are available. */
	get isComplete(): boolean {
		return this.finals.every(index => isDone(this.steps[index]));
	}

	/** Results that the request itself reads: those of the steps on which no other step depends. */
	get finalRefs(): ResultRef[] {
		return this.storedFinals.flatMap(step => availableRefs(step));
	}

	/** Results that the request itself reads, each with the upstream that stores it and its size in bytes. */
	finalSizes(): Array<{readonly serverId: string; readonly bytes: number}> {
		return this.storedFinals.flatMap(step => availableRefs(step).map(({serverId}) => ({serverId, bytes: step.declared.resultBytes})));
	}

	/** All results that are stored somewhere. */
	get allRefs(): ResultRef[] {
		return this.steps.flatMap(step => step.isReleased ? [] : availableRefs(step));
	}

	/** Whether any of the results that the request itself reads were released. */
	get areFinalsReleased(): boolean {
		return this.finals.some(index => this.steps[index].isReleased && this.steps[index].results.length > 0);
	}

	/**
	Takes the results that nothing will read any more, so that they can be released: the space for results limits what a
	pool can do.
	@returns the results.
	*/
	takeUnneeded(): ResultRef[] {
		const unneeded: ResultRef[] = [];
		const needed = this.neededSteps();
		for (const [index, step] of this.steps.entries()) {
			if (!step.isReleased && !needed[index] && isDone(step)) {
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
		for (const index of this.finals) {
			this.steps[index].isReleased = true;
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
		return this.graph.dependentsMs(index, other => timeOf(this.steps[other].declared.pool));
	}

	/**
	Returns the work that can start now and has not been requested.
	@returns work; its pieces count as requested from now on.
	*/
	advance(): StepWork[] {
		const needed = this.renewReleased();
		const canDefer = this.canDeferFinals();
		const works: StepWork[] = [];
		for (const [index, step] of this.steps.entries()) {
			const isDeferred = canDefer && this.graph.isFinal(index) && step.declared.after.length === 0;
			if (step.missingCount <= step.pending.size || !needed[index] || !this.hasInputs(step) || isDeferred) {
				continue;
			}

			const missing = step.results.flatMap((result, piece) => result !== undefined || step.pending.has(piece) ? [] : [piece]);
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
		step.missingCount--;
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
		return this.discard(this.finals.filter(index => !this.steps[index].isReleased), isStored, isDoubted);
	}

	/** Steps whose results the request itself reads and that are stored. */
	private get storedFinals(): Step[] {
		return this.finals.map(index => this.steps[index]).filter(step => !step.isReleased);
	}

	/**
	Requests released results again if they are needed once more: a result computed from them is lost, or a call that had fetched them failed.
	@returns for each step whether something still has to read its results.
	*/
	private renewReleased(): boolean[] {
		return this.neededSteps((index, step) => {
			if (step.isReleased) {
				step.isReleased = false;
				step.results.fill(undefined);
				step.missingCount = step.results.length;
				this.forgetFetched(index);
			}
		});
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
					this.steps[index].missingCount++;
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
		for (const reader of this.graph.readersOf(index).map(each => this.steps[each])) {
			if (!hasRead(reader)) {
				reader.fetched.clear();
			}
		}
	}

	/**
	Whether steps that read no results, and whose results only the request itself reads, can be deferred. They would be done
	long before the others, and their results would use space meanwhile. They start once the longest other path has `maxOtherRemainingSteps`
	steps left: as many as such a step, and one more.
	*/
	private canDeferFinals(): boolean {
		return this.steps.some((step, index) => this.graph.remainingSteps(index) > maxOtherRemainingSteps && !isDone(step) && this.hasInputs(step));
	}

	/**
	Determines which steps are needed: something still has to read their results.
	@param onNeeded - called for each needed step, after the steps that read its results.
	*/
	private neededSteps(onNeeded?: (index: number, step: Step) => void): boolean[] {
		const needed: boolean[] = [];
		for (const index of this.graph.readersFirst) {
			needed[index] = this.graph.isFinal(index) || this.graph.readersOf(index).some(reader => needed[reader] && !hasRead(this.steps[reader]));
			if (needed[index]) {
				onNeeded?.(index, this.steps[index]);
			}
		}

		return needed;
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
	return step.missingCount === 0;
}

/** Whether all pieces of a step are done or must have fetched their inputs. */
function hasRead({missingCount, fetched}: Step): boolean {
	return missingCount === fetched.size;
}

function endPiece({pending, fetched}: Step, piece: number): void {
	pending.delete(piece);
	fetched.delete(piece);
}

function availableRefs(step: Step): ResultRef[] {
	return step.results.filter(ref => ref !== undefined);
}
