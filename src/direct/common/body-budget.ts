/** The memory of a host for the bodies of its callers' requests, which are kept until the requests have ended. */
import type {Disposable} from '../../base/common/disposable.js';

/** Size up to which a body counts as empty, so that small requests are accepted while large ones take all memory. */
const freeBodyBytes = 16 * 1024;

/** The part of the memory that one request takes. */
export type BodyShare = Disposable & {
	/**
	Takes memory for a body that has grown.
	@param sizeBytes - its new size.
	@returns whether there is enough memory.
	*/
	growTo(sizeBytes: number): boolean;
};

/** Bounds the sum of the sizes of large bodies. */
export class BodyBudget {
	static create(maxBytes: number): BodyBudget {
		return new BodyBudget(maxBytes);
	}

	/** Number of bytes that requests take. */
	private takenBytes = 0;

	private constructor(private readonly maxBytes: number) {}

	/** @returns the share of a new request, to be disposed once the request has ended. */
	open(): BodyShare {
		let shareBytes = 0;
		return {
			growTo: sizeBytes => {
				const addedBytes = Math.max(0, sizeBytes - freeBodyBytes) - shareBytes;
				if (addedBytes > 0 && this.takenBytes + addedBytes > this.maxBytes) {
					return false;
				}

				shareBytes += addedBytes;
				this.takenBytes += addedBytes;
				return true;
			},
			dispose: () => {
				this.takenBytes -= shareBytes;
				shareBytes = 0;
			},
		};
	}
}
