/** Waiting for a response whose buffer is full. */
import type {ServerResponse} from 'node:http';

/** Reports when a response accepts more data, with one listener for each event, however many parts are written meanwhile. */
export class ResponseSpace {
	static create(response: ServerResponse): ResponseSpace {
		return new ResponseSpace(response);
	}

	private pending: Promise<void> | undefined;

	private constructor(private readonly response: ServerResponse) {}

	/** @returns a promise that resolves when the response accepts more data, or is closed. */
	async wait(): Promise<void> {
		this.pending ??= new Promise(resolve => {
			const onWritable = () => {
				this.response.off('drain', onWritable);
				this.response.off('close', onWritable);
				this.pending = undefined;
				resolve();
			};

			this.response.on('drain', onWritable);
			this.response.on('close', onWritable);
		});
		return this.pending;
	}
}
