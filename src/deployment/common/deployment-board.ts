/** The declaration in force on this host: versions only rise, and the last one stays while its source is away. */
import type {InjectionToken} from 'tsyringe';
import {Emitter} from '../../base/common/emitter.js';
import type {Logger} from '../../base/common/logger.js';
import type {Deployment} from './declaration.js';
import {DeploymentIndex} from './deployment-index.js';

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
		this.index = DeploymentIndex.create(deployment);
		this.log.info('A new version of the declaration is in force.', {
			version: deployment.version, before, source, routes: deployment.routes.length,
		});
		this.didChange.fire(this.index);
		return true;
	}
}
