/**
Which data halls are being drained: operators want nothing more to be sent to the servers that stand there.

Each hall has the revision of the writing that began or ended its drain, and the newest writing counts. News come from the
store's feed and from peers, late, twice and in any order; all hosts that have heard the same news know the same. What a peer
tells that is older than what this host has read of the store is no news, also of a hall that nothing is remembered of; the
peer, and whoever believed it, is told so.
*/
import type {InjectionToken} from 'tsyringe';
import {Emitter} from '../../base/common/emitter.js';
import {maxHallDrains, type HallDrain} from '../../wire/common/messages.js';
import {listSources, type ListSource} from './list-source.js';

/** Halls of which anything is remembered; beyond them, those whose drain ended longest ago are forgotten. */
export const mostHalls = 100;

/** The beginning or the end of a drain, and who told of it. */
export type HallDrainChange = HallDrain & {readonly source: ListSource};

export const hallDrainsToken: InjectionToken<HallDrains> = Symbol('HallDrains');

/** Knows the drained halls. */
export class HallDrains {
	static create(): HallDrains {
		return new HallDrains();
	}

	private readonly didChange = Emitter.create<HallDrainChange>();
	/** By hall; the one that changed longest ago first. */
	private readonly drains = new Map<string, HallDrain>();
	/** Everything up to this writing of the store was read here. */
	private readRevision = 0;

	/** Fires when a drain begins or ends. */
	get onDidChange() {
		return this.didChange.event;
	}

	/** All that is known, the one that changed longest ago first. */
	get all(): readonly HallDrain[] {
		return [...this.drains.values()];
	}

	/** What peers are told: ends of drains as well, since a peer may have heard of the beginning only; the newest of too many. */
	get told(): readonly HallDrain[] {
		return this.all.slice(-maxHallDrains);
	}

	isDrained(hall: string): boolean {
		return this.drains.get(hall)?.isDrained === true;
	}

	/**
	Takes news, in any order; each counts by its own revision.
	@param news - beginnings and ends.
	@param source - who told them.
	*/
	take(news: readonly HallDrain[], source: ListSource): void {
		for (const drain of news) {
			this.put(drain, source);
		}
	}

	/**
	All that was written up to a writing of the store has been taken.
	@param revision - the writing.
	*/
	readUpTo(revision: number): void {
		this.readRevision = Math.max(this.readRevision, revision);
	}

	/**
	Takes everything that the store holds: drains that it does not hold have ended, whoever missed their end.
	@param drains - those in force.
	@param revision - the writing that the reading is as of.
	@param source - who told them.
	*/
	replaceAll(drains: readonly HallDrain[], revision: number, source: ListSource): void {
		this.take(drains, source);
		const held = new Set(drains.map(({hall}) => hall));
		for (const {hall, isDrained} of this.all) {
			if (isDrained && !held.has(hall)) {
				this.put({hall, isDrained: false, revision}, source);
			}
		}

		this.readUpTo(revision);
	}

	private put(drain: HallDrain, source: ListSource): void {
		const {hall, isDrained, revision} = drain;
		const known = this.drains.get(hall);
		if (known && revision <= known.revision) {
			return;
		}

		if (source === listSources.peer && revision <= this.readRevision) {
			this.answerOldNews(drain);
			return;
		}

		this.drains.delete(hall);
		this.drains.set(hall, drain);
		this.forgetEnded();
		if ((known?.isDrained ?? false) !== isDrained) {
			this.didChange.fire({...drain, source});
		}
	}

	/** Peers are told how it is, as new as what was read here, where one of them tells otherwise. */
	private answerOldNews({hall, isDrained}: HallDrain): void {
		if (isDrained !== this.isDrained(hall)) {
			this.drains.set(hall, {hall, isDrained: !isDrained, revision: this.readRevision});
			this.forgetEnded();
		}
	}

	private forgetEnded(): void {
		for (const {hall, isDrained} of this.all) {
			if (this.drains.size <= mostHalls) {
				return;
			}

			if (!isDrained) {
				this.drains.delete(hall);
			}
		}
	}
}
