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
import {detach} from '../../base/common/unexpected-errors.js';
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
	probe(server: UpstreamServer): Promise<AddressState>;
};

/**
Delays before the address is checked after a connection was lost. A process that exits closes its connections and its listening
socket together, so the first check is conclusive unless a packet is lost or the machine is busy. Each check costs the server a new
connection: after a reset of all connections, one from each host to each server.
*/
const checkDelaysMs = [30, 200];
/** How long the registry may take to report the server as gone; longer than its entry takes to expire. */
const suspicionTimeoutMs = 5000;

/** Reasons which show that a server process that was not leaving is gone for good. */
const crashReasons = new Set<string>([goneReasons.startedAgain, goneReasons.dropped, goneReasons.addressTaken]);

type Suspicion = {readonly timeout: Disposable; nextCheck: Disposable; isBeingChecked: boolean};

/** Dependencies of the crash detection. */
export type CrashDetectorOptions = {
	readonly registry: Pick<ServerRegistry, 'get' | 'isMissing' | 'onDidChange'>;
	readonly check: AddressCheck;
	readonly clock: Clock;
};

/** Watches servers to which the connection of a call was lost, and reports those that crashed. */
export class CrashDetector implements Disposable {
	static create(options: CrashDetectorOptions): CrashDetector {
		return new CrashDetector(options);
	}

	private readonly suspicions = new Map<string, Suspicion>();
	private readonly didCrash = Emitter.create<string>();
	private readonly didConclude = Emitter.create<string>();
	private readonly disposables = DisposableStore.create();

	private constructor(private readonly options: CrashDetectorOptions) {
		this.disposables.add(options.registry.onDidChange(change => {
			this.handleRegistryChange(change);
		}));
	}

	/** Fires with the id of a server process that crashed. */
	get onDidCrash() {
		return this.didCrash.event;
	}

	/** Fires with the id of a server process that is no longer watched, whether or not it crashed. */
	get onDidConclude() {
		return this.didConclude.event;
	}

	/** Whether the address of a suspect server is being checked, so that a result is imminent. */
	isBeingChecked(serverId: string): boolean {
		return this.suspicions.get(serverId)?.isBeingChecked === true;
	}

	/**
	Starts to watch a server after the connection of a call to it was lost.
	@param server - the server that ran the call.
	@returns whether the call may have crashed the server; if so, checks are now under way.
	*/
	connectionLost(server: UpstreamServer): boolean {
		const {serverId} = server;
		if (this.isBeingChecked(serverId)) {
			return true;
		}

		// Calls lost before an earlier, inconclusive check are not blamed for a crash that is found from now on.
		this.conclude(serverId);
		const listed = this.options.registry.get(serverId);
		if (!listed || listed.isLeaving || this.options.registry.isMissing(serverId)) {
			return false;
		}

		const {clock} = this.options;
		const suspicion: Suspicion = {
			timeout: clock.setTimer(suspicionTimeoutMs, () => {
				this.conclude(serverId);
			}),
			nextCheck: this.scheduleCheck(server, 0),
			isBeingChecked: true,
		};
		this.suspicions.set(serverId, suspicion);
		return true;
	}

	dispose(): void {
		this.disposables.dispose();
		for (const serverId of [...this.suspicions.keys()]) {
			this.forget(serverId);
		}
	}

	private scheduleCheck(server: UpstreamServer, attempt: number): Disposable {
		return this.options.clock.setTimer(checkDelaysMs[attempt], () => {
			detach('check of an address', this.checkAddress(server, attempt), () => {
				// Nothing is known; the registry may still report the server gone.
				const suspicion = this.suspicions.get(server.serverId);
				if (suspicion) {
					suspicion.isBeingChecked = false;
				}
			});
		});
	}

	private async checkAddress(server: UpstreamServer, attempt: number): Promise<void> {
		const {serverId} = server;
		const suspicion = this.suspicions.get(serverId);
		const state = await this.options.check.probe(server);
		if (!suspicion || this.suspicions.get(serverId) !== suspicion) {
			return;
		}

		if (state === addressStates.refused) {
			this.concludeCrashed(serverId);
		} else if (state === addressStates.silent && attempt + 1 < checkDelaysMs.length) {
			suspicion.nextCheck = this.scheduleCheck(server, attempt + 1);
		} else {
			suspicion.isBeingChecked = false;
		}
	}

	private handleRegistryChange({server: {serverId}, change, reason}: ServerChange): void {
		if (!this.suspicions.has(serverId)) {
			return;
		}

		if (change === 'gone' && reason !== undefined && crashReasons.has(reason)) {
			this.concludeCrashed(serverId);
		} else if (change !== 'joined') {
			this.conclude(serverId);
		}
	}

	private concludeCrashed(serverId: string): void {
		this.forget(serverId);
		this.didCrash.fire(serverId);
		this.didConclude.fire(serverId);
	}

	private conclude(serverId: string): void {
		if (this.suspicions.has(serverId)) {
			this.forget(serverId);
			this.didConclude.fire(serverId);
		}
	}

	private forget(serverId: string): void {
		const suspicion = this.suspicions.get(serverId);
		suspicion?.timeout.dispose();
		suspicion?.nextCheck.dispose();
		this.suspicions.delete(serverId);
	}
}
