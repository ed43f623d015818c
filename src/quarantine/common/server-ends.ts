/**
Finds out whether a server crashed when the connection of a call was lost, or whether only the connection failed.

A lost connection proves nothing: connections are cut and reset while servers keep running. A server process counts as crashed if
nothing listens at its address any more, or if the server registry reports it gone within the time in which an entry expires. A
server that was leaving, or whose entry disappeared while the store was unavailable, stops or disappears for reasons other than
a call.
*/
import type {Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import {Emitter} from '../../base/common/emitter.js';
import {goneReasons, type ServerChange} from '../../deployment/common/server-change.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';

/** Results of an attempt to connect to an address. */
export const addressStates = {
	/** Nothing listens at the address. */
	refused: 'refused',
	open: 'open',
	/** No response in time, which proves nothing. */
	silent: 'silent',
} as const;
export type AddressState = typeof addressStates[keyof typeof addressStates];

/** Checks whether something listens at the address of a server. */
export type AddressCheck = {
	/**
	Opens a connection and closes it again.
	@param server - the server whose address is checked.
	@returns what the attempt showed.
	*/
	tryOnce(server: UpstreamServer): Promise<AddressState>;
};

/**
Delays before the address is checked after a connection was lost. A process that exits closes its connections and its listening
socket together, so the first check is conclusive unless a packet is lost or the machine is busy. Each check costs
the server a new connection: after a reset of all connections, one from each host to each server.
*/
const checkDelaysMs = [30, 200];
/** How long the registry may take to report the server as gone; longer than its entry takes to expire. */
const doubtMs = 5000;

/** Reasons which show that a server process that was not leaving is gone for good. */
const endReasons = new Set<string>([goneReasons.startedAgain, goneReasons.dropped, goneReasons.addressTaken]);

type Doubt = {readonly limit: Disposable; check: Disposable; isBeingChecked: boolean};

/** Dependencies of the crash detection. */
export type ServerEndsOptions = {
	readonly registry: Pick<ServerRegistry, 'get' | 'isMissing' | 'onDidChange'>;
	readonly check: AddressCheck;
	readonly clock: Clock;
};

/** Watches servers to which the connection of a call was lost, and reports those that crashed. */
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

	/** Fires with the id of a server process that crashed. */
	get onDidEnd() {
		return this.didEnd.event;
	}

	/** Fires with the id of a server process that is no longer watched, whether or not it crashed. */
	get onDidSettle() {
		return this.didSettle.event;
	}

	/** Whether the address of a suspect server is being checked, so that a result is imminent. */
	isBeingChecked(serverId: string): boolean {
		return this.doubts.get(serverId)?.isBeingChecked === true;
	}

	/**
	Starts to watch a server after the connection of a call to it was lost.
	@param server - the server.
	@returns whether the call may have crashed the server, which is now being found out.
	*/
	brokeOff(server: UpstreamServer): boolean {
		const {serverId} = server;
		if (this.isBeingChecked(serverId)) {
			return true;
		}

		// Calls lost before an earlier, inconclusive check are not blamed for a crash that is found from now on.
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
