/** Fast, non-cryptographic hashing (xxHash). */
import xxhash from 'xxhash-wasm';

const {h32, h32Raw, h64ToString, h64Raw} = await xxhash();

const digestDigits = 16;

/**
Computes the 32-bit hash of a text.
@param text - the text.
@param seed - initial state; the same text and seed give the same hash.
@returns an unsigned 32-bit integer.
*/
export function hashText(text: string, seed = 0): number {
	return h32(text, seed);
}

/**
Extends the 32-bit digest of a stream by its next bytes.
@param previous - the digest so far; 0 at the start.
@param bytes - the next bytes.
@returns the digest including these bytes; it depends on how the stream was split.
*/
export function extendDigest(previous: number, bytes: Uint8Array): number {
	return h32Raw(bytes, previous);
}

/**
Computes the 64-bit digest of a text.
@param text - the text.
@returns 16 hexadecimal digits.
*/
export function digestOfText(text: string): string {
	return h64ToString(text);
}

/**
Computes the 64-bit digest of bytes.
@param bytes - the bytes.
@returns 16 hexadecimal digits.
*/
export function digestOfBytes(bytes: Uint8Array): string {
	return h64Raw(bytes).toString(16).padStart(digestDigits, '0');
}
