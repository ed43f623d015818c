/**
Elects the host that relays prompt updates (which prompts each host has sent to which model engines) to all hosts, and
collects the updates to relay. When every host notified every other, each of 68 hosts received about 140 of these messages a
second and sent as many. Through a relay that combines them a host receives 20, regardless of the number of hosts. Relaying
delays an update by up to 50 ms, which is short compared with the time in which an engine prefills a long prompt.
*/
import {highCapacityHosts} from '../../routing/common/host-capacity.js';
import {rendezvousOwner} from '../../routing/common/rendezvous.js';
import type {PromptsSentMessage} from '../../wire/common/messages.js';

/**
With fewer hosts than this each host notifies all others itself. Relaying costs the relay about 20 messages a second to each
host; with 18 hosts of an eighth of a core each, it made results worse as often as better.
*/
const minHostsForRelay = 32;
/** Hash key of the election, so that the relay is not also the host that has other shared tasks. */
const relayElectionKey = 'news of prompts';

/** Prompts that were sent to engines, as in the message to peers. */
export type SentPrompts = PromptsSentMessage['prompts'];

/** Prompts that one host has sent. */
export type HostUpdate = {readonly hostId: string; readonly prompts: SentPrompts};

/**
Elects the relay; all hosts that see the same peers elect the same one.
@param capacities - capacity for shared work of each live host, by its id.
@returns the relay's id, or undefined where there are so few hosts that each notifies all others itself.
*/
export function electRelay(capacities: ReadonlyMap<string, number>): string | undefined {
	return capacities.size < minHostsForRelay ? undefined : rendezvousOwner(relayElectionKey, highCapacityHosts(capacities));
}

/** Collects prompt updates by the host that sent them. */
export class PromptUpdateBuffer {
	static create(): PromptUpdateBuffer {
		return new PromptUpdateBuffer();
	}

	private byHost = new Map<string, SentPrompts>();

	/**
	Adds prompts that a host has sent.
	@param hostId - the id of the host.
	@param prompts - the prompts since its last update.
	*/
	add(hostId: string, prompts: SentPrompts): void {
		this.byHost.set(hostId, [...this.byHost.get(hostId) ?? [], ...prompts]);
	}

	/** Returns all collected updates and clears the buffer. */
	takeAll(): HostUpdate[] {
		const updates = [...this.byHost].map(([hostId, prompts]) => ({hostId, prompts}));
		this.byHost = new Map();
		return updates;
	}
}
