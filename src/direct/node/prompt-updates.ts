/** Notifies peers which prompts this host has sent to which engines, and receives their notifications. */
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {PeerMesh} from '../../peers/node/peer-mesh.js';
import type {PromptPart} from '../../routing/common/engine-loads.js';
import {maxSentParts} from '../../wire/common/messages.js';
import {PromptUpdateBuffer, electRelay, type SentPrompts} from '../common/prompt-update-buffer.js';

/** How long a host collects its own updates before it sends them: short compared with the time in which an engine prefills a prompt. */
const sendDelayMs = 10;
/** How long the relay collects the updates of all hosts before it broadcasts them. */
const relayDelayMs = 50;

/** Dependencies of the exchange. */
export type PromptUpdatesOptions = {
	readonly hostId: string;
	/** This host's capacity for shared work. */
	readonly capacity: number;
	readonly mesh: Pick<PeerMesh, 'onDidReceive' | 'liveCapacities' | 'send' | 'broadcast'>;
	/** Called when a peer has sent a prompt to an engine. */
	readonly onPeerPrompt: (serverId: string, parts: readonly PromptPart[]) => void;
	readonly clock: Clock;
};

/** Exchanges prompt updates: through one host that relays them, or directly between all hosts where there are few. */
export class PromptUpdates implements Disposable {
	static create(options: PromptUpdatesOptions): PromptUpdates {
		return new PromptUpdates(options);
	}

	private prompts: SentPrompts = [];
	private timer: Disposable | undefined;
	/** Updates that this host is to relay. */
	private readonly relayBuffer = PromptUpdateBuffer.create();
	private relayTimer: Disposable | undefined;
	private readonly listener: Disposable;

	private constructor(private readonly options: PromptUpdatesOptions) {
		this.listener = options.mesh.onDidReceive(({hostId, message}) => {
			if (message.type === 'promptsSent') {
				this.applyUpdate(message.prompts);
				if (message.isForAll) {
					this.queueForRelay(hostId, message.prompts);
				}
			} else if (message.type === 'promptsPassedOn') {
				for (const update of message.news) {
					// This host's own updates come back from the relay.
					if (update.hostId !== options.hostId) {
						this.applyUpdate(update.prompts);
					}
				}
			}
		});
	}

	/**
	Records that this host has sent a prompt, to notify peers of it.
	@param serverId - id of the engine.
	@param prompt - parts of the prompt.
	*/
	add(serverId: string, prompt: readonly PromptPart[]): void {
		this.prompts.push({serverId, parts: joinLastParts(prompt)});
		this.timer ??= this.options.clock.setTimer(sendDelayMs, () => {
			this.timer = undefined;
			const {prompts} = this;
			this.prompts = [];
			this.notifyPeers(prompts);
		});
	}

	dispose(): void {
		this.listener.dispose();
		this.timer?.dispose();
		this.relayTimer?.dispose();
	}

	/** Sends this host's own updates to the relay, or to all hosts if there is no relay or it can't be reached. */
	private notifyPeers(prompts: SentPrompts): void {
		const {hostId, capacity, mesh} = this.options;
		const relay = electRelay(new Map([...mesh.liveCapacities, [hostId, capacity]]));
		if (relay === hostId) {
			this.queueForRelay(hostId, prompts);
		} else if (relay === undefined || !mesh.send(relay, {type: 'promptsSent', prompts, isForAll: true})) {
			mesh.broadcast({type: 'promptsSent', prompts});
		}
	}

	private queueForRelay(hostId: string, prompts: SentPrompts): void {
		this.relayBuffer.add(hostId, prompts);
		this.relayTimer ??= this.options.clock.setTimer(relayDelayMs, () => {
			this.relayTimer = undefined;
			this.options.mesh.broadcast({type: 'promptsPassedOn', news: this.relayBuffer.takeAll()});
		});
	}

	private applyUpdate(prompts: SentPrompts): void {
		for (const {serverId, parts} of prompts) {
			this.options.onPeerPrompt(serverId, parts);
		}
	}
}

/** Joins the last parts of a prompt, so that it has no more than a message may hold. The key of a part covers the parts before it as well. */
function joinLastParts(prompt: readonly PromptPart[]): PromptPart[] {
	const joined = prompt.slice(maxSentParts - 1);
	const last = joined.at(-1);
	return last
		? [...prompt.slice(0, maxSentParts - 1), {key: last.key, tokens: joined.reduce((tokens, part) => tokens + part.tokens, 0)}]
		: [...prompt];
}
