/**
Estimates the prefill speed of the engines of one pool from the observed times to the first token. The declaration
does not contain this speed, and it differs between deployments: with an estimate 50% above the real
speed, engines are sent more prompts than they can process in time.
*/

/** Relative step of the first corrections. It is divided by the number of samples, so that a few samples reach the right range. */
const maxStep = 0.5;
/** Smallest relative step, used for later corrections: the estimate follows a change by one half after about twenty samples that are all above or all below it. */
const minStep = 0.02;
/** Time to the first token without prefill (one engine step and the network round trip), assumed until it has been measured. */
const initialOverheadMs = 30;
/** Prompts whose prefill takes less than this share of the overhead update the overhead; other prompts update the prefill speed. */
const shortPromptShare = 0.5;

/** Tracks the median of its samples, so that slow or failing engines and unforeseen waits have little effect on it. */
class MedianEstimate {
	private samples = 0;

	constructor(private current: number) {}

	get value(): number {
		return this.current;
	}

	observe(sample: number): void {
		this.samples++;
		const step = Math.min(Math.max(minStep, maxStep / this.samples), Math.abs((sample / this.current) - 1));
		this.current *= sample > this.current ? 1 + step : 1 / (1 + step);
	}

	/** Sets the estimate to the first sample, which is better than any default. */
	start(sample: number): void {
		this.current = sample;
		this.samples = 1;
	}
}

/** Estimates the prefill speed of one pool's engines. */
export class PrefillSpeed {
	static create(): PrefillSpeed {
		return new PrefillSpeed();
	}

	private readonly perToken = new MedianEstimate(0);
	private readonly overhead = new MedianEstimate(initialOverheadMs);

	/** Prefill time per token on an engine of typical speed; 0 until the first prompt has been observed. */
	get msPerToken(): number {
		return this.perToken.value;
	}

	/** Time to the first token without prefill. */
	get overheadMs(): number {
		return this.overhead.value;
	}

	/**
	Records the arrival of a first token.
	@param tokens - the tokens that the engine had to prefill before it: the uncached part of the prompt, and the prompts queued ahead.
	@param firstTokenMs - the time from the send to the first token.
	*/
	observe(tokens: number, firstTokenMs: number): void {
		const prefillMs = firstTokenMs - this.overheadMs;
		if (tokens * this.msPerToken < this.overheadMs * shortPromptShare && this.msPerToken > 0) {
			this.overhead.observe(Math.max(1, firstTokenMs - (tokens * this.msPerToken)));
		} else if (tokens > 0 && prefillMs > 0) {
			this.observeMsPerToken(prefillMs / tokens);
		}
	}

	private observeMsPerToken(msPerToken: number): void {
		if (this.msPerToken === 0) {
			this.perToken.start(msPerToken);
		} else {
			this.perToken.observe(msPerToken);
		}
	}
}
