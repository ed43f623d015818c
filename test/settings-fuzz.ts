/** Fuzzer of settings: racing editors, lost answers, outages, replaced hosts, stale peers; the oracle is a list of accepted changes. */
import fc from 'fast-check';
import {ManualClock} from '../src/base/common/clock.js';
import type {ChangeRequest} from '../src/settings/common/change.js';
import {StoredSettingsService} from '../src/settings/common/settings-service.js';
import {SettingsStore} from '../src/settings/common/settings-store.js';
import {MemoryObjects} from '../src/standins/common/memory-objects.js';
import {MemoryTable} from '../src/standins/common/memory-table.js';
import {assertNone, commandsOf, worldProperty} from './world-commands.js';

const hostCount = 3;
const paths = ['/', '/workspaces/a', '/workspaces/b', '/pools/p'] as const;

type Tried = {readonly request: ChangeRequest; isAccepted: boolean; mayHaveTakenEffect: boolean; revision: number};

/** Ways to break the store on purpose. */
export type SettingsSabotage = 'forgetChangeIds' | 'goBack' | undefined;

class SettingsWorld {
	readonly table = MemoryTable.create();
	readonly objects = MemoryObjects.create();
	readonly clock = ManualClock.create();
	readonly store = SettingsStore.create(this.table, this.objects);
	readonly hosts: StoredSettingsService[] = [];
	/** Highest revision seen in force on each host since it started. */
	readonly highest: number[] = [];
	/** The oracle: every change that was tried, and what the editor was told. */
	readonly tried: Tried[] = [];
	private serial = 0;

	constructor(private readonly sabotage: SettingsSabotage) {
		for (let index = 0; index < hostCount; index++) {
			this.replaceHost(index);
		}
	}

	replaceHost(index: number): void {
		const host = index % hostCount;
		this.hosts[host] = StoredSettingsService.create(this.store, this.clock);
		this.highest[host] = 0;
	}

	/** Two editors change at the same time, each through a host, from what that host has in force. */
	async race(firstHost: number, secondHost: number, firstPath: number, secondPath: number): Promise<void> {
		await Promise.all([this.edit(firstHost, firstPath), this.edit(secondHost, secondPath)]);
	}

	/** An editor that got no clear answer asks again, perhaps through another host. */
	async retry(hostIndex: number, triedIndex: number): Promise<void> {
		const unclear = this.tried.filter(item => !item.isAccepted);
		const item = unclear.at(triedIndex % Math.max(1, unclear.length));
		if (item) {
			await this.send(hostIndex, item);
		}
	}

	async refresh(hostIndex: number): Promise<void> {
		await this.hosts[hostIndex % hostCount].refresh();
		if (this.sabotage === 'goBack' && this.serial > 2) {
			this.replaceTree(hostIndex % hostCount);
		}
	}

	/** A host hears from a peer, which may be behind it. */
	gossip(fromIndex: number, toIndex: number): void {
		const from = this.hosts[fromIndex % hostCount];
		const to = this.hosts[toIndex % hostCount];
		to.applyReply(from.createReply(to.tree.revision));
		to.applyReply(from.createReply(0));
	}

	async settle(): Promise<void> {
		this.table.isDown = false;
		this.table.crashAfterWrite = false;
		this.table.responsesToLose = 0;
		this.table.requestsToLose = 0;
		this.objects.isDown = false;
		for (const host of this.hosts) {
			await host.refresh();
		}
	}

	async breaches(isSettled: boolean): Promise<string[]> {
		const found: string[] = [];
		for (const [index, host] of this.hosts.entries()) {
			if (host.tree.revision < this.highest[index]) {
				found.push(`host ${index} went back from revision ${this.highest[index]} to ${host.tree.revision}`);
			}

			this.highest[index] = Math.max(this.highest[index], host.tree.revision);
		}

		if (isSettled) {
			found.push(...await this.settledBreaches());
		}

		return found;
	}

	private async settledBreaches(): Promise<string[]> {
		const found: string[] = [];
		const changes = await this.store.readChanges(0, 100_000);
		const accepted = changes.ok ? changes.value : [];
		const counts = new Map<string, number>();
		for (const change of accepted) {
			counts.set(change.changeId, (counts.get(change.changeId) ?? 0) + 1);
		}

		for (const {request, isAccepted, mayHaveTakenEffect} of this.tried) {
			const count = counts.get(request.changeId) ?? 0;
			if (count > 1) {
				found.push(`change ${request.changeId} took effect ${count} times`);
			}

			if (isAccepted && count === 0) {
				found.push(`change ${request.changeId} was accepted and is lost`);
			}

			if (!isAccepted && !mayHaveTakenEffect && count > 0) {
				found.push(`change ${request.changeId} was refused and took effect`);
			}
		}

		// Every host must be what replaying the accepted changes gives.
		const expected = new Map<string, string>();
		for (const change of accepted) {
			for (const edit of change.edits) {
				if (edit.after) {
					expected.set(edit.path, JSON.stringify(edit.after));
				} else {
					expected.delete(edit.path);
				}
			}
		}

		const wanted = JSON.stringify(Array.from(expected, ([path, text]) => `${path} ${text}`).toSorted(byText));
		for (const [index, host] of this.hosts.entries()) {
			const has = JSON.stringify(host.tree.snapshot().nodes.map(node => `${node.path} ${JSON.stringify(node.fields)}`).toSorted(byText));
			if (has !== wanted) {
				found.push(`host ${index} has ${has}, the accepted changes give ${wanted}`);
			}
		}

		return found;
	}

	private async edit(hostIndex: number, pathIndex: number): Promise<void> {
		const host = this.hosts[hostIndex % hostCount];
		const path = paths[pathIndex % paths.length];
		this.serial++;
		const after = path === '/pools/p' ? {kind: 'worker', slots: this.serial} : {deadlineMs: this.serial};
		const item: Tried = {
			request: {changeId: `c${this.serial}`, reason: 'fuzz', edits: [{path, baseRevision: host.tree.get(path)?.revision ?? 0, after}]},
			isAccepted: false,
			mayHaveTakenEffect: false,
			revision: 0,
		};
		this.tried.push(item);
		await this.send(hostIndex, item);
	}

	private async send(hostIndex: number, item: Tried): Promise<void> {
		if (this.sabotage === 'forgetChangeIds') {
			await this.forgetChangeId(item.request);
		}

		const result = await this.hosts[hostIndex % hostCount].change(item.request, `editor ${hostIndex}`);
		if (result.ok) {
			item.isAccepted = true;
			item.revision = result.value.revision;
		} else {
			item.mayHaveTakenEffect ||= result.error.code === 'storeUnavailable' && result.error.mayHaveTakenEffect;
		}
	}

	/** Deletes the trace of an id, and moves the edit on to the node's newest revision, as a careless retry would. */
	private async forgetChangeId(request: ChangeRequest): Promise<void> {
		await this.table.transact({conditions: [], writes: [{key: `settings/change-id/${request.changeId}`}]});
		await Promise.all(this.hosts.map(async host => host.refresh()));
		const head = this.hosts.toSorted((a, b) => b.tree.revision - a.tree.revision)[0].tree;
		for (const edit of request.edits) {
			edit.baseRevision = head.get(edit.path)?.revision ?? 0;
		}
	}

	private replaceTree(host: number): void {
		const snapshot = this.hosts[host].tree.snapshot();
		if (snapshot.revision > 1) {
			const older = StoredSettingsService.create(this.store, this.clock);
			older.tree.restore({...snapshot, revision: snapshot.revision - 1});
			this.hosts[host] = older;
		}
	}
}

function byText(left: string, right: string): number {
	return left < right ? -1 : 1;
}

const index = fc.nat(11);

const command = commandsOf<SettingsWorld>(async world => {
	assertNone(await world.breaches(false));
});

const commands = [
	command('race', fc.tuple(index, index, index, index), async (world, ...args) => world.race(...args)),
	command('race', fc.tuple(index, index, index, index), async (world, ...args) => world.race(...args)),
	command('retry', fc.tuple(index, index), async (world, ...args) => world.retry(...args)),
	command('refresh', fc.tuple(index), async (world, host) => world.refresh(host)),
	command('gossip', fc.tuple(index, index), (world, ...args) => {
		world.gossip(...args);
	}),
	command('replaceHost', fc.tuple(index), (world, host) => {
		world.replaceHost(host);
	}),
	command('store', fc.tuple(fc.constantFrom(true, false, false)), (world, isDown) => {
		world.table.isDown = isDown;
	}),
	command('dieAfterWrite', fc.tuple(), world => {
		world.table.crashAfterWrite = true;
	}),
	command('objects', fc.tuple(fc.constantFrom(true, false, false)), (world, isDown) => {
		world.objects.isDown = isDown;
	}),
	command('loseAnswer', fc.tuple(fc.integer({min: 1, max: 3}), fc.boolean()), (world, count, isBefore) => {
		if (isBefore) {
			world.table.requestsToLose = count;
		} else {
			world.table.responsesToLose = count;
		}
	}),
];

/**
The property: no accepted change is lost or doubled, no refused one takes effect, no host goes back.
@param size - most commands in one run.
@param sabotage - breaks a promise on purpose.
*/
export function settingsProperty(size: number, sabotage?: SettingsSabotage) {
	return worldProperty(commands, size, () => new SettingsWorld(sabotage), async world => world.breaches(true));
}
