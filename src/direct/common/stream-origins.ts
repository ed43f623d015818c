/** Remembers where streams began, so that their callers can resume them at the software version that began them. */
import {digestOfText} from '../../base/common/hash.js';

/** A known origin of a stream. */
export type KnownOrigin = {readonly pool: string; readonly softwareVersion: string};

/** What is known of a stream: its origin, and the host that reported it. */
export type StreamRecord = {
	/** Undefined if different origins were reported, so that none of them counts. */
	readonly origin: KnownOrigin | undefined;
	readonly source: string;
	readonly recordedMs: number;
	readonly expiresMs: number;
};

/** Upper bound on the time for which a stream is remembered. Callers resume a stream only within their own time limit. */
export const maxStreamLifeMs = 60_000;
/** Default maximum number of remembered streams, about 10 MB. */
const defaultMaxStreams = 50_000;

/**
Returns the id of a stream on all hosts. It has a fixed length, and a caller can't name the stream of another workspace.
@param workspace - name of the workspace; empty where the caller needed no key.
@param requestId - the caller's id of the request that began the stream.
@returns 16 hexadecimal digits.
*/
export function streamIdOf(workspace: string, requestId: string): string {
	return digestOfText(`${workspace}\n${requestId}`);
}

/** Keeps the origins of streams until the callers' time limits. */
export class StreamOrigins {
	static create(maxStreams = defaultMaxStreams): StreamOrigins {
		return new StreamOrigins(maxStreams);
	}

	/** Oldest first. */
	private readonly records = new Map<string, StreamRecord>();

	private constructor(private readonly maxStreams: number) {}

	get size(): number {
		return this.records.size;
	}

	/**
	Records where a stream began. A second report with another origin makes the origin unknown.
	@param streamId - id of the stream.
	@param report - the origin, the host that reported it, and for how long it is kept.
	@param nowMs - the current time.
	*/
	record(streamId: string, {origin, source, lifeMs}: {readonly origin: KnownOrigin; readonly source: string; readonly lifeMs: number}, nowMs: number): void {
		const known = this.get(streamId, nowMs);
		const expiresMs = nowMs + Math.min(lifeMs, maxStreamLifeMs);
		if (!known) {
			this.evict(nowMs);
			this.records.delete(streamId);
			this.records.set(streamId, {
				origin, source, recordedMs: nowMs, expiresMs,
			});
		} else if (known.origin?.pool !== origin.pool || known.origin.softwareVersion !== origin.softwareVersion) {
			this.records.set(streamId, {...known, origin: undefined, expiresMs: Math.max(known.expiresMs, expiresMs)});
		}
	}

	/**
	Returns what is known of a stream.
	@param streamId - id of the stream.
	@param nowMs - the current time.
	*/
	get(streamId: string, nowMs: number): StreamRecord | undefined {
		const known = this.records.get(streamId);
		return known && known.expiresMs > nowMs ? known : undefined;
	}

	/**
	Returns the streams that are remembered, oldest first.
	@param nowMs - the current time.
	*/
	all(nowMs: number): ReadonlyArray<readonly [streamId: string, record: StreamRecord]> {
		return [...this.records].filter(([, {expiresMs}]) => expiresMs > nowMs);
	}

	private evict(nowMs: number): void {
		for (const [streamId, {expiresMs}] of this.records) {
			if (expiresMs > nowMs && this.records.size < this.maxStreams) {
				break;
			}

			this.records.delete(streamId);
		}
	}
}
