/** The memory of a host for the answers that it is receiving, which are kept until their requests have ended. */
import type {Disposable} from '../../base/common/disposable.js';

/** Size up to which an answer is never ended for the sake of others. */
const smallAnswerBytes = 64 * 1024;

/** The part of the memory that the answer to one request takes. */
export type AnswerShare = Disposable & {
	/**
	Takes memory for received bytes.
	@param sizeBytes - their number.
	*/
	add(sizeBytes: number): void;
};

type OpenShare = {sizeBytes: number; isExceeded: boolean; readonly onExceeded: () => void};

/** Bounds the sum of the sizes of answers: while it is exceeded, the largest one is ended, so that an endless answer costs no other request its own. */
export class AnswerMemory {
	/**
	Creates an empty memory.
	@param maxBytes - maximum size of all answers together.
	*/
	static create(maxBytes: number): AnswerMemory {
		return new AnswerMemory(maxBytes);
	}

	private readonly shares = new Set<OpenShare>();
	private takenBytes = 0;

	private constructor(private readonly maxBytes: number) {}

	/**
	Opens the share of a request.
	@param onExceeded - called at most once, to end the answer; the share is to be disposed when its bytes are no longer kept.
	*/
	open(onExceeded: () => void): AnswerShare {
		const share: OpenShare = {sizeBytes: 0, isExceeded: false, onExceeded};
		this.shares.add(share);
		return {
			add: sizeBytes => {
				if (this.shares.has(share)) {
					share.sizeBytes += sizeBytes;
					this.takenBytes += sizeBytes;
					this.endLargest();
				}
			},
			dispose: () => {
				if (this.shares.delete(share)) {
					this.takenBytes -= share.sizeBytes;
				}
			},
		};
	}

	private endLargest(): void {
		while (this.takenBytes > this.maxBytes) {
			let largest: OpenShare | undefined;
			for (const share of this.shares) {
				if (!share.isExceeded && share.sizeBytes > (largest?.sizeBytes ?? smallAnswerBytes)) {
					largest = share;
				}
			}

			if (!largest) {
				return;
			}

			largest.isExceeded = true;
			largest.onExceeded();
		}
	}
}
