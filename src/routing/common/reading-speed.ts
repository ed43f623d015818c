/**
How fast the engines of one pool read prompts, learned from the times to first tokens. The declaration doesn't
tell it, and it differs between deployments: with a speed that is half as high again as the real one, engines
are sent more than they can read in time.
*/

/** Steps of the first corrections; they shrink with the number of samples, so that a few of them find the range. */
const firstStep = 0.5;
/** Step of later corrections: some twenty samples on one side follow a change of a half. */
const leastStep = 0.02;
/** Time to the first token besides reading: one step of the engine and the way there and back, until it is measured. */
const usualOverheadMs = 30;
/** Prompts that take less than this share of the rest of the time tell of the rest, longer ones of the reading. */
const shortPromptShare = 0.5;

/** Follows the middle of what is seen: engines that are slow or fail, and waits that were not foreseen, move it little. */
class Median {
	private samples = 0;

	constructor(private current: number) {}

	get value(): number {
		return this.current;
	}

	observe(seen: number): void {
		this.samples++;
		const step = Math.min(Math.max(leastStep, firstStep / this.samples), Math.abs((seen / this.current) - 1));
		this.current *= seen > this.current ? 1 + step : 1 / (1 + step);
	}

	/** The first sample is the best guess there is. */
	start(seen: number): void {
		this.current = seen;
		this.samples = 1;
	}
}

/** Learns the reading speed of one pool's engines. */
export class ReadingSpeed {
	static create(): ReadingSpeed {
		return new ReadingSpeed();
	}

	private readonly perToken = new Median(0);
	private readonly overhead = new Median(usualOverheadMs);

	/** Time an engine of usual speed takes to read one token; 0 until a prompt was read. */
	get msPerToken(): number {
		return this.perToken.value;
	}

	/** Time to the first token besides reading. */
	get overheadMs(): number {
		return this.overhead.value;
	}

	/**
	A first token came.
	@param tokens - what the engine had to read for it: the prompt's own part, and what was sent there before.
	@param firstMs - from the send to the token.
	*/
	observe(tokens: number, firstMs: number): void {
		const readMs = firstMs - this.overheadMs;
		if (tokens * this.msPerToken < this.overheadMs * shortPromptShare && this.msPerToken > 0) {
			this.overhead.observe(Math.max(1, firstMs - (tokens * this.msPerToken)));
		} else if (tokens > 0 && readMs > 0) {
			this.learn(readMs / tokens);
		}
	}

	private learn(msPerToken: number): void {
		if (this.msPerToken === 0) {
			this.perToken.start(msPerToken);
		} else {
			this.perToken.observe(msPerToken);
		}
	}
}
