/** Fuzzer of settings: concurrent editors, lost responses, outages, replaced hosts and stale peers; the oracle is the list of accepted changes. */
import fc from 'fast-check';
import {ManualClock} from '../src/base/common/clock.js';
import type {ChangeRequest} from '../src/settings/common/change.js';
import {StoredSettingsService} from '../src/settings/common/settings-service.js';
import {SettingsStore} from '../src/settings/common/settings-store.js';
import {MemoryObjects} from '../src/standins/common/memory-objects.js';
import {MemoryTable} from '../src/standins/common/memory-table.js';
import {assertNoBreaches, commandFactory, simulationProperty} from './simulation-commands.js';

const hostCount = 3;
const paths = ['/', '/workspaces/a', '/workspaces/b', '/pools/p'] as const;

type AttemptedChange = {readonly request: ChangeRequest; isAccepted: boolean; mayHaveTakenEffect: boolean; revision: number};

/** Defects that a test injects on purpose, to show that the fuzzer detects them. */
export type InjectedSettingsDefect = 'forgetChangeIds' | 'goBack' | undefined;

class SettingsSimulation {
	readonly table = MemoryTable.create();
	readonly objects = MemoryObjects.create();
	readonly clock = ManualClock.create();
	readonly store = SettingsStore.create(this.table, this.objects);
	readonly hosts: StoredSettingsService[] = [];
	/** Highest revision seen in effect on each host since the host started. */
	readonly highestRevisions: number[] = [];
	/** The oracle: every attempted change, with the result that its editor received. */
	readonly attemptedChanges: AttemptedChange[] = [];
	private serial = 0;

	constructor(private readonly defect: InjectedSettingsDefect) {
		for (let index = 0; index < hostCount; index++) {
			this.replaceHost(index);
		}
	}

	replaceHost(index: number): void {
		const host = index % hostCount;
		this.hosts[host] = StoredSettingsService.create(this.store, this.clock);
		this.highestRevisions[host] = 0;
	}

	/** Two editors make a change concurrently, each through a host and based on the settings in effect there. */
	async race(firstHost: number, secondHost: number, firstPath: number, secondPath: number): Promise<void> {
		await Promise.all([this.edit(firstHost, firstPath), this.edit(secondHost, secondPath)]);
	}

	/** An editor whose change is not known to be accepted sends it again, possibly through another host. */
	async retry(hostIndex: number, changeIndex: number): Promise<void> {
		const notAccepted = this.attemptedChanges.filter(item => !item.isAccepted);
		const item = notAccepted.at(changeIndex % Math.max(1, notAccepted.length));
		if (item) {
			await this.send(hostIndex, item);
		}
	}

	async refresh(hostIndex: number): Promise<void> {
		await this.hosts[hostIndex % hostCount].refresh();
		if (this.defect === 'goBack' && this.serial > 2) {
			this.rollBackTree(hostIndex % hostCount);
		}
	}

	/** A host receives the settings of a peer, which may be older than its own. */
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
			if (host.tree.revision < this.highestRevisions[index]) {
				found.push(`host ${index} went back from revision ${this.highestRevisions[index]} to ${host.tree.revision}`);
			}

			this.highestRevisions[index] = Math.max(this.highestRevisions[index], host.tree.revision);
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

		for (const {request, isAccepted, mayHaveTakenEffect} of this.attemptedChanges) {
			const count = counts.get(request.changeId) ?? 0;
			if (count > 1) {
				found.push(`change ${request.changeId} took effect ${count} times`);
			}

			if (isAccepted && count === 0) {
				found.push(`change ${request.changeId} was accepted but is lost`);
			}

			if (!isAccepted && !mayHaveTakenEffect && count > 0) {
				found.push(`change ${request.changeId} was refused but took effect`);
			}
		}

		// Every host must have the settings that result from replaying the accepted changes.
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

		const expectedText = JSON.stringify(Array.from(expected, ([path, text]) => `${path} ${text}`).toSorted(compareTexts));
		for (const [index, host] of this.hosts.entries()) {
			const actualText = JSON.stringify(host.tree.snapshot().nodes.map(node => `${node.path} ${JSON.stringify(node.fields)}`).toSorted(compareTexts));
			if (actualText !== expectedText) {
				found.push(`host ${index} has ${actualText}, but the accepted changes result in ${expectedText}`);
			}
		}

		return found;
	}

	private async edit(hostIndex: number, pathIndex: number): Promise<void> {
		const host = this.hosts[hostIndex % hostCount];
		const path = paths[pathIndex % paths.length];
		this.serial++;
		const after = path === '/pools/p' ? {kind: 'worker', slots: this.serial} : {deadlineMs: this.serial};
		const item: AttemptedChange = {
			request: {changeId: `c${this.serial}`, reason: 'fuzz', edits: [{path, baseRevision: host.tree.get(path)?.revision ?? 0, after}]},
			isAccepted: false,
			mayHaveTakenEffect: false,
			revision: 0,
		};
		this.attemptedChanges.push(item);
		await this.send(hostIndex, item);
	}

	private async send(hostIndex: number, item: AttemptedChange): Promise<void> {
		if (this.defect === 'forgetChangeIds') {
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

	/** Deletes the record of a change id and rebases the edit on the newest revision of the node, as a retry without idempotency would. */
	private async forgetChangeId(request: ChangeRequest): Promise<void> {
		await this.table.transact({conditions: [], writes: [{key: `settings/change-id/${request.changeId}`}]});
		await Promise.all(this.hosts.map(async host => host.refresh()));
		const head = this.hosts.toSorted((a, b) => b.tree.revision - a.tree.revision)[0].tree;
		for (const edit of request.edits) {
			edit.baseRevision = head.get(edit.path)?.revision ?? 0;
		}
	}

	private rollBackTree(host: number): void {
		const snapshot = this.hosts[host].tree.snapshot();
		if (snapshot.revision > 1) {
			const older = StoredSettingsService.create(this.store, this.clock);
			older.tree.restore({...snapshot, revision: snapshot.revision - 1});
			this.hosts[host] = older;
		}
	}
}

function compareTexts(left: string, right: string): number {
	return left < right ? -1 : 1;
}

const index = fc.nat(11);

const command = commandFactory<SettingsSimulation>(async simulation => {
	assertNoBreaches(await simulation.breaches(false));
});

const commands = [
	command('race', fc.tuple(index, index, index, index), async (simulation, ...args) => simulation.race(...args)),
	command('race', fc.tuple(index, index, index, index), async (simulation, ...args) => simulation.race(...args)),
	command('retry', fc.tuple(index, index), async (simulation, ...args) => simulation.retry(...args)),
	command('refresh', fc.tuple(index), async (simulation, host) => simulation.refresh(host)),
	command('gossip', fc.tuple(index, index), (simulation, ...args) => {
		simulation.gossip(...args);
	}),
	command('replaceHost', fc.tuple(index), (simulation, host) => {
		simulation.replaceHost(host);
	}),
	command('store', fc.tuple(fc.constantFrom(true, false, false)), (simulation, isDown) => {
		simulation.table.isDown = isDown;
	}),
	command('dieAfterWrite', fc.tuple(), simulation => {
		simulation.table.crashAfterWrite = true;
	}),
	command('objects', fc.tuple(fc.constantFrom(true, false, false)), (simulation, isDown) => {
		simulation.objects.isDown = isDown;
	}),
	command('loseAnswer', fc.tuple(fc.integer({min: 1, max: 3}), fc.boolean()), (simulation, count, isBefore) => {
		if (isBefore) {
			simulation.table.requestsToLose = count;
		} else {
			simulation.table.responsesToLose = count;
		}
	}),
];

/**
The property: no accepted change is lost or takes effect twice, no refused change takes effect, and no host returns to an older revision.
@param maxCommands - upper bound on the commands in one run.
@param defect - defect to inject, which breaks the property on purpose.
*/
export function settingsProperty(maxCommands: number, defect?: InjectedSettingsDefect) {
	return simulationProperty(commands, maxCommands, () => new SettingsSimulation(defect), async simulation => simulation.breaches(true));
}
