/** The content of the shared row in which the versions of all pools outlast a loss of all hosts. Its times are those of the store's clock. */
import {z} from 'zod';
import {messageOf} from '../../base/common/errors.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import {name} from '../../wire/common/message-fields.js';
import {maxSoftwareVersionLength} from './upstream-server.js';
import {historyMs, type VersionReport} from './version-history.js';

/** Difference between two readings of the same time by hosts whose clocks run differently. */
const clockToleranceMs = 1000;

const archiveSchema = z.object({
	/** Since when the versions are complete. */
	sinceMs: z.number(),
	versions: z.array(z.object({
		/** Hosts report the versions of pools to each other. */
		pool: name,
		softwareVersion: z.string().max(maxSoftwareVersionLength),
		/** When a server of the version was last listed; absent if one may still be. */
		lastMs: z.number().optional(),
	})),
});
export type VersionArchiveContent = z.infer<typeof archiveSchema>;
type ArchivedVersion = VersionArchiveContent['versions'][number];

/**
Parses the text of the row.
@param text - the text.
@returns the content, or why it can't be read.
*/
export function parseArchive(text: string): Outcome<VersionArchiveContent, string> {
	try {
		return ok(archiveSchema.parse(JSON.parse(text)));
	} catch (error) {
		return fail(messageOf(error));
	}
}

/**
Converts the content to a report, as another host would give it.
@param archive - the content.
@param storeMs - the store's clock.
*/
export function reportOfArchive({sinceMs, versions}: VersionArchiveContent, storeMs: number): VersionReport {
	return {
		observedForMs: Math.min(historyMs, Math.max(0, storeMs - sinceMs)),
		versions: versions.map(({pool, softwareVersion, lastMs = storeMs}) => ({pool, softwareVersion, agoMs: Math.max(0, storeMs - lastMs)})),
	};
}

/**
Adds what a host has observed to the content.
@param archive - the content; undefined if there is none yet.
@param report - what the host has observed up to now.
@param storeMs - the store's clock.
@returns the new content.
*/
export function extendArchive(archive: VersionArchiveContent | undefined, report: VersionReport, storeMs: number): VersionArchiveContent {
	const versions = new Map((archive?.versions ?? []).map(version => [keyOf(version), version]));
	const unlisted = new Set(versions.keys());
	for (const {pool, softwareVersion, agoMs} of report.versions) {
		const version = {pool, softwareVersion};
		if (agoMs === 0) {
			unlisted.delete(keyOf(version));
			versions.set(keyOf(version), version);
		} else {
			unlisted.add(keyOf(version));
			versions.set(keyOf(version), {...version, lastMs: lastListedMs(versions.get(keyOf(version)), storeMs - agoMs)});
		}
	}

	for (const key of unlisted) {
		const version = versions.get(key)!;
		const lastMs = version.lastMs ?? storeMs;
		if (lastMs < storeMs - historyMs) {
			versions.delete(key);
		} else {
			versions.set(key, {...version, lastMs});
		}
	}

	return {sinceMs: archive?.sinceMs ?? storeMs - report.observedForMs, versions: [...versions.values()].toSorted(compareVersions)};
}

function lastListedMs(archived: ArchivedVersion | undefined, observedMs: number): number {
	const archivedMs = archived?.lastMs ?? -Infinity;
	return observedMs > archivedMs + clockToleranceMs ? observedMs : archivedMs;
}

function keyOf({pool, softwareVersion}: ArchivedVersion): string {
	return JSON.stringify([pool, softwareVersion]);
}

function compareVersions(left: ArchivedVersion, right: ArchivedVersion): number {
	return keyOf(left) < keyOf(right) ? -1 : 1;
}
