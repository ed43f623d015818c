/** State of a simulated model engine: continuous batching, a prefix cache, loaded models, fenced orders. */
import {hashText} from '../../base/common/hash.js';
import type {LoadedModel} from '../../wire/common/messages.js';

const words = ['teak', 'plank', 'lot', 'dry', 'grade', 'cubic', 'yard', 'price', 'quote', 'sawn', 'beam', 'moist', 'stack', 'truck', 'gate', 'mill'];
const prefixCharacters = 64;
const cacheCapacity = 64;

/** A request to generate tokens. */
export type Generation = {
	readonly id: string;
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens: number;
	readonly seed: number;
	readonly offset: number;
	/** Order of waiting generations: higher goes first. */
	readonly priority: number;
};

/** Capacity and speed of an engine. */
export type EngineSpeed = {
	readonly slots: number;
	/** Duration of a step with one sequence in the batch. */
	readonly stepMs: number;
	/** Increase of the duration of a step by each further sequence in the batch, as a share of `stepMs`. */
	readonly slowdownPerSequence: number;
	/** Steps that the prefill of a prompt takes if its prefix is not cached. */
	readonly prefillSteps: number;
};

export const defaultSpeed: EngineSpeed = {
	slots: 8, stepMs: 8, slowdownPerSequence: 0.05, prefillSteps: 6,
};

/**
Returns a token that depends only on prompt, seed and position, so that any engine can resume where another stopped.
@param generation - the generation.
@param index - position of the token.
@returns the text of the token.
*/
export function tokenAt(generation: Pick<Generation, 'prompt' | 'seed'>, index: number): string {
	return `${words[hashText(generation.prompt, generation.seed + index) % words.length]} `;
}

/** A generation in the batch. */
export type Sequence = {
	readonly generation: Generation;
	next: number;
	remainingPrefillSteps: number;
};

/** The batch, the cache and the loaded models of one engine. */
export class EngineState {
	static create(speed: EngineSpeed, models: readonly LoadedModel[]): EngineState {
		return new EngineState(speed, [...models]);
	}

	/** Together with `sequence`, the fencing token of the last accepted order; an engine that checks fences refuses orders without a higher token. */
	epoch = 0;
	sequence = 0;
	cacheHits = 0;
	readonly batch = new Map<string, Sequence>();
	private readonly waiting: Sequence[] = [];
	private readonly cache = new Set<string>();

	private constructor(readonly speed: EngineSpeed, readonly models: LoadedModel[]) {}

	get queued(): number {
		return this.waiting.length;
	}

	/** Duration of the next step of the batch. */
	get stepMs(): number {
		return this.speed.stepMs * (1 + (this.speed.slowdownPerSequence * Math.max(0, this.batch.size - 1)));
	}

	add(generation: Generation): void {
		const prefix = generation.prompt.slice(0, prefixCharacters);
		const isCached = this.cache.has(prefix);
		this.cacheHits += isCached ? 1 : 0;
		this.cachePrefix(prefix);
		this.waiting.push({
			generation, next: generation.offset, remainingPrefillSteps: isCached ? 1 : this.speed.prefillSteps,
		});
		this.waiting.sort((a, b) => b.generation.priority - a.generation.priority);
		this.fill();
	}

	remove(id: string): void {
		this.batch.delete(id);
		const at = this.waiting.findIndex(sequence => sequence.generation.id === id);
		if (at !== -1) {
			this.waiting.splice(at, 1);
		}

		this.fill();
	}

	has(id: string): boolean {
		return this.batch.has(id) || this.waiting.some(sequence => sequence.generation.id === id);
	}

	get ids(): string[] {
		return [...this.batch.keys(), ...this.waiting.map(sequence => sequence.generation.id)];
	}

	/** Executes one step of the batch.
	@returns the sequences that produced a token in this step. */
	step(): Sequence[] {
		const advanced: Sequence[] = [];
		for (const sequence of this.batch.values()) {
			if (sequence.remainingPrefillSteps > 0) {
				sequence.remainingPrefillSteps--;
			} else {
				sequence.next++;
				advanced.push(sequence);
			}
		}

		return advanced;
	}

	private fill(): void {
		while (this.batch.size < this.speed.slots && this.waiting.length > 0) {
			const sequence = this.waiting.shift()!;
			this.batch.set(sequence.generation.id, sequence);
		}
	}

	private cachePrefix(prefix: string): void {
		this.cache.delete(prefix);
		this.cache.add(prefix);
		if (this.cache.size > cacheCapacity) {
			const [oldest] = this.cache;
			this.cache.delete(oldest);
		}
	}
}
