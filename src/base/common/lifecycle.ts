/** Lifecycle of a process: one manager owns everything that must be stopped or freed. */
import {DisposableStore, type Disposable} from './disposable.js';
import {Emitter} from './emitter.js';
import {reportUnexpectedError} from './unexpected-errors.js';

/** Phases of the lifecycle of a process. */
export const lifecyclePhases = {
	running: 'running',
	stopping: 'stopping',
	stopped: 'stopped',
} as const;

export type LifecyclePhase = typeof lifecyclePhases[keyof typeof lifecyclePhases];

/** Lets a component delay a planned stop until its work is done. */
export type WillStopEvent = {
	/**
	Delays the stop.
	@param work - settles when the component is ready to be stopped.
	*/
	waitFor(work: Promise<void>): void;
};

/** Owns the components of a process and stops them in order. */
export class LifecycleManager {
	static create(): LifecycleManager {
		return new LifecycleManager();
	}

	private readonly store = DisposableStore.create();
	private readonly willStop = Emitter.create<WillStopEvent>();
	private readonly didStop = Emitter.create<void>();
	private stopping: Promise<void> | undefined;
	private currentPhase: LifecyclePhase = lifecyclePhases.running;

	/** Fires when a planned stop begins, while all components still serve requests. */
	get onWillStop() {
		return this.willStop.event;
	}

	/** Fires once all components are disposed. */
	get onDidStop() {
		return this.didStop.event;
	}

	get phase(): LifecyclePhase {
		return this.currentPhase;
	}

	/**
	Takes ownership of a component.
	@param component - disposed at the stop, in reverse order of registration.
	@returns the component.
	*/
	register<T extends Disposable>(component: T): T {
		return this.store.add(component);
	}

	/**
	Performs a planned stop: waits until every component is ready, then disposes all of them.
	@returns resolves when all are disposed; repeated calls share one stop.
	*/
	async stop(): Promise<void> {
		this.stopping ??= this.runStop();
		return this.stopping;
	}

	/** Disposes all components immediately, without waiting for their work. */
	stopNow(): void {
		if (this.currentPhase !== lifecyclePhases.stopped) {
			this.currentPhase = lifecyclePhases.stopped;
			this.store.dispose();
			this.didStop.fire();
		}
	}

	private async runStop(): Promise<void> {
		this.currentPhase = lifecyclePhases.stopping;
		const pendingWork: Array<Promise<void>> = [];
		this.willStop.fire({
			waitFor(work) {
				pendingWork.push(work);
			},
		});
		for (const result of await Promise.allSettled(pendingWork)) {
			if (result.status === 'rejected') {
				reportUnexpectedError('preparation of a stop', result.reason);
			}
		}

		this.stopNow();
	}
}
