/** Helpers for byte arrays. */

/**
Concatenates byte arrays.
@param pieces - the arrays, in order.
@returns a new array with all their bytes; it shares no memory with them.
*/
export function joinBytes(pieces: readonly Uint8Array[]): Uint8Array<ArrayBuffer> {
	const joined = new Uint8Array(pieces.reduce((sizeBytes, piece) => sizeBytes + piece.byteLength, 0));
	let offset = 0;
	for (const piece of pieces) {
		joined.set(piece, offset);
		offset += piece.byteLength;
	}

	return joined;
}
