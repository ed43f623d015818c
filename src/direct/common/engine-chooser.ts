/** Chooses engines for prompts: joins what they have to read and keep with how fast they are seen to read. */
import type {Candidate} from '../../routing/common/chooser.js';
import type {EngineLoads, EngineSpeed, PromptPart} from '../../routing/common/engine-loads.js';
import {crossingCostMs} from '../../routing/common/hall-cost.js';
import {PrefillSpeed} from '../../routing/common/prefill-speed.js';
import {rendezvousOrder} from '../../routing/common/rendezvous.js';

/** A prompt, and what its engine fetches besides. */
export type PromptNeed = {
	readonly pool: string;
	readonly prompt: readonly PromptPart[];
	/** Bytes of results to fetch, by the data hall where they lie. */
	readonly inputBytesByHall?: ReadonlyMap<string, number>;
};

/** Knows the engines of all pools. */
export class EngineChooser {
	static create(loads: EngineLoads): EngineChooser {
		return new EngineChooser(loads);
	}

	/** How fast the engines of each pool read. */
	private readonly readings = new Map<string, PrefillSpeed>();
	/** Tokens that an engine had to read for an attempt until its first token, as reckoned when it was sent. */
	private readonly sentTokens = new Map<string, number>();

	private constructor(private readonly loads: EngineLoads) {}

	/**
	Chooses the engine that gives the first token soonest, with what it costs to read shared parts again and to fetch
	results from other halls.
	@param need - the prompt.
	@param candidates - the engines.
	@param nowMs - the time.
	*/
	choose({pool, prompt, inputBytesByHall}: PromptNeed, candidates: readonly Candidate[], nowMs: number): Candidate | undefined {
		// What other requests may share comes before the last part.
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
	Tells how soon the first token of a prompt would come.
	@param need - the prompt.
	@param engine - where it would be sent.
	@param nowMs - the time.
	*/
	firstTokenMs({pool, prompt}: PromptNeed, engine: Candidate, nowMs: number): number {
		return this.loads.estimate(engine.upstreamId, prompt, this.speedOf(pool, engine), nowMs).firstTokenMs + this.readingOf(pool).overheadMs;
	}

	/**
	This host sends a prompt.
	@param dispatchId - of the attempt; `began` or `ended` names it again.
	@param need - the prompt.
	@param engine - where it goes.
	@param nowMs - the time.
	*/
	sent(dispatchId: string, need: PromptNeed, engine: Candidate, nowMs: number): void {
		const {tokens} = this.loads.estimate(engine.upstreamId, need.prompt, this.speedOf(need.pool, engine), nowMs);
		this.sentTokens.set(dispatchId, tokens);
		this.assigned(need, engine, nowMs);
	}

	/**
	A prompt was sent to an engine, by this host or a peer.
	@param need - the prompt.
	@param engine - where it went.
	@param nowMs - the time.
	*/
	assigned({pool, prompt}: PromptNeed, engine: Candidate, nowMs: number): void {
		this.loads.assign(engine.upstreamId, prompt, this.speedOf(pool, engine), nowMs);
	}

	/**
	The first token came: it tells how fast its engine reads; what comes after it says nothing of that.
	@param dispatchId - of the attempt.
	@param pool - of the engine.
	@param engine - that gave it.
	@param tookMs - from the send to the token.
	*/
	began(dispatchId: string, pool: string, engine: Candidate, tookMs: number): void {
		const tokens = this.sentTokens.get(dispatchId);
		if (tokens === undefined) {
			return;
		}

		const reading = this.readingOf(pool);
		reading.observe(tokens, tookMs);
		engine.stats.observeTime(tookMs, (tokens * reading.msPerToken) + reading.overheadMs);
	}

	/** An attempt has ended. */
	ended(dispatchId: string): void {
		this.sentTokens.delete(dispatchId);
	}

	/** An engine is gone, and what it kept with it. */
	forget(serverId: string): void {
		this.loads.forget(serverId);
	}

	private speedOf(pool: string, {stats}: Candidate): EngineSpeed {
		return {msPerToken: this.readingOf(pool).msPerToken, slowness: stats.slowness ?? 1};
	}

	private readingOf(pool: string): PrefillSpeed {
		let reading = this.readings.get(pool);
		if (!reading) {
			reading = PrefillSpeed.create();
			this.readings.set(pool, reading);
		}

		return reading;
	}
}
