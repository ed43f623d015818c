/**
Estimates the pending prefill work of each model engine and the prompt parts in its cache. The estimates are derived from
the prompts that this host has sent and those that peers report, and decline with time; the engines are not queried.
*/
import {hashText} from '../../base/common/hash.js';

/** A part of a prompt. Its key also covers the preceding parts, since a cached part can only be used after the same parts. */
export type PromptPart = {readonly key: number; readonly tokens: number};

/**
Weight of the time for recomputing a part that another engine has cached, in addition to the prefill time itself:
recomputing delays the prompts queued behind it, and takes memory from other shared parts.
*/
const recomputeFactor = 1.8;
/** Time since its last use after which a part is assumed to be evicted; recomputing the part then has no extra cost. */
const cacheRetentionMs = 60_000;
const maxParts = 30_000;
/** Penalty per position in the engine order that all hosts share. Because of it, all hosts choose the same engine for a new part if several are equivalent. */
const orderPenaltyMs = 3;

/**
Creates the parts of a prompt with their keys.
@param parts - the names and sizes of the parts, in order.
*/
export function makePrompt(parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>): PromptPart[] {
	let key = 0;
	return parts.map(({id, tokens}) => {
		key = hashText(id, key);
		return {key, tokens};
	});
}

/** Prefill speed of an engine. */
export type EngineSpeed = {
	/** Prefill time per token on an engine of typical speed; 0 if not known yet. */
	readonly msPerToken: number;
	/** Slowness of this engine; 1 is typical. */
	readonly slowness: number;
};

/** Properties of engines that a choice depends on. */
export type EngineTraits<T> = {
	/** Returns the speed of an engine. */
	readonly speedOf: (server: T) => EngineSpeed;
	/** Returns the additional cost of choosing an engine, for example for bytes that cross to its data hall. */
	readonly extraMsOf: (server: T) => number;
};

/** The expected effect of sending a prompt to an engine. */
export type PromptEstimate = {
	/** Tokens to prefill before the first token, including those of earlier prompts. */
	readonly tokens: number;
	/** Estimated time to the first token. */
	readonly firstTokenMs: number;
	/** Estimated time to the first token plus the cost of recomputing parts that other engines have cached. */
	readonly scoreMs: number;
};

/** A part of a prompt with its current state in the caches. */
type CachedPart = {
	readonly tokens: number;
	/** When each engine last used the part; some engines may have evicted it since. */
	readonly usedMs: ReadonlyMap<string, number>;
	/** Whether any engine is assumed to have the part cached. */
	readonly isCached: boolean;
};

const noHolders: ReadonlyMap<string, number> = new Map();

/** Tracks all engines of a deployment. */
export class EngineLoads {
	static create(): EngineLoads {
		return new EngineLoads();
	}

	/** When each engine will have finished the prefill of the prompts sent to it. */
	private readonly busyUntilMs = new Map<string, number>();
	/** The engines that have a part cached, with the time of its last use there; least recently used parts come first. */
	private readonly holders = new Map<number, Map<string, number>>();

	/**
	Records that this host or a peer sent a prompt to an engine.
	@param serverId - the id of the engine.
	@param prompt - the parts of the prompt.
	@param speed - the speed of the engine.
	@param nowMs - the current time.
	*/
	assign(serverId: string, prompt: readonly PromptPart[], speed: EngineSpeed, nowMs: number): void {
		const prefillMs = uncachedTokens(serverId, this.lookUp(prompt, nowMs), nowMs) * speed.msPerToken * speed.slowness;
		this.busyUntilMs.set(serverId, Math.max(nowMs, this.busyUntilMs.get(serverId) ?? 0) + prefillMs);
		for (const {key} of prompt) {
			const holders = this.holders.get(key) ?? new Map<string, number>();
			holders.set(serverId, nowMs);
			this.holders.delete(key);
			this.holders.set(key, holders);
		}

		while (this.holders.size > maxParts) {
			const [oldest] = this.holders.keys();
			this.holders.delete(oldest);
		}
	}

	/**
	Estimates the effect of sending a prompt to an engine.
	@param serverId - the id of the engine.
	@param prompt - the parts of the prompt.
	@param speed - the speed of the engine.
	@param nowMs - the current time.
	*/
	estimate(serverId: string, prompt: readonly PromptPart[], speed: EngineSpeed, nowMs: number): PromptEstimate {
		return this.estimateOf(serverId, this.lookUp(prompt, nowMs), speed, nowMs);
	}

	/**
	Chooses an engine for a prompt. The holders of each part are looked up once, not per engine, so that the cost of a choice per
	engine does not depend on the number of holders.
	@param servers - the engines, in the order that all hosts share for this prompt.
	@param prompt - the parts of the prompt.
	@param traits - the properties of the engines.
	@param nowMs - the current time.
	@returns the best engine, or undefined if there are none.
	*/
	best<T extends {readonly upstreamId: string}>(servers: readonly T[], prompt: readonly PromptPart[], traits: EngineTraits<T>, nowMs: number): T | undefined {
		let best: T | undefined;
		let bestMs = Infinity;
		const parts = this.lookUp(prompt, nowMs);
		for (const [index, server] of servers.entries()) {
			const {scoreMs: promptScoreMs} = this.estimateOf(server.upstreamId, parts, traits.speedOf(server), nowMs);
			const scoreMs = promptScoreMs + traits.extraMsOf(server) + (index * orderPenaltyMs);
			if (scoreMs < bestMs) {
				bestMs = scoreMs;
				best = server;
			}
		}

		return best;
	}

	/**
	Removes an engine that no longer exists, together with its cached parts.
	@param serverId - the id of the engine.
	*/
	forget(serverId: string): void {
		this.busyUntilMs.delete(serverId);
		for (const holders of this.holders.values()) {
			holders.delete(serverId);
		}
	}

	private lookUp(prompt: readonly PromptPart[], nowMs: number): CachedPart[] {
		return prompt.map(({key, tokens}) => {
			const usedMs = this.holders.get(key) ?? noHolders;
			return {tokens, usedMs, isCached: hasFresh(usedMs, nowMs)};
		});
	}

	private estimateOf(serverId: string, parts: readonly CachedPart[], {msPerToken, slowness}: EngineSpeed, nowMs: number): PromptEstimate {
		const uncached = uncachedTokens(serverId, parts, nowMs);
		const waitMs = Math.max(0, (this.busyUntilMs.get(serverId) ?? 0) - nowMs);
		const waitTokens = msPerToken === 0 ? 0 : waitMs / (msPerToken * slowness);
		const firstTokenMs = waitMs + (uncached * msPerToken * slowness);
		const recomputeMs = recomputedTokens(serverId, parts, nowMs) * msPerToken * recomputeFactor;
		return {tokens: waitTokens + uncached, firstTokenMs, scoreMs: firstTokenMs + recomputeMs};
	}
}

function isFresh(usedMs: number | undefined, nowMs: number): boolean {
	return usedMs !== undefined && nowMs - usedMs < cacheRetentionMs;
}

function hasFresh(usedMs: ReadonlyMap<string, number>, nowMs: number): boolean {
	for (const atMs of usedMs.values()) {
		if (isFresh(atMs, nowMs)) {
			return true;
		}
	}

	return false;
}

/** Counts the tokens from the first part on that the engine does not have cached; a cached part after a missing one is of no use. */
function uncachedTokens(serverId: string, parts: readonly CachedPart[], nowMs: number): number {
	let sum = 0;
	let isMissing = false;
	for (const {tokens, usedMs} of parts) {
		isMissing ||= !isFresh(usedMs.get(serverId), nowMs);
		sum += isMissing ? tokens : 0;
	}

	return sum;
}

/** Counts the tokens that another engine has cached and this one would compute again. */
function recomputedTokens(serverId: string, parts: readonly CachedPart[], nowMs: number): number {
	let sum = 0;
	for (const {tokens, usedMs, isCached} of parts) {
		sum += isCached && !isFresh(usedMs.get(serverId), nowMs) ? tokens : 0;
	}

	return sum;
}
