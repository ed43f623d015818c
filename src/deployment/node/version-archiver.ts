/**
Keeps the versions that the servers of all pools have had in a shared row, so that hosts which are all lost at once know the past when they start again. Each
host reads the row once; one host at a time writes it, when a version is listed for the first time or no longer.
*/
import type {Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {Logger} from '../../base/common/logger.js';
import {detach, reportUnexpectedError} from '../../base/common/unexpected-errors.js';
import type {SharedRow, SharedRowContent} from '../common/shared-row.js';
import {extendArchive, parseArchive, reportOfArchive} from '../common/version-archive.js';
import type {VersionHistory} from '../common/version-history.js';

/** How long changes are collected: servers of a version start and end in groups. */
const writeDelayMs = 20;
const minRetryMs = 300;
const maxRetryMs = 4000;

/** Dependencies of `VersionArchiver`. */
export type VersionArchiverOptions = {
	readonly row: SharedRow;
	readonly history: Pick<VersionHistory, 'report' | 'handlePeerReport' | 'handleFirstStart' | 'onDidChange'>;
	/** Whether the hosts start for the first time, so that there is no past if there is no archive. */
	readonly isFirstStart: boolean;
	/** Whether this host is the one that writes. */
	readonly isWriter: () => boolean;
	readonly clock: Clock;
	readonly log: Logger;
};

/** Reads and writes the archive. */
export class VersionArchiver implements Disposable {
	static create(options: VersionArchiverOptions): VersionArchiver {
		return new VersionArchiver(options);
	}

	private readonly disposables = DisposableStore.create();
	private timer: Disposable | undefined;
	private retryMs = minRetryMs;
	private hasRead = false;
	private isWorking = false;
	/** Whether something may have changed since the archive was last written. */
	private isStale = true;
	private wasWriter = true;
	private isDisposed = false;

	private constructor(private readonly options: VersionArchiverOptions) {
		this.disposables.add(options.history.onDidChange(() => {
			this.update();
		}));
		this.disposables.add(options.row);
	}

	/** Starts reading the archive. */
	start(): void {
		this.schedule(0);
	}

	/**
	Reads what other hosts have archived meanwhile.
	@returns whether the archive could be read.
	*/
	async refresh(): Promise<boolean> {
		const content = await this.options.row.read();
		const archive = content.ok && content.value.text !== undefined ? parseArchive(content.value.text) : undefined;
		if (content.ok && archive?.ok) {
			this.options.history.handlePeerReport(reportOfArchive(archive.value, content.value.storeMs));
		}

		return content.ok && archive?.ok !== false;
	}

	/** To be called when another host may write from now on; a host that becomes the writer checks the archive. */
	handleHostsChanged(): void {
		const isWriter = this.options.isWriter();
		if (isWriter && !this.wasWriter) {
			this.update();
		}

		this.wasWriter = isWriter;
	}

	dispose(): void {
		this.isDisposed = true;
		this.disposables.dispose();
		this.timer?.dispose();
	}

	private update(): void {
		this.isStale = true;
		this.schedule(writeDelayMs);
	}

	private schedule(delayMs: number): void {
		const isNeeded = !this.hasRead || (this.isStale && this.options.isWriter());
		if (isNeeded && !this.isWorking && !this.isDisposed) {
			this.timer ??= this.options.clock.setTimer(delayMs, () => {
				this.timer = undefined;
				detach('version archive', this.work());
			});
		}
	}

	private async work(): Promise<void> {
		this.isWorking = true;
		const isDone = await this.trySynchronize();
		this.isWorking = false;
		this.retryMs = isDone ? minRetryMs : Math.min(maxRetryMs, this.retryMs * 2);
		this.schedule(isDone ? writeDelayMs : this.retryMs);
	}

	/** @returns whether the archive is up to date; otherwise it is read again later. */
	private async trySynchronize(): Promise<boolean> {
		try {
			return await this.synchronize();
		} catch (error) {
			reportUnexpectedError('version archive', error);
			this.isStale = true;
			return false;
		}
	}

	/** @returns whether the store answered; otherwise the archive is read again later. */
	private async synchronize(): Promise<boolean> {
		const content = await this.options.row.read();
		if (!content.ok) {
			this.options.log.warn('The archive of software versions could not be read.', {reason: content.error});
			return false;
		}

		const archive = content.value.text === undefined ? undefined : parseArchive(content.value.text);
		if (archive && !archive.ok) {
			this.options.log.warn('The archive of software versions is malformed; it is replaced.', {reason: archive.error, revision: content.value.revision});
		}

		const known = archive?.ok ? archive.value : undefined;
		if (!this.hasRead) {
			if (known) {
				this.options.history.handlePeerReport(reportOfArchive(known, content.value.storeMs));
			} else if (this.options.isFirstStart && content.value.text === undefined) {
				this.options.history.handleFirstStart();
			}

			this.hasRead = true;
		}

		return !this.options.isWriter() || this.write(known, content.value);
	}

	private async write(known: Parameters<typeof extendArchive>[0], {text, revision, storeMs}: SharedRowContent): Promise<boolean> {
		const {history, row, log} = this.options;
		const report = history.report();
		if (!report) {
			return false;
		}

		this.isStale = false;
		const newText = JSON.stringify(extendArchive(known, report, storeMs));
		if (newText === text) {
			return true;
		}

		const written = await row.write(newText, revision);
		if (!written.ok) {
			log.warn('The archive of software versions could not be written.', {reason: written.error});
		}

		// If another host was ahead, what it wrote is read and extended next.
		this.isStale ||= !written.ok || !written.value;
		return written.ok;
	}
}
