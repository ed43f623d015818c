/**
Finds out whether a server that broke off a call has ended, or only its connection.

A call that breaks off proves nothing: connections are cut and reset while servers live. A start of a server is over where
nothing listens at its address any more, or the list of servers says so within the time in which an entry lapses. A server
that was leaving, or whose entry went while the store was away, ends or goes for other reasons than a call.
*/
import type {Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import {Emitter} from '../../base/common/emitter.js';
import {goneReasons, type ServerChange} from '../../deployment/common/server-change.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';

/** What comes of a connection to an address. */
export const addressStates = {
	/** Nothing listens there. */
	refused: 'refused',
	open: 'open',
	/** No answer in time: nothing is proven. */
	silent: 'silent',
} as const;
export type AddressState = typeof addressStates[keyof typeof addressStates];

/** Tries servers' addresses. */
export type AddressCheck = {
	/**
	Opens a connection and closes it again.
	@param server - whose address.
	*/
	tryOnce(server: UpstreamServer): Promise<AddressState>;
};

/**
When the address is tried after a call broke off. A process that ends closes its connections and its listening socket in
one go, so that the first time tells, but for a lost packet or a busy machine. New connections cost the servers something: after
a reset of all connections there is one for each host and server.
*/
const checkDelaysMs = [30, 200];
/** How long the list may take to say that the server is gone: longer than its entry takes to lapse. */
const doubtMs = 5000;

/** Reasons for which a server that nobody expected to leave is gone for good. */
const endReasons = new Set<string>([goneReasons.startedAgain, goneReasons.dropped, goneReasons.addressTaken]);

type Doubt = {readonly limit: Disposable; check: Disposable; isBeingChecked: boolean};

/** What the watch is made of. */
export type ServerEndsOptions = {
	readonly registry: Pick<ServerRegistry, 'get' | 'isMissing' | 'onDidChange'>;
	readonly check: AddressCheck;
	readonly clock: Clock;
};

/** Watches servers that broke calls off. */
export class ServerEnds implements Disposable {
	static create(options: ServerEndsOptions): ServerEnds {
		return new ServerEnds(options);
	}

	private readonly doubts = new Map<string, Doubt>();
	private readonly didEnd = Emitter.create<string>();
	private readonly didSettle = Emitter.create<string>();
	private readonly owned = DisposableStore.create();

	private constructor(private readonly options: ServerEndsOptions) {
		this.owned.add(options.registry.onDidChange(change => {
			this.listChanged(change);
		}));
	}

	/** Fires with the start of a server that has ended. */
	get onDidEnd() {
		return this.didEnd.event;
	}

	/** Fires with a start about which nothing more is found out. */
	get onDidSettle() {
		return this.didSettle.event;
	}

	/** Whether the address of a server in doubt is being tried: in a moment more is known. */
	isBeingChecked(serverId: string): boolean {
		return this.doubts.get(serverId)?.isBeingChecked === true;
	}

	/**
	A call to a server broke off.
	@param server - which.
	@returns whether it may have ended for the call's sake, so that more is found out.
	*/
	brokeOff(server: UpstreamServer): boolean {
		const {serverId} = server;
		if (this.isBeingChecked(serverId)) {
			return true;
		}

		// What broke off before the address was tried in vain is not put down to what follows.
		this.settle(serverId);
		const listed = this.options.registry.get(serverId);
		if (!listed || listed.isLeaving || this.options.registry.isMissing(serverId)) {
			return false;
		}

		const {clock} = this.options;
		const doubt: Doubt = {
			limit: clock.setTimer(doubtMs, () => {
				this.settle(serverId);
			}),
			check: this.checkLater(server, 0),
			isBeingChecked: true,
		};
		this.doubts.set(serverId, doubt);
		return true;
	}

	dispose(): void {
		this.owned.dispose();
		for (const serverId of [...this.doubts.keys()]) {
			this.forget(serverId);
		}
	}

	private checkLater(server: UpstreamServer, attempt: number): Disposable {
		return this.options.clock.setTimer(checkDelaysMs[attempt], () => {
			void this.tryAddress(server, attempt);
		});
	}

	private async tryAddress(server: UpstreamServer, attempt: number): Promise<void> {
		const {serverId} = server;
		const doubt = this.doubts.get(serverId);
		const state = await this.options.check.tryOnce(server);
		if (!doubt || this.doubts.get(serverId) !== doubt) {
			return;
		}

		if (state === addressStates.refused) {
			this.end(serverId);
		} else if (state === addressStates.silent && attempt + 1 < checkDelaysMs.length) {
			doubt.check = this.checkLater(server, attempt + 1);
		} else {
			doubt.isBeingChecked = false;
		}
	}

	private listChanged({server: {serverId}, change, reason}: ServerChange): void {
		if (!this.doubts.has(serverId)) {
			return;
		}

		if (change === 'gone' && reason !== undefined && endReasons.has(reason)) {
			this.end(serverId);
		} else if (change !== 'joined') {
			this.settle(serverId);
		}
	}

	private end(serverId: string): void {
		this.forget(serverId);
		this.didEnd.fire(serverId);
		this.didSettle.fire(serverId);
	}

	private settle(serverId: string): void {
		if (this.doubts.has(serverId)) {
			this.forget(serverId);
			this.didSettle.fire(serverId);
		}
	}

	private forget(serverId: string): void {
		const doubt = this.doubts.get(serverId);
		doubt?.limit.dispose();
		doubt?.check.dispose();
		this.doubts.delete(serverId);
	}
}
