/** The settings of one host: in force, kept up to date, changed, and told to peers. */
import type {InjectionToken} from 'tsyringe';
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import {Emitter} from '../../base/common/emitter.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import type {SettingsReply} from '../../wire/common/messages.js';
import {
	changeSchema, type Change, type ChangeRefusal, type ChangeRequest, type Edit, type EditConflict,
} from './change.js';
import {SettingsTree, snapshotSchema} from './settings-tree.js';
import {changePage, type SettingsStore, type StoreFailure} from './settings-store.js';
import {checkNode, checkTree} from './validate.js';

/** Changes kept in memory for peers that are a little behind. */
const recentChanges = 500;
/** A snapshot is kept each time this many changes were accepted. */
const snapshotInterval = 64;
const mostTries = 20;

/** A change in force, with whether this call brought it about. */
export type Acceptance = {readonly revision: number; readonly isRepeat: boolean};

/** The settings service of a host. */
export type SettingsService = {
	readonly tree: SettingsTree;
	/** Fires with the new revision, after it is in force here. */
	readonly onDidChangeRevision: (listener: (revision: number) => void) => Disposable;
	/** Takes over what the store has beyond what is in force here. */
	refresh(): Promise<Outcome<number, StoreFailure>>;
	/**
	Accepts a change, or refuses it.
	@param request - the change.
	@param author - who asks.
	*/
	change(request: ChangeRequest, author: string): Promise<Outcome<Acceptance, ChangeRefusal>>;
	/**
	Answers a peer that is behind.
	@param fromRevision - what the peer has in force.
	*/
	replyTo(fromRevision: number): SettingsReply;
	/**
	Takes over what a peer has.
	@param reply - the peer's answer.
	*/
	learn(reply: SettingsReply): void;
	/**
	Lists accepted changes.
	@param afterRevision - the last one not wanted.
	@param limit - most changes wanted.
	*/
	history(afterRevision: number, limit: number): Promise<Outcome<Change[], StoreFailure>>;
};

export const settingsServiceToken: InjectionToken<SettingsService> = Symbol('SettingsService');

/** Settings backed by the platform's table service and by peers. */
export class StoredSettingsService implements SettingsService, Disposable {
	static create(store: SettingsStore, clock: Clock): StoredSettingsService {
		return new StoredSettingsService(store, clock);
	}

	readonly tree = SettingsTree.create();
	private readonly didChangeRevision = Emitter.create<number>();
	private recent: Change[] = [];
	private refreshing: Promise<Outcome<number, StoreFailure>> | undefined;

	private constructor(private readonly store: SettingsStore, private readonly clock: Clock) {}

	get onDidChangeRevision() {
		return this.didChangeRevision.event;
	}

	dispose(): void {
		this.didChangeRevision.dispose();
	}

	async refresh(): Promise<Outcome<number, StoreFailure>> {
		// One at a time: callers that come meanwhile share the answer.
		this.refreshing ??= this.runRefresh().finally(() => {
			this.refreshing = undefined;
		});
		return this.refreshing;
	}

	async change(request: ChangeRequest, author: string): Promise<Outcome<Acceptance, ChangeRefusal>> {
		const problems = request.edits.flatMap(edit => edit.after ? checkNode(edit.path, edit.after) : []);
		if (problems.length > 0) {
			return fail({code: 'invalid', problems});
		}

		let lastFailure: StoreFailure = {code: 'storeUnavailable', message: 'too many other changes', mayHaveTakenEffect: false};
		let mayHaveTakenEffect = false;
		for (let attempt = 0; attempt < mostTries; attempt++) {
			const tried = await this.tryChange(request, author);
			if (tried === 'conflict') {
				continue;
			}

			if (tried.ok || tried.error.code !== 'storeUnavailable') {
				return tried;
			}

			lastFailure = tried.error;
			mayHaveTakenEffect ||= tried.error.mayHaveTakenEffect;
			if (!tried.error.mayHaveTakenEffect) {
				break;
			}
			// The answer may be lost after the write: the next try reads the change id back first.
		}

		return fail({...lastFailure, mayHaveTakenEffect});
	}

	replyTo(fromRevision: number): SettingsReply {
		const {revision} = this.tree;
		const base = {type: 'settingsReply' as const, fromRevision, revision};
		if (fromRevision >= revision) {
			return {...base, changes: []};
		}

		const changes = this.recent.filter(change => change.revision > fromRevision);
		return changes.length === revision - fromRevision
			? {...base, changes: changes.map(change => JSON.stringify(change))}
			: {...base, snapshot: JSON.stringify(this.tree.snapshot())};
	}

	learn(reply: SettingsReply): void {
		const before = this.tree.revision;
		for (const text of reply.changes ?? []) {
			this.applyNext(changeSchema.parse(JSON.parse(text)));
		}

		if (reply.snapshot !== undefined && this.tree.restore(snapshotSchema.parse(JSON.parse(reply.snapshot)))) {
			this.recent = [];
		}

		this.announce(before);
	}

	async history(afterRevision: number, limit: number): Promise<Outcome<Change[], StoreFailure>> {
		return this.store.readChanges(afterRevision, limit);
	}

	private async tryChange(request: ChangeRequest, author: string): Promise<Outcome<Acceptance, ChangeRefusal> | 'conflict'> {
		const earlier = await this.store.readChangeId(request.changeId);
		if (!earlier.ok) {
			return fail(earlier.error);
		}

		if (earlier.value !== undefined) {
			await this.refresh();
			return ok({revision: earlier.value, isRepeat: true});
		}

		const head = await this.store.readHead();
		if (!head.ok) {
			return fail(head.error);
		}

		const refreshed = await this.refresh();
		if (!refreshed.ok) {
			return fail(refreshed.error);
		}

		if (this.tree.revision !== head.value.revision) {
			return 'conflict';
		}

		const change = this.changeOf(request, author);
		const refusal = await this.refusalOf(request, change);
		if (refusal) {
			return fail(refusal);
		}

		const appended = await this.store.append(change, head.value);
		if (!appended.ok) {
			return appended;
		}

		if (appended.value === 'conflict') {
			return 'conflict';
		}

		this.takeOver([change]);
		await this.keepSnapshot(change.revision);
		return ok({revision: change.revision, isRepeat: false});
	}

	private changeOf(request: ChangeRequest, author: string): Change {
		return {
			revision: this.tree.revision + 1,
			changeId: request.changeId,
			author,
			reason: request.reason,
			atMs: this.clock.wallMs(),
			edits: request.edits.map(({path, after}) => ({path, before: this.tree.get(path)?.fields, after})),
		};
	}

	private async refusalOf(request: ChangeRequest, change: Change): Promise<ChangeRefusal | undefined> {
		const stale = request.edits.filter(edit => (this.tree.get(edit.path)?.revision ?? 0) !== edit.baseRevision);
		if (stale.length > 0) {
			return {code: 'conflict', conflicts: await Promise.all(stale.map(async edit => this.conflictOf(edit)))};
		}

		const candidate = SettingsTree.create();
		candidate.restore(this.tree.snapshot());
		candidate.apply(change);
		const problems = checkTree(candidate, change.edits.map(edit => edit.path));
		return problems.length > 0 ? {code: 'invalid', problems} : undefined;
	}

	private async conflictOf(edit: Edit): Promise<EditConflict> {
		const node = this.tree.get(edit.path);
		const revision = node?.revision ?? 0;
		const change = revision > 0 ? await this.store.readChange(revision) : undefined;
		return {
			path: edit.path,
			baseRevision: edit.baseRevision,
			revision,
			author: change?.author ?? (node ? 'unknown' : 'removed meanwhile'),
			...(node && {fields: node.fields}),
		};
	}

	private async runRefresh(): Promise<Outcome<number, StoreFailure>> {
		const head = await this.store.readHead();
		if (!head.ok) {
			return head;
		}

		while (this.tree.revision < head.value.revision) {
			const known = this.tree.revision;
			const changes = await this.store.readChanges(known, changePage);
			if (!changes.ok) {
				return changes;
			}

			if (changes.value[0]?.revision === known + 1 && head.value.revision - known <= changePage) {
				this.takeOver(changes.value);
			} else {
				const restored = await this.restoreSnapshot();
				if (!restored.ok) {
					return restored;
				}

				this.takeOver(changes.value);
			}

			if (this.tree.revision === known) {
				return fail({code: 'storeUnavailable', message: `revision ${known + 1} can't be read`, mayHaveTakenEffect: false});
			}
		}

		return ok(this.tree.revision);
	}

	private async restoreSnapshot(): Promise<Outcome<undefined, StoreFailure>> {
		const snapshot = await this.store.readSnapshot();
		if (!snapshot.ok) {
			return snapshot;
		}

		const before = this.tree.revision;
		if (snapshot.value && this.tree.restore(snapshot.value)) {
			this.recent = [];
		}

		this.announce(before);
		return ok(undefined);
	}

	private takeOver(changes: readonly Change[]): void {
		const before = this.tree.revision;
		for (const change of changes) {
			this.applyNext(change);
		}

		this.announce(before);
	}

	private applyNext(change: Change): void {
		if (this.tree.apply(change)) {
			this.recent.push(change);
			this.recent = this.recent.slice(-recentChanges);
		}
	}

	private announce(before: number): void {
		if (this.tree.revision > before) {
			this.didChangeRevision.fire(this.tree.revision);
		}
	}

	private async keepSnapshot(revision: number): Promise<void> {
		if (revision % snapshotInterval === 0) {
			await this.store.writeSnapshot(this.tree.snapshot());
		}
	}
}
