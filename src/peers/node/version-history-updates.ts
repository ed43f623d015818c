/** Reports the software versions that this host has observed to hosts that connect, and applies what they report: a host that has just started knows no past. */
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {VersionHistory} from '../../deployment/common/version-history.js';
import {maxReportedVersions} from '../../wire/common/stream-messages.js';
import type {PeerMesh} from './peer-mesh.js';

/** Dependencies of `VersionHistoryUpdates`. */
export type VersionHistoryUpdatesOptions = {
	readonly history: Pick<VersionHistory, 'report' | 'handlePeerReport'>;
	readonly mesh: Pick<PeerMesh, 'onDidReceive' | 'onDidConnect' | 'send'>;
};

/** Exchanges version histories when hosts connect. */
export class VersionHistoryUpdates implements Disposable {
	static create(options: VersionHistoryUpdatesOptions): VersionHistoryUpdates {
		return new VersionHistoryUpdates(options);
	}

	private readonly disposables = DisposableStore.create();

	private constructor({history, mesh}: VersionHistoryUpdatesOptions) {
		this.disposables.add(mesh.onDidReceive(({message}) => {
			if (message.type === 'versionHistory') {
				history.handlePeerReport(message);
			}
		}));
		this.disposables.add(mesh.onDidConnect(hostId => {
			const report = history.report();
			// A part of the versions would look like a pool that has had no others.
			if (report && report.versions.length <= maxReportedVersions) {
				mesh.send(hostId, {type: 'versionHistory', observedForMs: report.observedForMs, versions: [...report.versions]});
			}
		}));
	}

	dispose(): void {
		this.disposables.dispose();
	}
}
