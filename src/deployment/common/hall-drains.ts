/**
Tracks which data halls are being drained: nothing more is to be sent to the servers there.

Each hall has the store revision of the write that began or ended its drain, and the newest write counts. Updates arrive from
the store's feed and from peers, late, twice and in any order; hosts that have received the same updates have the same state.
An update from a peer that is older than what this host has read from the store is ignored, even for a hall of which
no state is retained; the peer, and any host that accepted its update, is sent the correct state.
*/
import type {InjectionToken} from 'tsyringe';
import {Emitter} from '../../base/common/emitter.js';
import {maxHallDrains, type HallDrain} from '../../wire/common/messages.js';
import {listSources, type ListSource} from './list-source.js';

/** Maximum number of halls that are remembered; beyond it, those whose drain ended longest ago are evicted. */
export const maxHalls = 100;

/** The beginning or the end of a drain, and the source that reported it. */
export type HallDrainChange = HallDrain & {readonly source: ListSource};

export const hallDrainsToken: InjectionToken<HallDrains> = Symbol('HallDrains');

/** Keeps the drain state of data halls. */
export class HallDrains {
	static create(): HallDrains {
		return new HallDrains();
	}

	private readonly didChange = Emitter.create<HallDrainChange>();
	/** By hall, least recently changed first. */
	private readonly drains = new Map<string, HallDrain>();
	/** Everything up to this revision of the store has been read by this host. */
	private readRevision = 0;

	/** Fires when a drain begins or ends. */
	get onDidChange() {
		return this.didChange.event;
	}

	/** The known state of all halls, least recently changed first. */
	get all(): readonly HallDrain[] {
		return [...this.drains.values()];
	}

	/** The state that is sent to peers. Includes drains that have ended, since a peer may know only of their beginning; only the newest if there are too many for a message. */
	get drainsForPeers(): readonly HallDrain[] {
		return this.all.slice(-maxHallDrains);
	}

	isDrained(hall: string): boolean {
		return this.drains.get(hall)?.isDrained === true;
	}

	/**
	Applies updates in any order; each counts by its own revision.
	@param updates - beginnings and ends of drains.
	@param source - where they were received from.
	*/
	apply(updates: readonly HallDrain[], source: ListSource): void {
		for (const drain of updates) {
			this.applyUpdate(drain, source);
		}
	}

	/**
	Records that everything up to a revision of the store has been read and applied.
	@param revision - the store revision.
	*/
	markReadUpTo(revision: number): void {
		this.readRevision = Math.max(this.readRevision, revision);
	}

	/**
	Applies the full content of the store: drains that it lacks have ended, even if this host missed their end.
	@param drains - the drains in force.
	@param revision - the store revision of the read.
	@param source - where they were received from.
	*/
	replaceAll(drains: readonly HallDrain[], revision: number, source: ListSource): void {
		this.apply(drains, source);
		const held = new Set(drains.map(({hall}) => hall));
		for (const {hall, isDrained} of this.all) {
			if (isDrained && !held.has(hall)) {
				this.applyUpdate({hall, isDrained: false, revision}, source);
			}
		}

		this.markReadUpTo(revision);
	}

	private applyUpdate(drain: HallDrain, source: ListSource): void {
		const {hall, isDrained, revision} = drain;
		const known = this.drains.get(hall);
		if (known && revision <= known.revision) {
			return;
		}

		if (source === listSources.peer && revision <= this.readRevision) {
			this.correctOutdatedUpdate(drain);
			return;
		}

		this.drains.delete(hall);
		this.drains.set(hall, drain);
		this.evictEnded();
		if ((known?.isDrained ?? false) !== isDrained) {
			this.didChange.fire({...drain, source});
		}
	}

	/** If a peer's outdated update contradicts the known state, raises that state's revision to the last one read, so that it prevails at peers. */
	private correctOutdatedUpdate({hall, isDrained}: HallDrain): void {
		if (isDrained !== this.isDrained(hall)) {
			this.drains.set(hall, {hall, isDrained: !isDrained, revision: this.readRevision});
			this.evictEnded();
		}
	}

	private evictEnded(): void {
		for (const {hall, isDrained} of this.all) {
			if (this.drains.size <= maxHalls) {
				return;
			}

			if (!isDrained) {
				this.drains.delete(hall);
			}
		}
	}
}
