/** The settings of one host: holds the settings in force, updates them from the store and from peers, and accepts changes. */
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
import {changePageSize, type SettingsStore, type StoreFailure} from './settings-store.js';
import {checkNode, checkTree} from './validate.js';

/** Number of changes kept in memory, so that a peer that is slightly behind gets changes rather than a snapshot. */
const maxRecentChanges = 500;
/** Number of accepted changes from one stored snapshot to the next. */
const revisionsPerSnapshot = 64;
const maxAttempts = 20;

/** An accepted change, and whether an earlier request with the same change id had already made it (`isRepeat`). */
export type Acceptance = {readonly revision: number; readonly isRepeat: boolean};

/** The settings service of a host. */
export type SettingsService = {
	readonly tree: SettingsTree;
	/** Fires with the new revision after it has come into force on this host. */
	readonly onDidChangeRevision: (listener: (revision: number) => void) => Disposable;
	/**
	Applies revisions in the store that are newer than the one in force here.
	@returns the revision in force afterwards.
	*/
	refresh(): Promise<Outcome<number, StoreFailure>>;
	/**
	Validates a change and writes it to the store, or refuses it.
	@param request - the change.
	@param author - name of the operator who requests the change, for the audit trail.
	@returns the accepted revision, or why the change was refused or its outcome is unknown.
	*/
	change(request: ChangeRequest, author: string): Promise<Outcome<Acceptance, ChangeRefusal>>;
	/**
	Creates the reply to a peer that is behind: the changes it lacks if all are in memory, otherwise a snapshot.
	@param fromRevision - the revision in force on the peer.
	@returns the reply.
	*/
	createReply(fromRevision: number): SettingsReply;
	/**
	Applies the settings in a peer's reply that are newer than those in force here.
	@param reply - the peer's reply.
	@throws if the changes or the snapshot can't be parsed.
	*/
	applyReply(reply: SettingsReply): void;
	/**
	Lists accepted changes in order.
	@param afterRevision - the revision after which the list starts.
	@param limit - maximum number of changes.
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
	private recentChanges: Change[] = [];
	private pendingRefresh: Promise<Outcome<number, StoreFailure>> | undefined;

	private constructor(private readonly store: SettingsStore, private readonly clock: Clock) {}

	get onDidChangeRevision() {
		return this.didChangeRevision.event;
	}

	dispose(): void {
		this.didChangeRevision.dispose();
	}

	async refresh(): Promise<Outcome<number, StoreFailure>> {
		// Only one refresh runs at a time; concurrent callers share its result.
		this.pendingRefresh ??= this.runRefresh().finally(() => {
			this.pendingRefresh = undefined;
		});
		return this.pendingRefresh;
	}

	async change(request: ChangeRequest, author: string): Promise<Outcome<Acceptance, ChangeRefusal>> {
		const problems = request.edits.flatMap(edit => edit.after ? checkNode(edit.path, edit.after) : []);
		if (problems.length > 0) {
			return fail({code: 'invalid', problems});
		}

		let lastFailure: StoreFailure = {code: 'storeUnavailable', message: 'too many other changes', mayHaveTakenEffect: false};
		let mayHaveTakenEffect = false;
		for (let attempt = 0; attempt < maxAttempts; attempt++) {
			const result = await this.tryChange(request, author);
			if (result === 'conflict') {
				continue;
			}

			if (result.ok || result.error.code !== 'storeUnavailable') {
				return result;
			}

			lastFailure = result.error;
			mayHaveTakenEffect ||= result.error.mayHaveTakenEffect;
			if (!result.error.mayHaveTakenEffect) {
				break;
			}
			// The response may have been lost after the write took effect. The next attempt therefore reads the change id first.
		}

		return fail({...lastFailure, mayHaveTakenEffect});
	}

	createReply(fromRevision: number): SettingsReply {
		const {revision} = this.tree;
		const base = {type: 'settingsReply' as const, fromRevision, revision};
		if (fromRevision >= revision) {
			return {...base, changes: []};
		}

		const changes = this.recentChanges.filter(change => change.revision > fromRevision);
		return changes.length === revision - fromRevision
			? {...base, changes: changes.map(change => JSON.stringify(change))}
			: {...base, snapshot: JSON.stringify(this.tree.snapshot())};
	}

	applyReply(reply: SettingsReply): void {
		const previousRevision = this.tree.revision;
		for (const text of reply.changes ?? []) {
			this.applyNext(changeSchema.parse(JSON.parse(text)));
		}

		if (reply.snapshot !== undefined && this.tree.restore(snapshotSchema.parse(JSON.parse(reply.snapshot)))) {
			this.recentChanges = [];
		}

		this.fireIfRevisionRose(previousRevision);
	}

	async history(afterRevision: number, limit: number): Promise<Outcome<Change[], StoreFailure>> {
		return this.store.readChanges(afterRevision, limit);
	}

	private async tryChange(request: ChangeRequest, author: string): Promise<Outcome<Acceptance, ChangeRefusal> | 'conflict'> {
		const existingRevision = await this.store.findRevisionByChangeId(request.changeId);
		if (!existingRevision.ok) {
			return fail(existingRevision.error);
		}

		if (existingRevision.value !== undefined) {
			await this.refresh();
			return ok({revision: existingRevision.value, isRepeat: true});
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

		const change = this.createChange(request, author);
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

		this.applyChanges([change]);
		await this.writeSnapshotIfDue(change.revision);
		return ok({revision: change.revision, isRepeat: false});
	}

	private createChange(request: ChangeRequest, author: string): Change {
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
		const staleEdits = request.edits.filter(edit => (this.tree.get(edit.path)?.revision ?? 0) !== edit.baseRevision);
		if (staleEdits.length > 0) {
			return {code: 'conflict', conflicts: await Promise.all(staleEdits.map(async edit => this.conflictOf(edit)))};
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
			const knownRevision = this.tree.revision;
			const changes = await this.store.readChanges(knownRevision, changePageSize);
			if (!changes.ok) {
				return changes;
			}

			if (changes.value[0]?.revision === knownRevision + 1 && head.value.revision - knownRevision <= changePageSize) {
				this.applyChanges(changes.value);
			} else {
				const restored = await this.restoreSnapshot();
				if (!restored.ok) {
					return restored;
				}

				this.applyChanges(changes.value);
			}

			if (this.tree.revision === knownRevision) {
				return fail({code: 'storeUnavailable', message: `revision ${knownRevision + 1} can't be read`, mayHaveTakenEffect: false});
			}
		}

		return ok(this.tree.revision);
	}

	private async restoreSnapshot(): Promise<Outcome<undefined, StoreFailure>> {
		const snapshot = await this.store.readSnapshot();
		if (!snapshot.ok) {
			return snapshot;
		}

		const previousRevision = this.tree.revision;
		if (snapshot.value && this.tree.restore(snapshot.value)) {
			this.recentChanges = [];
		}

		this.fireIfRevisionRose(previousRevision);
		return ok(undefined);
	}

	private applyChanges(changes: readonly Change[]): void {
		const previousRevision = this.tree.revision;
		for (const change of changes) {
			this.applyNext(change);
		}

		this.fireIfRevisionRose(previousRevision);
	}

	private applyNext(change: Change): void {
		if (this.tree.apply(change)) {
			this.recentChanges.push(change);
			this.recentChanges = this.recentChanges.slice(-maxRecentChanges);
		}
	}

	private fireIfRevisionRose(previousRevision: number): void {
		if (this.tree.revision > previousRevision) {
			this.didChangeRevision.fire(this.tree.revision);
		}
	}

	private async writeSnapshotIfDue(revision: number): Promise<void> {
		if (revision % revisionsPerSnapshot === 0) {
			await this.store.writeSnapshot(this.tree.snapshot());
		}
	}
}
