/** Chance from outside: a seeded generator (pure-rand) behind a small interface. */
import type {InjectionToken} from 'tsyringe';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

const resolution = 0x3F_FF_FF_FF;

/** A source of chance. */
export type Random = {
	/** A number in [0, 1). */
	next(): number;
	/**
	A whole number in [0, limit).
	@param limit - first number not given.
	*/
	int(limit: number): number;
};

export const randomToken: InjectionToken<Random> = Symbol('Random');

/** A generator whose whole sequence follows from its seed. */
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
Spreads a delay, so that hosts that start together do not act together.
@param random - the source of chance.
@param baseMs - the middle of the spread.
@param share - how far to either side, as a share of the middle.
@returns a delay in milliseconds.
*/
export function jitter(random: Random, baseMs: number, share = 0.3): number {
	return baseMs * (1 + (share * ((2 * random.next()) - 1)));
}
