/** What peers are sent of the declaration and the servers: made once for all that lack the same. */
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {DeploymentTracker} from '../../deployment/common/deployment-tracker.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {PackedDeployment} from '../../wire/common/messages.js';
import {packJson} from './packed-json.js';

/** Keeps the replies until what is in force changes. */
export class StateReplies implements Disposable {
	static create(board: DeploymentTracker, registry: ServerRegistry): StateReplies {
		return new StateReplies(board, registry);
	}

	private readonly owned = DisposableStore.create();
	/** By the version that the peer has. */
	private readonly patches = new Map<number, PackedDeployment>();
	private list: {readonly revision: number; readonly packed: Uint8Array} | undefined;

	private constructor(private readonly board: DeploymentTracker, private readonly registry: ServerRegistry) {
		this.owned.add(board.onDidChange(() => {
			this.patches.clear();
		}));
		this.owned.add(registry.onDidChange(() => {
			this.list = undefined;
		}));
	}

	/**
	Gives what a peer lacks of the declaration.
	@param version - the one that the peer has; 0 for none.
	@returns nothing where nothing is in force here.
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

	/** @returns all servers that are listed, packed: 200 take 40 KB as text and 5 KB so. */
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
