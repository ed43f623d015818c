/**
What each model engine has still to read and which parts of prompts it keeps, as far as sends tell: this
host's own and those that peers tell of. An estimate that runs down by itself; nothing is asked of the engines.
*/
import {hashText} from '../../base/common/hash.js';

/** A part of a prompt; its key covers the parts before it, since a part is kept only behind the same ones. */
export type PromptPart = {readonly key: number; readonly tokens: number};

/**
How often the time of reading a shared part again counts besides the reading itself: it holds up what is read
after it, and takes memory from parts that others share. The weight has not been measured by itself.
*/
const rereadFactor = 1.8;
/** After this long a part counts as kept only by luck, and reading it again is not priced any more. */
const keptMs = 60_000;
const mostParts = 30_000;
/** Between engines that are alike, all hosts take the same one for a new part: each further place in the order that they share costs this. */
const orderStepMs = 3;

/**
Makes the parts of a prompt.
@param parts - names and sizes, in order.
*/
export function makePrompt(parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>): PromptPart[] {
	let key = 0;
	return parts.map(({id, tokens}) => {
		key = hashText(id, key);
		return {key, tokens};
	});
}

/** How fast an engine reads. */
export type EngineSpeed = {
	/** Time a token takes on an engine of usual speed; 0 where it is not known yet. */
	readonly msPerToken: number;
	/** Of this engine; 1 is usual. */
	readonly slowness: number;
};

/** What a choice needs to know of engines. */
export type EngineTraits<T> = {
	/** Tells how fast an engine is. */
	readonly speedOf: (server: T) => EngineSpeed;
	/** Tells what taking an engine costs besides, as for bytes that cross to its hall. */
	readonly extraMsOf: (server: T) => number;
};

/** What sending a prompt to an engine would mean. */
export type PromptEstimate = {
	/** Tokens to read until the first token comes, those of earlier prompts included. */
	readonly tokens: number;
	/** Until the first token, about. */
	readonly firstMs: number;
	/** The same with what reading shared parts again costs. */
	readonly scoreMs: number;
};

/** A part of a prompt as it is kept now. */
type PartStanding = {
	readonly tokens: number;
	/** When each engine last used it; some may have dropped it since. */
	readonly usedMs: ReadonlyMap<string, number>;
	/** Whether any engine keeps it. */
	readonly isKept: boolean;
};

const nobody: ReadonlyMap<string, number> = new Map();

/** Follows all engines of a deployment. */
export class EngineLoads {
	static create(): EngineLoads {
		return new EngineLoads();
	}

	/** When each engine will have read what it was sent. */
	private readonly busyUntilMs = new Map<string, number>();
	/** Who keeps a part, and since when it was last used there; the parts used longest ago come first. */
	private readonly keepers = new Map<number, Map<string, number>>();

	/**
	A prompt was sent to an engine, by this host or a peer.
	@param serverId - the engine.
	@param prompt - its parts.
	@param speed - of the engine.
	@param nowMs - the time.
	*/
	assign(serverId: string, prompt: readonly PromptPart[], speed: EngineSpeed, nowMs: number): void {
		const readMs = unreadTokens(serverId, this.lookUp(prompt, nowMs), nowMs) * speed.msPerToken * speed.slowness;
		this.busyUntilMs.set(serverId, Math.max(nowMs, this.busyUntilMs.get(serverId) ?? 0) + readMs);
		for (const {key} of prompt) {
			const keepers = this.keepers.get(key) ?? new Map<string, number>();
			keepers.set(serverId, nowMs);
			this.keepers.delete(key);
			this.keepers.set(key, keepers);
		}

		while (this.keepers.size > mostParts) {
			const [oldest] = this.keepers.keys();
			this.keepers.delete(oldest);
		}
	}

	/**
	Estimates what sending a prompt to an engine would mean.
	@param serverId - the engine.
	@param prompt - its parts.
	@param speed - of the engine.
	@param nowMs - the time.
	*/
	estimate(serverId: string, prompt: readonly PromptPart[], speed: EngineSpeed, nowMs: number): PromptEstimate {
		return this.estimateOf(serverId, this.lookUp(prompt, nowMs), speed, nowMs);
	}

	/**
	Chooses an engine for a prompt. Who keeps each part is looked up once, not for every engine: a choice costs as much
	for each further engine, however many keep a part.
	@param servers - the engines, in the order all hosts give them for this prompt.
	@param prompt - its parts.
	@param traits - of the engines.
	@param nowMs - the time.
	@returns the best one, or nothing where there are none.
	*/
	best<T extends {readonly upstreamId: string}>(servers: readonly T[], prompt: readonly PromptPart[], traits: EngineTraits<T>, nowMs: number): T | undefined {
		let best: T | undefined;
		let bestMs = Infinity;
		const parts = this.lookUp(prompt, nowMs);
		for (const [index, server] of servers.entries()) {
			const {scoreMs: readingMs} = this.estimateOf(server.upstreamId, parts, traits.speedOf(server), nowMs);
			const scoreMs = readingMs + traits.extraMsOf(server) + (index * orderStepMs);
			if (scoreMs < bestMs) {
				bestMs = scoreMs;
				best = server;
			}
		}

		return best;
	}

	/**
	An engine is gone, and what it kept with it.
	@param serverId - the engine.
	*/
	forget(serverId: string): void {
		this.busyUntilMs.delete(serverId);
		for (const keepers of this.keepers.values()) {
			keepers.delete(serverId);
		}
	}

	private lookUp(prompt: readonly PromptPart[], nowMs: number): PartStanding[] {
		return prompt.map(({key, tokens}) => {
			const usedMs = this.keepers.get(key) ?? nobody;
			return {tokens, usedMs, isKept: hasFresh(usedMs, nowMs)};
		});
	}

	private estimateOf(serverId: string, parts: readonly PartStanding[], {msPerToken, slowness}: EngineSpeed, nowMs: number): PromptEstimate {
		const unread = unreadTokens(serverId, parts, nowMs);
		const waitMs = Math.max(0, (this.busyUntilMs.get(serverId) ?? 0) - nowMs);
		const waitTokens = msPerToken === 0 ? 0 : waitMs / (msPerToken * slowness);
		const firstMs = waitMs + (unread * msPerToken * slowness);
		const rereadMs = rereadTokens(serverId, parts, nowMs) * msPerToken * rereadFactor;
		return {tokens: waitTokens + unread, firstMs, scoreMs: firstMs + rereadMs};
	}
}

function isFresh(usedMs: number | undefined, nowMs: number): boolean {
	return usedMs !== undefined && nowMs - usedMs < keptMs;
}

function hasFresh(usedMs: ReadonlyMap<string, number>, nowMs: number): boolean {
	for (const atMs of usedMs.values()) {
		if (isFresh(atMs, nowMs)) {
			return true;
		}
	}

	return false;
}

/** Everything from the first part on that the engine does not keep. */
function unreadTokens(serverId: string, parts: readonly PartStanding[], nowMs: number): number {
	let sum = 0;
	let isMissing = false;
	for (const {tokens, usedMs} of parts) {
		isMissing ||= !isFresh(usedMs.get(serverId), nowMs);
		sum += isMissing ? tokens : 0;
	}

	return sum;
}

/** What another engine keeps and this one would read again. */
function rereadTokens(serverId: string, parts: readonly PartStanding[], nowMs: number): number {
	let sum = 0;
	for (const {tokens, usedMs, isKept} of parts) {
		sum += isKept && !isFresh(usedMs.get(serverId), nowMs) ? tokens : 0;
	}

	return sum;
}
