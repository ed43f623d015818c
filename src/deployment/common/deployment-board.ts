/** The declaration in force on this host: versions only rise, and the last one stays while its source is away. */
import type {InjectionToken} from 'tsyringe';
import {Emitter} from '../../base/common/emitter.js';
import type {Logger} from '../../base/common/logger.js';
import type {Deployment} from './declaration.js';
import {DeploymentIndex} from './deployment-index.js';
import {makeDeploymentPatch, type DeploymentPatch} from './deployment-patch.js';
import {shareUnchanged} from './share-unchanged.js';

/**
Versions that are kept for peers which have one of them: about as many as come within the time in which each must be in
force everywhere, when they come every 300 ms. They share what did not change; a peer with an older one gets everything.
*/
const keptVersions = 16;

/** Where a version was learnt. */
export type DeploymentSource = 'store' | 'peer';

export const deploymentBoardToken: InjectionToken<DeploymentBoard> = Symbol('DeploymentBoard');

/** Holds the newest declaration this host has seen. */
export class DeploymentBoard {
	static create(log: Logger): DeploymentBoard {
		return new DeploymentBoard(log);
	}

	private readonly didChange = Emitter.create<DeploymentIndex>();
	private index: DeploymentIndex | undefined;
	/** The last versions in force, the newest at the end. */
	private recent: Deployment[] = [];

	private constructor(private readonly log: Logger) {}

	/** Fires for each version that comes into force. */
	get onDidChange() {
		return this.didChange.event;
	}

	/** The version in force; none before the first was seen. */
	get current(): DeploymentIndex | undefined {
		return this.index;
	}

	/** 0 before the first version. */
	get version(): number {
		return this.index?.version ?? 0;
	}

	/**
	Takes a declaration if it is newer than the one in force.
	@param deployment - as read.
	@param source - where it came from.
	@returns whether it is in force now.
	*/
	offer(deployment: Deployment, source: DeploymentSource): boolean {
		if (this.index && deployment.version <= this.index.version) {
			return false;
		}

		const before = this.version;
		const shared = shareUnchanged(this.index?.deployment, deployment);
		this.recent = [...this.recent, shared].slice(-keptVersions);
		this.index = DeploymentIndex.create(shared);
		this.log.info('A new version of the declaration is in force.', {
			version: deployment.version, before, source, routes: deployment.routes.length,
		});
		this.didChange.fire(this.index);
		return true;
	}

	/**
	Tells what a peer lacks of the version in force.
	@param version - the one that it has; 0 for none.
	@returns the difference, or everything where that version is not kept; nothing before the first version.
	*/
	patchFrom(version: number): DeploymentPatch | undefined {
		const known = this.recent.find(deployment => deployment.version === version);
		return this.index && makeDeploymentPatch(known, this.index.deployment);
	}
}
