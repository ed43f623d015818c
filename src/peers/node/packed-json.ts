/**
Converts values to compressed JSON and back. Lists of similar items compress well: 1,400 routes from 361 KB to 20 KB in 1.5 ms of processor
time, 4,250 from 1.1 MB to 62 KB in 3.3 ms. A higher compression level saves 1% more and takes twice as long.
*/
import {constants, deflateRawSync, inflateRawSync} from 'node:zlib';

/** Maximum size of the decompressed JSON: many times the size of a declaration of 100,000 routes. */
const maxJsonBytes = 256 * 1024 * 1024;

/**
Serializes a value to compressed JSON.
@param value - a value that JSON can represent.
*/
export function packJson(value: unknown): Uint8Array {
	return deflateRawSync(JSON.stringify(value), {level: constants.Z_BEST_SPEED});
}

/**
Parses compressed JSON.
@param packed - bytes as `packJson` returns them.
@returns the value, not validated.
@throws Error if the bytes are not compressed JSON, or the JSON exceeds the maximum size.
*/
export function unpackJson(packed: Uint8Array): unknown {
	return JSON.parse(inflateRawSync(packed, {maxOutputLength: maxJsonBytes}).toString());
}
