/** Random identities. */
import {randomBytes, randomInt} from 'node:crypto';

/**
Makes an identity that no other process makes.
@returns 16 characters of URL-safe text (96 random bits).
*/
export function newId(): string {
	return randomBytes(12).toString('base64url');
}

/**
Draws a seed for a random generator.
@returns a whole number of 31 bits.
*/
export function newSeed(): number {
	return randomInt(0x7F_FF_FF_FF);
}
