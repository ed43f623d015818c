/** Random identifiers and seeds. */
import {randomBytes, randomInt} from 'node:crypto';

/**
Creates an identifier that is unique across processes.
@returns 16 characters of URL-safe text (96 random bits).
*/
export function newId(): string {
	return randomBytes(12).toString('base64url');
}

/**
Creates a random seed for a random number generator.
@returns a non-negative integer of 31 bits.
*/
export function newSeed(): number {
	return randomInt(0x7F_FF_FF_FF);
}
