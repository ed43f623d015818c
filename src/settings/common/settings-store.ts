/** Stores accepted settings in the table service. One transaction accepts a change and writes its audit row. */
import type {z} from 'zod';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import type {ObjectStore} from '../../store/common/object-store.js';
import type {RowWrite, TableFailure, TableService} from '../../store/common/table-service.js';
import {changeSchema, type Change} from './change.js';
import {snapshotSchema, type SettingsSnapshot} from './settings-tree.js';

const headKey = 'settings/head';
const changePrefix = 'settings/change/';
const changeIdPrefix = 'settings/change-id/';
const snapshotKey = 'settings/snapshot';
const snapshotObjectPrefix = 'settings/snapshot/';
const revisionDigits = 12;

/** Maximum number of changes read in one call. */
export const changePageSize = 200;

/** The newest accepted revision, and the version of the row that holds it. */
export type SettingsHead = {readonly revision: number; readonly version: number};

/** A call that failed because the store did not respond. A write may have taken effect nevertheless. */
export type StoreFailure = {readonly code: 'storeUnavailable'; readonly message: string; readonly mayHaveTakenEffect: boolean};

/** Outcome of an attempt to append a change. */
export type AppendResult = 'appended' | 'conflict';

function changeKey(revision: number): string {
	return `${changePrefix}${String(revision).padStart(revisionDigits, '0')}`;
}

function toStoreFailure(failure: TableFailure): StoreFailure {
	return failure.code === 'unavailable'
		? {code: 'storeUnavailable', message: failure.message, mayHaveTakenEffect: failure.mayHaveTakenEffect}
		: {code: 'storeUnavailable', message: `unexpected conflict on ${failure.keys.join(', ')}`, mayHaveTakenEffect: false};
}

/** Reads and appends accepted changes. */
export class SettingsStore {
	static create(table: TableService, objects: ObjectStore): SettingsStore {
		return new SettingsStore(table, objects);
	}

	private constructor(private readonly table: TableService, private readonly objects: ObjectStore) {}

	/** @returns the newest accepted revision. */
	async readHead(): Promise<Outcome<SettingsHead, StoreFailure>> {
		const rows = await this.table.read([headKey]);
		if (!rows.ok) {
			return fail(toStoreFailure(rows.error));
		}

		const [row] = rows.value;
		return ok(row ? {revision: Number(row.value), version: row.version} : {revision: 0, version: 0});
	}

	/**
	Finds the revision that a change id produced.
	@param changeId - the id that the client chose.
	@returns the revision, or undefined if the change has not taken effect.
	*/
	async findRevisionByChangeId(changeId: string): Promise<Outcome<number | undefined, StoreFailure>> {
		const rows = await this.table.read([`${changeIdPrefix}${changeId}`]);
		if (!rows.ok) {
			return fail(toStoreFailure(rows.error));
		}

		return ok(rows.value.length > 0 ? Number(rows.value[0].value) : undefined);
	}

	/**
	Reads accepted changes in order.
	@param afterRevision - the last known revision.
	@param limit - maximum number of changes.
	@returns the next changes; fewer than `limit` if there are no more, if older ones were archived, or if a row is malformed.
	*/
	async readChanges(afterRevision: number, limit = changePageSize): Promise<Outcome<Change[], StoreFailure>> {
		const rows = await this.table.scan({prefix: changePrefix, after: changeKey(afterRevision), limit});
		if (!rows.ok) {
			return fail(toStoreFailure(rows.error));
		}

		const changes = rows.value.map(row => parseStored(row.value, changeSchema));
		// A malformed row ends the list: a host stays at the revision before it rather than skip a revision.
		const firstUnreadableIndex = changes.indexOf(undefined);
		return ok(changes.slice(0, firstUnreadableIndex === -1 ? changes.length : firstUnreadableIndex).filter(change => change !== undefined));
	}

	/**
	Reads one accepted change.
	@param revision - revision of the change.
	@returns the change, or undefined if it is missing, malformed or can't be read.
	*/
	async readChange(revision: number): Promise<Change | undefined> {
		const rows = await this.table.read([changeKey(revision)]);
		return rows.ok && rows.value.length > 0 ? parseStored(rows.value[0].value, changeSchema) : undefined;
	}

	/**
	Appends a change if the head has not changed since the change was validated.
	@param change - the change, with the revision after that of the head.
	@param head - the head that the change was validated against.
	@returns whether the change was appended; after a failure the change may have been appended nevertheless.
	*/
	async append(change: Change, head: SettingsHead): Promise<Outcome<AppendResult, StoreFailure>> {
		const key = changeKey(change.revision);
		const changeIdKey = `${changeIdPrefix}${change.changeId}`;
		const writes: RowWrite[] = [
			{key: headKey, value: String(change.revision)},
			{key, value: JSON.stringify(change)},
			{key: changeIdKey, value: String(change.revision)},
		];
		const result = await this.table.transact({
			conditions: [{key: headKey, version: head.version}, {key, version: 0}, {key: changeIdKey, version: 0}],
			writes,
		});
		if (result.ok) {
			return ok('appended');
		}

		return result.error.code === 'conflict' ? ok('conflict') : fail(toStoreFailure(result.error));
	}

	/** @returns the newest snapshot, or undefined if there is none or it is malformed. */
	async readSnapshot(): Promise<Outcome<SettingsSnapshot | undefined, StoreFailure>> {
		const rows = await this.table.read([snapshotKey]);
		if (!rows.ok) {
			return fail(toStoreFailure(rows.error));
		}

		if (rows.value.length === 0) {
			return ok(undefined);
		}

		const text = await this.objects.get(rows.value[0].value);
		if (!text.ok) {
			return fail({code: 'storeUnavailable', message: text.error.message, mayHaveTakenEffect: false});
		}

		return ok(text.value === undefined ? undefined : parseStored(text.value, snapshotSchema));
	}

	/**
	Stores a snapshot unless a newer one exists. Writes the object before the row that refers to it, so that a reader never finds
	a name without its object.
	@param snapshot - all nodes at a revision.
	*/
	async writeSnapshot(snapshot: SettingsSnapshot): Promise<void> {
		const name = `${snapshotObjectPrefix}${snapshot.revision}`;
		const rows = await this.table.read([snapshotKey]);
		if (!rows.ok) {
			return;
		}

		const isNewer = rows.value.length === 0 || revisionOfSnapshotName(rows.value[0].value) < snapshot.revision;
		const written = isNewer ? await this.objects.put(name, JSON.stringify(snapshot)) : undefined;
		if (written?.ok) {
			// The result is ignored: a lost response does no harm, since the next snapshot is stored under its own name.
			await this.table.transact({
				conditions: [{key: snapshotKey, version: rows.value[0]?.version ?? 0}],
				writes: [{key: snapshotKey, value: name}],
			});
		}
	}
}

/** Parses a stored text. Returns undefined if it is malformed, since another version of this program may have written it. */
function parseStored<T>(text: string, schema: z.ZodType<T>): T | undefined {
	try {
		return schema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}

function revisionOfSnapshotName(name: string): number {
	return Number(name.slice(snapshotObjectPrefix.length));
}
