/** Messages between hosts about requests, and parts of prompts, that crash the servers that run them. */
import {z} from 'zod';
import {
	contentId, count, ms, serverId,
} from './message-fields.js';

/** Upper bounds on the crashes of one record in a message, and on the records. */
const maxCrashes = 64;
const maxRecords = 10_000;
/** Upper bound on the length of the key of a part. */
const maxPartKeyLength = 64;

const trialsSchema = z.strictObject({count, ageMs: ms});

/** Server crashes that the sender knows of, by the content of the request that was running. */
export const fatalContentsSchema = z.strictObject({
	type: z.literal('fatalContents'),
	contents: z.array(z.strictObject({
		contentId,
		ends: z.array(z.strictObject({serverId, ageMs: ms})).max(maxCrashes),
		cleared: z.array(serverId).max(maxCrashes),
		trials: trialsSchema.optional(),
	})).max(maxRecords),
});
export type FatalContents = z.infer<typeof fatalContentsSchema>['contents'];

/** Server crashes that the sender knows of, by the parts of the prompts of the requests that were running. */
export const fatalPartsSchema = z.strictObject({
	type: z.literal('fatalParts'),
	parts: z.array(z.strictObject({
		part: z.string().max(maxPartKeyLength),
		crashes: z.array(z.strictObject({
			serverId,
			ageMs: ms,
			/** Time since the last request with the part was sent to the server. */
			sentAgeMs: ms,
		})).max(maxCrashes),
		cleared: z.array(serverId).max(maxCrashes),
		trials: trialsSchema.optional(),
	})).max(maxRecords),
});
export type FatalParts = z.infer<typeof fatalPartsSchema>['parts'];
