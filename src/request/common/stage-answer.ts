/** The answer of one stage as it grows: pieces in order, and their units. */
import {joinBytes} from '../../base/common/bytes.js';

const maxAnswerBytes = 32 * 1024 * 1024;

/** Collects an answer; what is in it is never taken back. */
export class StageAnswer {
	static create(): StageAnswer {
		return new StageAnswer();
	}

	private readonly pieces: Uint8Array[] = [];
	private count = 0;

	get units(): number {
		return this.count;
	}

	/** The whole answer so far, in memory of its own. */
	get body(): Uint8Array {
		return joinBytes(this.pieces);
	}

	/**
	Adds the next piece.
	@param units - units in it.
	@param data - the piece.
	*/
	add(units: number, data: Uint8Array): void {
		this.pieces.push(data);
		this.count += units;
	}
}

/** Tells whether an answer of this size is more than is taken. */
export function isTooLarge(sizeBytes: number): boolean {
	return sizeBytes > maxAnswerBytes;
}
