/** Builds the replies to requests for the declaration and the server list, each once for all peers that lack the same part. */
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {DeploymentTracker} from '../../deployment/common/deployment-tracker.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {PackedDeployment} from '../../wire/common/messages.js';
import {packJson} from './packed-json.js';

/** Caches the replies until the state in force changes. */
export class StateReplyCache implements Disposable {
	static create(tracker: DeploymentTracker, registry: ServerRegistry): StateReplyCache {
		return new StateReplyCache(tracker, registry);
	}

	private readonly disposables = DisposableStore.create();
	/** By the version that the requesting peer has. */
	private readonly patches = new Map<number, PackedDeployment>();
	private packedList: {readonly revision: number; readonly packed: Uint8Array} | undefined;

	private constructor(private readonly tracker: DeploymentTracker, private readonly registry: ServerRegistry) {
		this.disposables.add(tracker.onDidChange(() => {
			this.patches.clear();
		}));
		this.disposables.add(registry.onDidChange(() => {
			this.packedList = undefined;
		}));
	}

	/**
	Returns the part of the declaration that a peer lacks.
	@param version - the version that the peer has; 0 for none.
	@returns the compressed patch; `undefined` if no declaration is in force on this host.
	*/
	deployment(version: number): PackedDeployment | undefined {
		const cached = this.patches.get(version);
		if (cached) {
			return cached;
		}

		const patch = this.tracker.patchFrom(version);
		if (!patch) {
			return undefined;
		}

		const packed = {baseVersion: patch.baseVersion, version: patch.version, patch: packJson(patch)};
		this.patches.set(version, packed);
		return packed;
	}

	/** @returns all listed servers as compressed JSON: 200 servers take 40 KB as text and 5 KB compressed. */
	servers(): Uint8Array {
		const {revision} = this.registry;
		if (this.packedList?.revision !== revision) {
			this.packedList = {revision, packed: packJson(this.registry.snapshot())};
		}

		return this.packedList.packed;
	}

	dispose(): void {
		this.disposables.dispose();
	}
}
