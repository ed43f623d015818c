/**
Which host passes on to all what each has sent to model engines, and what it passes on. Where every host told every
other, each of 68 hosts heard some 140 of these messages a second and sent as many; through one host that gathers them it
hears 20, however many hosts there are. What is told so is up to a twentieth of a second older: short against the time
in which an engine reads a long prompt.
*/
import {highCapacityHosts} from '../../routing/common/host-capacity.js';
import {rendezvousOwner} from '../../routing/common/rendezvous.js';
import type {PromptsSentMessage} from '../../wire/common/messages.js';

/**
With fewer hosts than this each tells all others itself. Passing on costs the one that does it some 20 messages a second
to each host; among 18 hosts of an eighth of a core each, days were worth more with it as often as less.
*/
const fewestHosts = 32;
/** Spreads the duty away from hosts that do other things for all. */
const dutyKey = 'news of prompts';

/** Prompts that were sent to engines. */
export type SentPrompts = PromptsSentMessage['prompts'];

/** What one host has sent. */
export type HostNews = {readonly hostId: string; readonly prompts: SentPrompts};

/**
Names the host that passes news on; every host that sees the same peers names the same.
@param rooms - for shared work, of all live hosts.
@returns nothing where there are so few hosts that each tells all itself.
*/
export function newsRelayOf(rooms: ReadonlyMap<string, number>): string | undefined {
	return rooms.size < fewestHosts ? undefined : rendezvousOwner(dutyKey, highCapacityHosts(rooms));
}

/** Gathers news by the host that they come from. */
export class NewsBuffer {
	static create(): NewsBuffer {
		return new NewsBuffer();
	}

	private byHost = new Map<string, SentPrompts>();

	/**
	Takes in what a host has sent.
	@param hostId - the host.
	@param prompts - since its last news.
	*/
	add(hostId: string, prompts: SentPrompts): void {
		this.byHost.set(hostId, [...this.byHost.get(hostId) ?? [], ...prompts]);
	}

	/** Gives everything gathered, and begins anew. */
	take(): HostNews[] {
		const news = [...this.byHost].map(([hostId, prompts]) => ({hostId, prompts}));
		this.byHost = new Map();
		return news;
	}
}
