/**
Shares between hosts where streams began. The host at which a stream begins reports it to a few hosts that all hosts compute from the id of the
stream; a host at which a caller resumes a stream asks these. So the knowledge survives the loss of the first host, and its cost for a
stream does not grow with the number of hosts.
*/
import type {Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {PeerMesh} from '../../peers/node/peer-mesh.js';
import {maxBegunStreams, type BegunStream} from '../../wire/common/stream-messages.js';
import {isKeeper, keeperCount, keepersOf} from '../common/stream-keepers.js';
import {StreamOrigins, type KnownOrigin, type StreamRecord} from '../common/stream-origins.js';

/** How long other hosts may take to report a stream; hosts that have lost all connections are connected again within this time. */
const askTimeoutMs = 500;

/** Dependencies of `StreamDirectory`. */
export type StreamDirectoryOptions = {
	readonly hostId: string;
	readonly mesh: Pick<PeerMesh, 'onDidReceive' | 'onDidConnect' | 'liveHosts' | 'fleetView' | 'send'>;
	readonly clock: Clock;
};

/** A stream that other hosts are asked about. */
type Question = {
	/** Hosts that have answered that they don't know the stream. */
	readonly unaware: Set<string>;
	readonly promise: Promise<StreamRecord | undefined>;
	readonly resolve: (record: StreamRecord | undefined) => void;
	readonly timer: Disposable;
};

/** Finds out where streams began. */
export class StreamDirectory implements Disposable {
	static create(options: StreamDirectoryOptions): StreamDirectory {
		return new StreamDirectory(options);
	}

	private readonly origins = StreamOrigins.create();
	private readonly questions = new Map<string, Question>();
	private readonly disposables = DisposableStore.create();

	private constructor(private readonly options: StreamDirectoryOptions) {
		const {mesh} = options;
		this.disposables.add(mesh.onDidReceive(({hostId, message}) => {
			switch (message.type) {
				case 'streamsBegun': {
					this.handleReport(message.streams, hostId);
					break;
				}

				case 'streamAsk': {
					this.answer(message.streamId, hostId);
					break;
				}

				case 'streamUnknown': {
					this.handleUnknown(message.streamId, hostId);
					break;
				}

				default:
			}
		}));
		this.disposables.add(mesh.onDidConnect(hostId => {
			this.handleConnect(hostId);
		}));
	}

	/**
	Records a stream that begins at this host, and reports it at once: called before the first event is delivered, so that no caller can resume a stream
	of which only a lost host knew.
	@param streamId - id of the stream.
	@param origin - where it begins.
	@param lifeMs - how long its caller may resume it.
	*/
	recordBegun(streamId: string, origin: KnownOrigin, lifeMs: number): void {
		const {hostId, mesh, clock} = this.options;
		this.origins.record(streamId, {origin, source: hostId, lifeMs}, clock.nowMs());
		for (const keeper of keepersOf(streamId, mesh.liveHosts)) {
			this.report(keeper, [begunStreamOf(streamId, origin, lifeMs)]);
		}
	}

	/**
	Finds out where a stream began, from other hosts if necessary.
	@param streamId - id of the stream.
	@returns what is known of the stream, or undefined if no host that answers in time knows it.
	*/
	async lookUp(streamId: string): Promise<StreamRecord | undefined> {
		return this.origins.get(streamId, this.options.clock.nowMs()) ?? this.ask(streamId);
	}

	dispose(): void {
		this.disposables.dispose();
		for (const question of this.questions.values()) {
			question.timer.dispose();
			question.resolve(undefined);
		}
	}

	private report(hostId: string, streams: readonly BegunStream[]): void {
		for (let start = 0; start < streams.length; start += maxBegunStreams) {
			this.options.mesh.send(hostId, {type: 'streamsBegun', streams: streams.slice(start, start + maxBegunStreams)});
		}
	}

	private handleReport(streams: readonly BegunStream[], source: string): void {
		const nowMs = this.options.clock.nowMs();
		for (const {streamId, pool, softwareVersion, forMs} of streams) {
			this.origins.record(streamId, {origin: {pool, softwareVersion}, source, lifeMs: forMs}, nowMs);
			this.settle(streamId, this.origins.get(streamId, nowMs));
		}
	}

	private async ask(streamId: string): Promise<StreamRecord | undefined> {
		const open = this.questions.get(streamId);
		if (open) {
			return open.promise;
		}

		const {mesh, clock} = this.options;
		let resolve!: Question['resolve'];
		const promise = new Promise<StreamRecord | undefined>(settle => {
			resolve = settle;
		});
		const timer = clock.setTimer(askTimeoutMs, () => {
			this.settle(streamId, undefined);
		});
		this.questions.set(streamId, {
			unaware: new Set(), promise, resolve, timer,
		});
		for (const keeper of keepersOf(streamId, mesh.liveHosts)) {
			mesh.send(keeper, {type: 'streamAsk', streamId});
		}

		this.settleIfUnknown(streamId);
		return promise;
	}

	private answer(streamId: string, hostId: string): void {
		const nowMs = this.options.clock.nowMs();
		const known = this.origins.get(streamId, nowMs);
		if (known?.origin) {
			this.report(hostId, [begunStreamOf(streamId, known.origin, known.expiresMs - nowMs)]);
		} else {
			this.options.mesh.send(hostId, {type: 'streamUnknown', streamId});
		}
	}

	private handleUnknown(streamId: string, hostId: string): void {
		this.questions.get(streamId)?.unaware.add(hostId);
		this.settleIfUnknown(streamId);
	}

	/** Ends a question once all hosts that may know the stream have answered, provided that this host knows the others. */
	private settleIfUnknown(streamId: string): void {
		const {mesh, clock} = this.options;
		const {hosts, isSettled} = mesh.fleetView(clock.nowMs());
		const question = this.questions.get(streamId);
		if (question && isSettled && question.unaware.size >= Math.min(keeperCount, hosts.length - 1)) {
			this.settle(streamId, undefined);
		}
	}

	private settle(streamId: string, record: StreamRecord | undefined): void {
		const question = this.questions.get(streamId);
		if (question) {
			this.questions.delete(streamId);
			question.timer.dispose();
			question.resolve(record);
		}
	}

	/** Reports to a host that has connected the streams that it is to remember, and asks it what is open: it may have just started, or messages may have been lost. */
	private handleConnect(hostId: string): void {
		const {mesh, clock, hostId: ownId} = this.options;
		const nowMs = clock.nowMs();
		const others = [ownId, ...mesh.liveHosts.filter(other => other !== hostId)];
		this.report(hostId, this.origins.all(nowMs).flatMap(([streamId, {origin, expiresMs}]) =>
			origin && isKeeper(streamId, hostId, others) ? [begunStreamOf(streamId, origin, expiresMs - nowMs)] : []));
		for (const streamId of this.questions.keys()) {
			mesh.send(hostId, {type: 'streamAsk', streamId});
		}
	}
}

function begunStreamOf(streamId: string, origin: KnownOrigin, forMs: number): BegunStream {
	return {streamId, ...origin, forMs};
}
