/** Pieces of bytes that belong together. */

/**
Joins pieces into one.
@param pieces - in order.
@returns all their bytes, in memory of its own.
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
