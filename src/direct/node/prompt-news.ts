/** Tells peers which prompts this host sent to which engines, and takes in what they tell. */
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {PeerMesh} from '../../peers/node/peer-mesh.js';
import type {PromptPart} from '../../routing/common/engine-loads.js';
import {NewsBuffer, newsRelayOf, type SentPrompts} from '../common/news-buffer.js';

/** How long a host gathers its own news before it tells them: short against the time a prompt is read. */
const gatherMs = 10;
/** How long a host gathers the news of all before it passes them on. */
const relayMs = 50;

/** What the news are made of. */
export type PromptNewsOptions = {
	readonly hostId: string;
	/** This host's room for shared work. */
	readonly room: number;
	readonly mesh: Pick<PeerMesh, 'onDidReceive' | 'liveRooms' | 'send' | 'broadcast'>;
	/** A peer has sent a prompt to an engine. */
	readonly heard: (serverId: string, parts: readonly PromptPart[]) => void;
	readonly clock: Clock;
};

/** Exchanges sends of prompts: through one host for all, or among all where they are few. */
export class PromptNews implements Disposable {
	static create(options: PromptNewsOptions): PromptNews {
		return new PromptNews(options);
	}

	private prompts: SentPrompts = [];
	private timer: Disposable | undefined;
	/** News that this host passes on. */
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
					// This host knows its own.
					if (news.hostId !== options.hostId) {
						this.hear(news.prompts);
					}
				}
			}
		});
	}

	/**
	A prompt was sent.
	@param serverId - the engine.
	@param prompt - its parts.
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

	/** Tells this host's own news to whoever passes them on, or to all. */
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
