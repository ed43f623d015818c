/** What peers that have one version of the declaration are sent for the one in force: made once for all that have the same. */
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {DeploymentBoard} from '../../deployment/common/deployment-board.js';
import type {PackedDeployment} from '../../wire/common/messages.js';
import {packJson} from './packed-json.js';

/** Keeps the replies for the version in force. */
export class DeclarationReplies implements Disposable {
	static create(board: DeploymentBoard): DeclarationReplies {
		return new DeclarationReplies(board);
	}

	private readonly owned = DisposableStore.create();
	private readonly replies = new Map<number, PackedDeployment>();

	private constructor(private readonly board: DeploymentBoard) {
		this.owned.add(board.onDidChange(() => {
			this.replies.clear();
		}));
	}

	/**
	Gives the reply for a peer.
	@param version - of the declaration that the peer has; 0 for none.
	@returns nothing where nothing is in force here.
	*/
	for(version: number): PackedDeployment | undefined {
		const known = this.replies.get(version);
		if (known) {
			return known;
		}

		const patch = this.board.patchFrom(version);
		if (!patch) {
			return undefined;
		}

		const reply = {baseVersion: patch.baseVersion, version: patch.version, patch: packJson(patch)};
		this.replies.set(version, reply);
		return reply;
	}

	dispose(): void {
		this.owned.dispose();
	}
}
