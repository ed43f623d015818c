/** The answer of one stage as it grows: pieces in order, and their units. */

const maxAnswerBytes = 32 * 1024 * 1024;

/** Collects an answer; what is in it is never taken back. */
export class StageAnswer {
	static create(): StageAnswer {
		return new StageAnswer();
	}

	private readonly pieces: Uint8Array[] = [];
	private sizeBytes = 0;
	private count = 0;

	get units(): number {
		return this.count;
	}

	/** The whole answer so far, in memory of its own. */
	get body(): Uint8Array {
		const whole = new Uint8Array(this.sizeBytes);
		let offset = 0;
		for (const piece of this.pieces) {
			whole.set(piece, offset);
			offset += piece.byteLength;
		}

		return whole;
	}

	/**
	Adds the next piece.
	@param units - units in it.
	@param data - the piece.
	*/
	add(units: number, data: Uint8Array): void {
		this.pieces.push(data);
		this.sizeBytes += data.byteLength;
		this.count += units;
	}
}

/** Tells whether an answer of this size is more than is taken. */
export function isTooLarge(sizeBytes: number): boolean {
	return sizeBytes > maxAnswerBytes;
}
