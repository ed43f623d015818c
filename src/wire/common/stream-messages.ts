/** Messages between hosts about streams that callers may resume, and about the software versions that may continue them. */
import {z} from 'zod';
import {ms, name} from './message-fields.js';

/** Upper bound on the streams in one message. */
export const maxBegunStreams = 1000;
const streamId = z.string().max(64);
const begunStreamSchema = z.strictObject({
	streamId,
	pool: name,
	softwareVersion: z.string().min(1).max(200),
	/** Time for which its caller may resume it. */
	forMs: ms.max(60_000),
});
/** Where a stream began that its caller may resume at another host. */
export type BegunStream = z.infer<typeof begunStreamSchema>;
/** Streams that began at the sender or that it was told of: reported to the hosts that remember them, or as the answer to `streamAsk`. */
export const streamsBegunSchema = z.strictObject({type: z.literal('streamsBegun'), streams: z.array(begunStreamSchema).min(1).max(maxBegunStreams)});
/** Asks where a stream began. */
export const streamAskSchema = z.strictObject({type: z.literal('streamAsk'), streamId});
/** Answers `streamAsk`: the sender does not know the stream. */
export const streamUnknownSchema = z.strictObject({type: z.literal('streamUnknown'), streamId});

/** Upper bound on the software versions in one message. */
export const maxReportedVersions = 10_000;
/** The software versions that the sender has observed in each pool; an empty one is not known. */
export const versionHistorySchema = z.strictObject({
	type: z.literal('versionHistory'),
	observedForMs: ms,
	versions: z.array(z.strictObject({pool: name, softwareVersion: z.string().max(200), agoMs: ms})).max(maxReportedVersions),
});
