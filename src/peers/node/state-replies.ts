/** Builds what peers are sent of the declaration and the server list, once for all peers that lack the same. */
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {DeploymentBoard} from '../../deployment/common/deployment-board.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {PackedDeployment} from '../../wire/common/messages.js';
import {packJson} from './packed-json.js';

/** Caches the replies until the state in force changes. */
export class StateReplies implements Disposable {
	static create(board: DeploymentBoard, registry: ServerRegistry): StateReplies {
		return new StateReplies(board, registry);
	}

	private readonly owned = DisposableStore.create();
	/** By the version that the requesting peer has. */
	private readonly patches = new Map<number, PackedDeployment>();
	private list: {readonly revision: number; readonly packed: Uint8Array} | undefined;

	private constructor(private readonly board: DeploymentBoard, private readonly registry: ServerRegistry) {
		this.owned.add(board.onDidChange(() => {
			this.patches.clear();
		}));
		this.owned.add(registry.onDidChange(() => {
			this.list = undefined;
		}));
	}

	/**
	Returns the part of the declaration that a peer lacks.
	@param version - the version that the peer has; 0 for none.
	@returns the compressed patch; `undefined` if no declaration is in force on this host.
	*/
	deployment(version: number): PackedDeployment | undefined {
		const known = this.patches.get(version);
		if (known) {
			return known;
		}

		const patch = this.board.patchFrom(version);
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
		if (this.list?.revision !== revision) {
			this.list = {revision, packed: packJson(this.registry.snapshot())};
		}

		return this.list.packed;
	}

	dispose(): void {
		this.owned.dispose();
	}
}
