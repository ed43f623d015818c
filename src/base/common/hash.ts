/** Fast, non-cryptographic hashing (xxHash). */
import xxhash from 'xxhash-wasm';

const {h32, h32Raw, h64ToString, h64Raw} = await xxhash();

const digestDigits = 16;

/**
Hashes a text.
@param text - what to hash.
@param seed - starts the hash; equal seeds give equal hashes.
@returns 32 bits as a whole number.
*/
export function hashText(text: string, seed = 0): number {
	return h32(text, seed);
}

/**
Goes on with a digest over the pieces of a stream.
@param previous - the digest so far; 0 at the start.
@param bytes - the next piece.
@returns the digest with the piece.
*/
export function extendDigest(previous: number, bytes: Uint8Array): number {
	return h32Raw(bytes, previous);
}

/**
Gives the 64-bit digest of a text.
@param text - what to hash.
@returns 16 hexadecimal digits.
*/
export function digestOfText(text: string): string {
	return h64ToString(text);
}

/**
Gives the 64-bit digest of bytes.
@param bytes - what to hash.
@returns 16 hexadecimal digits.
*/
export function digestOfBytes(bytes: Uint8Array): string {
	return h64Raw(bytes).toString(16).padStart(digestDigits, '0');
}
