/** Notifies peers which prompts this host has sent to which engines, and receives their notifications. */
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {PeerMesh} from '../../peers/node/peer-mesh.js';
import type {PromptPart} from '../../routing/common/engine-loads.js';
import {NewsBuffer, newsRelayOf, type SentPrompts} from '../common/news-buffer.js';

/** How long a host collects its own updates before it sends them: short compared with the time in which an engine prefills a prompt. */
const gatherMs = 10;
/** How long the relay collects the updates of all hosts before it broadcasts them. */
const relayMs = 50;

/** Dependencies of the exchange. */
export type PromptNewsOptions = {
	readonly hostId: string;
	/** This host's capacity for shared work. */
	readonly room: number;
	readonly mesh: Pick<PeerMesh, 'onDidReceive' | 'liveRooms' | 'send' | 'broadcast'>;
	/** Called when a peer has sent a prompt to an engine. */
	readonly heard: (serverId: string, parts: readonly PromptPart[]) => void;
	readonly clock: Clock;
};

/** Exchanges prompt updates: through one host that relays them, or directly between all hosts where there are few. */
export class PromptNews implements Disposable {
	static create(options: PromptNewsOptions): PromptNews {
		return new PromptNews(options);
	}

	private prompts: SentPrompts = [];
	private timer: Disposable | undefined;
	/** Updates that this host is to relay. */
	private readonly relayed = NewsBuffer.create();
	private relayTimer: Disposable | undefined;
	private readonly listener: Disposable;

	private constructor(private readonly options: PromptNewsOptions) {
		this.listener = options.mesh.onDidReceive(({hostId, message}) => {
			if (message.type === 'promptsSent') {
				this.hear(message.prompts);
				if (message.isForAll) {
					this.passOn(hostId, message.prompts);
				}
			} else if (message.type === 'promptsPassedOn') {
				for (const news of message.news) {
					// This host's own updates come back from the relay.
					if (news.hostId !== options.hostId) {
						this.hear(news.prompts);
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
		this.prompts.push({serverId, parts: [...prompt]});
		this.timer ??= this.options.clock.setTimer(gatherMs, () => {
			this.timer = undefined;
			const {prompts} = this;
			this.prompts = [];
			this.tell(prompts);
		});
	}

	dispose(): void {
		this.listener.dispose();
		this.timer?.dispose();
		this.relayTimer?.dispose();
	}

	/** Sends this host's own updates to the relay, or to all hosts if there is no relay or it can't be reached. */
	private tell(prompts: SentPrompts): void {
		const {hostId, room, mesh} = this.options;
		const relay = newsRelayOf(new Map([...mesh.liveRooms, [hostId, room]]));
		if (relay === hostId) {
			this.passOn(hostId, prompts);
		} else if (relay === undefined || !mesh.send(relay, {type: 'promptsSent', prompts, isForAll: true})) {
			mesh.broadcast({type: 'promptsSent', prompts});
		}
	}

	private passOn(hostId: string, prompts: SentPrompts): void {
		this.relayed.add(hostId, prompts);
		this.relayTimer ??= this.options.clock.setTimer(relayMs, () => {
			this.relayTimer = undefined;
			this.options.mesh.broadcast({type: 'promptsPassedOn', news: this.relayed.take()});
		});
	}

	private hear(prompts: SentPrompts): void {
		for (const {serverId, parts} of prompts) {
			this.options.heard(serverId, parts);
		}
	}
}
