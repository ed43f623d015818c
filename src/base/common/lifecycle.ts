/** One manager per process owns everything that must be stopped or freed. */
import {DisposableStore, type Disposable} from './disposable.js';
import {Emitter} from './emitter.js';

/** How far a process's life has come. */
export const lifecyclePhases = {
	running: 'running',
	stopping: 'stopping',
	stopped: 'stopped',
} as const;

export type LifecyclePhase = typeof lifecyclePhases[keyof typeof lifecyclePhases];

/** Lets a part hold a planned stop until its work has ended. */
export type WillStopEvent = {
	/**
	Holds the stop.
	@param work - ends when the part is ready.
	*/
	waitFor(work: Promise<void>): void;
};

/** Owns the parts of a process and stops them in order. */
export class LifecycleManager {
	static create(): LifecycleManager {
		return new LifecycleManager();
	}

	private readonly store = DisposableStore.create();
	private readonly willStop = Emitter.create<WillStopEvent>();
	private readonly didStop = Emitter.create<void>();
	private stopping: Promise<void> | undefined;
	private currentPhase: LifecyclePhase = lifecyclePhases.running;

	/** Fires at a planned stop, while everything still serves. */
	get onWillStop() {
		return this.willStop.event;
	}

	/** Fires once everything is freed. */
	get onDidStop() {
		return this.didStop.event;
	}

	get phase(): LifecyclePhase {
		return this.currentPhase;
	}

	/**
	Takes ownership of a part.
	@param component - freed at the stop, last registered first.
	@returns the part.
	*/
	register<T extends Disposable>(component: T): T {
		return this.store.add(component);
	}

	/**
	Stops as planned: waits for every part, then frees all.
	@returns ends when all is freed; repeated calls share one stop.
	*/
	async stop(): Promise<void> {
		this.stopping ??= this.runStop();
		return this.stopping;
	}

	/** Frees all now, waiting for nothing. */
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
		await Promise.allSettled(pendingWork);
		this.stopNow();
	}
}
