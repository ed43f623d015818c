/** Tells peers which prompts this host sent to which engines, and takes in what they tell. */
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {PeerMesh} from '../../peers/node/peer-mesh.js';
import type {PromptPart} from '../../routing/common/engine-loads.js';
import type {PromptsSentMessage} from '../../wire/common/messages.js';

/** How long news are gathered: short against the time a prompt is read. */
const gatherMs = 10;

/** What the news are made of. */
export type PromptNewsOptions = {
	readonly mesh: PeerMesh;
	/** A peer has sent a prompt to an engine. */
	readonly heard: (serverId: string, parts: readonly PromptPart[]) => void;
	readonly clock: Clock;
};

/** Exchanges sends of prompts. */
export class PromptNews implements Disposable {
	static create(options: PromptNewsOptions): PromptNews {
		return new PromptNews(options);
	}

	private prompts: PromptsSentMessage['prompts'] = [];
	private timer: Disposable | undefined;
	private readonly listener: Disposable;

	private constructor(private readonly options: PromptNewsOptions) {
		const {mesh, heard} = options;
		this.listener = mesh.onDidReceive(({message}) => {
			if (message.type === 'promptsSent') {
				for (const {serverId, parts} of message.prompts) {
					heard(serverId, parts);
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
			this.options.mesh.broadcast({type: 'promptsSent', prompts: this.prompts});
			this.prompts = [];
		});
	}

	dispose(): void {
		this.listener.dispose();
		this.timer?.dispose();
	}
}
