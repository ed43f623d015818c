/** The agent of one upstream, through which all work reaches it. Connects the wire, the gate state machine, the driver and the settings. */
import {setRepeating, type Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import {messageOf} from '../../base/common/errors.js';
import type {LifecycleManager} from '../../base/common/lifecycle.js';
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import {detach} from '../../base/common/unexpected-errors.js';
import type {GateAction, GateLimits} from '../../request/common/gate-actions.js';
import type {GateStateMachine} from '../../request/common/gate-state-machine.js';
import type {TableService} from '../../store/common/table-service.js';
import type {SettingsService} from '../../settings/common/settings-service.js';
import type {SettingsSync} from '../../settings/node/settings-sync.js';
import {
	serveStates, type DispatchMessage, type Identity, type Message, type OrderMessage,
} from '../../wire/common/messages.js';
import type {WireConnection} from '../../wire/node/wire-connection.js';
import type {Endpoint, WireServer} from '../../wire/node/wire-server.js';
import {SuspendDetector} from '../common/suspend-detector.js';
import type {UpstreamDriver} from '../common/upstream-driver.js';
import {CallRunner} from './call-runner.js';
import {OrderHandler} from './order-handler.js';

const tickMs = 20;
/** Longer than the tick interval of a busy agent, but short enough that work which arrives meanwhile is refused in time. */
const idleTickMs = 50;
const stateReadIntervalMs = 2000;
const orphanRetryDelayMs = 1000;
/** How long a stopping agent keeps responding after its last work has ended, so that every entry is notified that it is leaving. */
const announceLeavingMs = 300;
/** Maximum time for which a dispatch waits for the settings revision that it was made with. */
const maxSettingsWaitMs = 300;

export const defaultLimits: GateLimits = {slots: 8, maxQueue: 64};

/** Dependencies of an agent. */
export type AgentOptions = {
	readonly identity: Identity;
	readonly gate: GateStateMachine;
	readonly driver: UpstreamDriver;
	readonly server: WireServer;
	readonly settings: SettingsService;
	readonly table: TableService;
	readonly sync: SettingsSync;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly lifecycle: LifecycleManager;
};

type WaitingDispatch = {readonly connectionId: number; readonly dispatch: DispatchMessage; readonly deadlineMs: number};

/** Admits work from connected entries, runs it on the upstream and executes orders. */
export class AgentService implements Disposable {
	static create(options: AgentOptions): AgentService {
		return new AgentService(options);
	}

	private readonly connections = new Map<number, WireConnection>();
	private readonly disposables = DisposableStore.create();
	private readonly runner: CallRunner;
	private readonly suspendDetector: SuspendDetector;
	private readonly orderHandler: OrderHandler;
	private waiting: WaitingDispatch[] = [];
	private nextConnectionId = 1;
	private engineSlots: number | undefined;

	private constructor(private readonly options: AgentOptions) {
		const {gate, driver, clock, settings, lifecycle, server} = options;
		this.suspendDetector = SuspendDetector.create(clock.nowMs());
		this.orderHandler = OrderHandler.create(driver, options.table, options.log);
		this.runner = CallRunner.create(gate, driver, clock, actions => {
			this.perform(actions);
		});
		this.disposables.add(server.onDidConnect(connection => {
			this.accept(connection);
		}));
		this.disposables.add(settings.onDidChangeRevision(() => {
			this.applySettings();
		}));
		this.disposables.add(lifecycle.onWillStop(event => {
			event.waitFor(this.drain());
		}));
		this.disposables.add(setRepeating(clock, () => gate.isIdle ? idleTickMs : tickMs, () => {
			this.tick();
		}));
		this.disposables.add(setRepeating(clock, () => stateReadIntervalMs, async () => this.readState()));
	}

	/**
	Cancels work on the upstream that has no owner, then accepts connections.
	@param endpoint - the endpoint to listen on.
	@returns the endpoint that is listened on, with the actual port.
	*/
	async start(endpoint: Endpoint): Promise<Endpoint> {
		await this.cancelOrphans();
		await this.options.sync.poll();
		await this.readState();
		this.applySettings();
		const boundEndpoint = await this.options.server.listen(endpoint);
		this.options.log.info('The agent accepts work.', {upstream: this.options.identity.upstreamId, port: boundEndpoint.port});
		return boundEndpoint;
	}

	dispose(): void {
		this.disposables.dispose();
	}

	private accept(connection: WireConnection): void {
		const connectionId = this.nextConnectionId++;
		this.connections.set(connectionId, connection);
		this.suspendDetector.confirm(connectionId, this.suspendDetector.resumeCount);
		connection.onDidClose(() => {
			this.connections.delete(connectionId);
			this.suspendDetector.forget(connectionId);
			this.perform(this.options.gate.connectionLost(connectionId, this.now()));
		});
		// The sync is attached first, so that settings in a message are applied before the message is handled.
		this.options.sync.attach(connection);
		connection.onDidReceive(message => {
			this.checkSuspension();
			this.receive(connectionId, connection, message);
		});
		this.report(connection);
	}

	private receive(connectionId: number, connection: WireConnection, message: Message): void {
		const {gate} = this.options;
		switch (message.type) {
			case 'dispatch': {
				this.admit(connectionId, message);
				break;
			}

			case 'cancel': {
				this.waiting = this.waiting.filter(item => item.dispatch.dispatchId !== message.dispatchId || this.refuseWaiting(item));
				this.perform(gate.cancel(message.dispatchId, this.now()));
				break;
			}

			case 'credit': {
				this.perform(gate.credit(message.dispatchId, message.chunks, this.now()));
				break;
			}

			case 'query': {
				this.perform(gate.query(connectionId, message.dispatchId, this.now()));
				break;
			}

			case 'ping': {
				connection.send({
					type: 'pong', nonce: message.nonce, settingsRevision: this.revision, state: this.serveState, load: gate.load,
				});
				break;
			}

			case 'pong': {
				this.suspendDetector.confirm(connectionId, message.nonce);
				break;
			}

			case 'settingsReply': {
				this.admitWaiting();
				break;
			}

			case 'order': {
				detach('order', this.executeOrder(connection, message));
				break;
			}

			case 'drain': {
				this.handleDrainRequest(message.incarnation);
				break;
			}

			default: {
				break;
			}
		}
	}

	/** Admits a dispatch. A dispatch made with newer settings than those in force here waits until they arrive. */
	private admit(connectionId: number, dispatch: DispatchMessage): void {
		if (dispatch.settingsRevision > this.revision) {
			this.waiting.push({connectionId, dispatch, deadlineMs: this.now() + Math.min(maxSettingsWaitMs, dispatch.startWithinMs)});
		} else {
			this.perform(this.options.gate.dispatch(connectionId, dispatch, this.suspendDetector.isStale(connectionId), this.now()));
		}
	}

	private admitWaiting(): void {
		const {waiting} = this;
		this.waiting = [];
		for (const {connectionId, dispatch, deadlineMs} of waiting) {
			if (dispatch.settingsRevision > this.revision) {
				this.waiting.push({connectionId, dispatch, deadlineMs});
			} else {
				this.admit(connectionId, dispatch);
			}
		}
	}

	/** Refuses a dispatch as stale. Returns false, so that a filter drops it. */
	private refuseWaiting({connectionId, dispatch}: WaitingDispatch): boolean {
		this.perform(this.options.gate.dispatch(connectionId, dispatch, true, this.now()));
		return false;
	}

	private perform(actions: readonly GateAction[]): void {
		for (const action of actions) {
			switch (action.type) {
				case 'send': {
					this.connections.get(action.connectionId)?.send(action.message);
					break;
				}

				case 'start': {
					this.runner.start(action.dispatch);
					break;
				}

				case 'abort': {
					this.runner.abort(action.dispatchId);
					break;
				}

				case 'flow': {
					this.runner.setFlow(action.dispatchId, action.isOpen);
					break;
				}
			}
		}
	}

	private tick(): void {
		this.checkSuspension();
		const nowMs = this.now();
		this.waiting = this.waiting.filter(item => nowMs < item.deadlineMs || this.refuseWaiting(item));
		this.perform(this.options.gate.tick(nowMs));
	}

	private checkSuspension(): void {
		if (this.suspendDetector.tick(this.now())) {
			this.options.log.warn('This process was suspended; connections are confirmed before work is accepted from them.');
			this.orderHandler.processSuspended();
			for (const connection of this.connections.values()) {
				connection.send({type: 'ping', nonce: this.suspendDetector.resumeCount, settingsRevision: this.revision});
			}
		}
	}

	private applySettings(): void {
		const {settings, identity, gate} = this.options;
		const pool = settings.tree.pool(identity.pool ?? '');
		const slots = this.engineSlots ?? pool?.slots ?? defaultLimits.slots;
		this.perform(gate.setLimits({slots, maxQueue: pool?.maxQueue ?? defaultLimits.maxQueue}, this.now()));
		if (pool?.leavingUpstreams?.includes(identity.upstreamId ?? '')) {
			this.leave();
		}
	}

	private leave(): void {
		if (!this.options.gate.isLeaving) {
			this.options.log.info('This upstream is leaving and takes no new work.');
			this.perform(this.options.gate.leave(this.now()));
			this.reportAll();
		}
	}

	private handleDrainRequest(incarnation: string): void {
		if (incarnation === this.options.identity.incarnation) {
			this.leave();
		}
	}

	private async drain(): Promise<void> {
		this.leave();
		while (!this.options.gate.isIdle) {
			await this.wait(tickMs);
		}

		await this.wait(announceLeavingMs);
	}

	private async executeOrder(connection: WireConnection, order: OrderMessage): Promise<void> {
		const result = await this.orderHandler.execute(order);
		await this.readState();
		connection.send({
			type: 'orderReply', orderId: order.orderId, ...result, models: [...this.options.gate.load.models],
		});
	}

	private async cancelOrphans(): Promise<void> {
		for (;;) {
			try {
				await this.options.driver.cancelOrphans();
				return;
			} catch (error) {
				this.options.log.warn('The calls that run on the upstream could not be listed or canceled; retrying.', {reason: messageOf(error)});
				await this.wait(orphanRetryDelayMs);
			}
		}
	}

	private async readState(): Promise<void> {
		await this.orderHandler.readLeaseEpoch();
		const state = await this.options.driver.readState();
		if (state) {
			this.engineSlots = state.slots;
			this.options.gate.setModels([...state.models]);
			this.applySettings();
		}
	}

	private report(connection: WireConnection): void {
		connection.send({
			type: 'report', settingsRevision: this.revision, state: this.serveState, load: this.options.gate.load,
		});
	}

	private reportAll(): void {
		for (const connection of this.connections.values()) {
			this.report(connection);
		}
	}

	private get serveState() {
		return this.options.gate.isLeaving ? serveStates.leaving : serveStates.serving;
	}

	private get revision(): number {
		return this.options.settings.tree.revision;
	}

	private now(): number {
		return this.options.clock.nowMs();
	}

	private async wait(delayMs: number): Promise<void> {
		return new Promise(resolve => {
			this.options.clock.setTimer(delayMs, resolve);
		});
	}
}
