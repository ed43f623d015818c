/** Chooses engines for prompts from the tokens they have to prefill, the prompt parts they cache and their measured prefill speed. */
import type {Candidate} from '../../routing/common/chooser.js';
import type {EngineLoads, EngineSpeed, PromptPart} from '../../routing/common/engine-loads.js';
import {crossingCostMs} from '../../routing/common/hall-cost.js';
import {PrefillSpeed} from '../../routing/common/prefill-speed.js';
import {rendezvousOrder} from '../../routing/common/rendezvous.js';

/** A prompt and the results that its engine has to fetch. */
export type PromptWork = {
	readonly pool: string;
	readonly prompt: readonly PromptPart[];
	/** Bytes of results to fetch, by the data hall in which they are stored. */
	readonly inputBytesByHall?: ReadonlyMap<string, number>;
};

/** Chooses among the engines of all pools. */
export class EngineChooser {
	static create(loads: EngineLoads): EngineChooser {
		return new EngineChooser(loads);
	}

	/** Measured prefill speed of the engines of each pool. */
	private readonly prefillSpeeds = new Map<string, PrefillSpeed>();
	/** Tokens that an engine has to prefill for an attempt before its first token, by dispatch id, as estimated when the attempt was sent. */
	private readonly tokensByDispatch = new Map<string, number>();

	private constructor(private readonly loads: EngineLoads) {}

	/**
	Chooses the engine with the earliest first token, including the cost of prefilling shared parts again and of fetching results
	from other data halls.
	@param work - the prompt.
	@param candidates - the engines.
	@param nowMs - the current time.
	@returns the engine, or undefined where there is no candidate.
	*/
	choose({pool, prompt, inputBytesByHall}: PromptWork, candidates: readonly Candidate[], nowMs: number): Candidate | undefined {
		// The parts before the last one may be shared with other requests.
		const shared = prompt.at(-2) ?? prompt[0];
		const ordered = rendezvousOrder(String(shared.key), candidates, candidate => candidate.upstreamId);
		let inputBytes = 0;
		for (const bytes of inputBytesByHall?.values() ?? []) {
			inputBytes += bytes;
		}

		return this.loads.best(ordered, prompt, {
			speedOf: candidate => this.speedOf(pool, candidate),
			extraMsOf: ({hall}) => crossingCostMs(inputBytes - (inputBytesByHall?.get(hall) ?? 0)),
		}, nowMs);
	}

	/**
	Estimates the time to the first token of a prompt, in milliseconds.
	@param work - the prompt.
	@param engine - the engine to which it would be sent.
	@param nowMs - the current time.
	*/
	firstTokenMs({pool, prompt}: PromptWork, engine: Candidate, nowMs: number): number {
		return this.loads.estimate(engine.upstreamId, prompt, this.speedOf(pool, engine), nowMs).firstTokenMs + this.prefillSpeedOf(pool).overheadMs;
	}

	/**
	Records that this host sends a prompt.
	@param dispatchId - id of the attempt, to be passed to `recordFirstToken` and `forgetAttempt` later.
	@param work - the prompt.
	@param engine - the engine that receives it.
	@param nowMs - the current time.
	*/
	recordSend(dispatchId: string, work: PromptWork, engine: Candidate, nowMs: number): void {
		const {tokens} = this.loads.estimate(engine.upstreamId, work.prompt, this.speedOf(work.pool, engine), nowMs);
		this.tokensByDispatch.set(dispatchId, tokens);
		this.recordAssignment(work, engine, nowMs);
	}

	/**
	Records that this host or a peer has sent a prompt to an engine.
	@param work - the prompt.
	@param engine - the engine that received it.
	@param nowMs - the current time.
	*/
	recordAssignment({pool, prompt}: PromptWork, engine: Candidate, nowMs: number): void {
		this.loads.assign(engine.upstreamId, prompt, this.speedOf(pool, engine), nowMs);
	}

	/**
	Records the first token of an attempt and updates the prefill speed of its pool from it; the times of later tokens do not depend on prefill.
	@param dispatchId - id of the attempt.
	@param pool - pool of the engine.
	@param engine - the engine that produced the token.
	@param tookMs - time from the send to the token.
	*/
	recordFirstToken(dispatchId: string, pool: string, engine: Candidate, tookMs: number): void {
		const tokens = this.tokensByDispatch.get(dispatchId);
		if (tokens === undefined) {
			return;
		}

		const speed = this.prefillSpeedOf(pool);
		speed.observe(tokens, tookMs);
		engine.stats.observeTime(tookMs, (tokens * speed.msPerToken) + speed.overheadMs);
	}

	/** Discards what is kept for an attempt that has ended. */
	forgetAttempt(dispatchId: string): void {
		this.tokensByDispatch.delete(dispatchId);
	}

	/** Discards what is known of an engine that is gone, together with its cache. */
	forgetEngine(serverId: string): void {
		this.loads.forget(serverId);
	}

	private speedOf(pool: string, {stats}: Candidate): EngineSpeed {
		return {msPerToken: this.prefillSpeedOf(pool).msPerToken, slowness: stats.slowness ?? 1};
	}

	private prefillSpeedOf(pool: string): PrefillSpeed {
		let speed = this.prefillSpeeds.get(pool);
		if (!speed) {
			speed = PrefillSpeed.create();
			this.prefillSpeeds.set(pool, speed);
		}

		return speed;
	}
}
