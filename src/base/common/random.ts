/** Random numbers as an injected dependency: a seeded generator (pure-rand) behind a small interface. */
import type {InjectionToken} from 'tsyringe';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

const resolution = 0x3F_FF_FF_FF;

/** A source of random numbers. */
export type Random = {
	/** Returns a number in [0, 1). */
	next(): number;
	/**
	Returns an integer in [0, limit).
	@param limit - exclusive upper bound.
	*/
	int(limit: number): number;
};

export const randomToken: InjectionToken<Random> = Symbol('Random');

/** A generator whose sequence is fully determined by its seed. */
export class SeededRandom implements Random {
	static create(seed: number): SeededRandom {
		return new SeededRandom(seed);
	}

	private readonly generator;

	private constructor(seed: number) {
		this.generator = xoroshiro128plus(seed);
	}

	next(): number {
		return uniformInt(this.generator, 0, resolution - 1) / resolution;
	}

	int(limit: number): number {
		return uniformInt(this.generator, 0, limit - 1);
	}
}

/**
Adds jitter to a delay, so that hosts that start at the same time do not act at the same time.
@param random - the source of random numbers.
@param baseMs - mean delay.
@param share - largest deviation to either side, as a share of the mean.
@returns the delay in milliseconds.
*/
export function jitter(random: Random, baseMs: number, share = 0.3): number {
	return baseMs * (1 + (share * ((2 * random.next()) - 1)));
}
