/** Tracks the declaration in force on this host: versions only increase, and the last one stays in force while its source is unavailable. */
import type {InjectionToken} from 'tsyringe';
import {Emitter} from '../../base/common/emitter.js';
import type {Logger} from '../../base/common/logger.js';
import type {Deployment} from './declaration.js';
import {DeploymentIndex} from './deployment-index.js';
import {makeDeploymentPatch, type DeploymentPatch} from './deployment-patch.js';
import {shareUnchanged} from './share-unchanged.js';

/**
Number of versions that are kept to make patches for peers that have one of them: about as many as arrive, at one every
300 ms, within the time in which each must be in force everywhere. They share what did not change; a peer with an older
version gets the complete declaration.
*/
const maxKeptVersions = 16;

/** Problems of one version that are logged one by one; the lines tell how many there are. */
const maxLoggedProblems = 20;
const maxLoggedReasonLength = 400;

/** Where a version was received from. */
export type DeploymentSource = 'store' | 'peer';

export const deploymentTrackerToken: InjectionToken<DeploymentTracker> = Symbol('DeploymentTracker');

/** Holds the newest declaration that this host has received. */
export class DeploymentTracker {
	static create(log: Logger): DeploymentTracker {
		return new DeploymentTracker(log);
	}

	private readonly didChange = Emitter.create<DeploymentIndex>();
	private index: DeploymentIndex | undefined;
	/** The last versions in force, newest last. */
	private recent: Deployment[] = [];

	private constructor(private readonly log: Logger) {}

	/** Fires when a new version comes into force. */
	get onDidChange() {
		return this.didChange.event;
	}

	/** The version in force; undefined before the first one is received. */
	get current(): DeploymentIndex | undefined {
		return this.index;
	}

	/** Number of the version in force; 0 before the first one. */
	get version(): number {
		return this.index?.version ?? 0;
	}

	/**
	Puts a declaration into force if it is newer than the current one.
	@param deployment - the declaration as read.
	@param source - where it was received from.
	@returns whether it came into force.
	*/
	offer(deployment: Deployment, source: DeploymentSource): boolean {
		if (this.index && deployment.version <= this.index.version) {
			return false;
		}

		const before = this.version;
		const shared = shareUnchanged(this.index?.deployment, deployment);
		this.recent = [...this.recent, shared].slice(-maxKeptVersions);
		const reported = new Set(this.index?.problems);
		this.index = DeploymentIndex.create(shared);
		this.logProblems(this.index, reported);
		this.log.info('A new version of the declaration is in force.', {
			version: deployment.version, before, source, routes: deployment.routes.length,
		});
		this.didChange.fire(this.index);
		return true;
	}

	/**
	Makes the patch that brings a peer to the version in force.
	@param version - the version that the peer has; 0 for none.
	@returns the difference, or the complete declaration if that version is not kept; undefined before the first version.
	*/
	patchFrom(version: number): DeploymentPatch | undefined {
		const known = this.recent.find(deployment => deployment.version === version);
		return this.index && makeDeploymentPatch(known, this.index.deployment);
	}

	/** Logs what can't be used of a version, but for what was the same in the version before. */
	private logProblems({version, problems}: DeploymentIndex, reported: ReadonlySet<string>): void {
		const newProblems = problems.filter(problem => !reported.has(problem));
		for (const reason of newProblems.slice(0, maxLoggedProblems)) {
			this.log.error('A part of the declaration can\'t be used; the other parts are in force.', {
				version, reason: reason.slice(0, maxLoggedReasonLength), newProblems: newProblems.length, problems: problems.length,
			});
		}
	}
}
