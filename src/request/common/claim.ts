/** The stored claim on an idempotency key: the writer that holds it, the request, and the request's outcome. */
import {z} from 'zod';
import type {Row} from '../../store/common/table-service.js';
import {outcomes} from './request-plan.js';

/** Key prefix of all claim rows. */
export const claimPrefix = 'claims/';

const claimSchema = z.strictObject({
	/** Identifies the claim attempt that wrote the row: the process incarnation, and an id generated for each attempt. */
	writer: z.string(),
	requestId: z.string(),
	/** Hash of method, target and body, by which reuse of the key for a different request is rejected. */
	fingerprint: z.number(),
	state: z.enum({
		claimed: 'claimed', ...outcomes,
	}),
	claimedAtMs: z.number(),
	/** Wall-clock time from which the request can no longer be running at its entry. */
	endsByMs: z.number(),
	answer: z.strictObject({
		status: z.number(), contentType: z.string(), text: z.string(),
	}).optional(),
});
/** The stored state of a request that runs at most once. */
export type Claim = z.infer<typeof claimSchema>;
/** A response stored with its claim, so that a repeated request gets the same response. */
export type StoredResponse = NonNullable<Claim['answer']>;

/**
Returns the key of a claim's row.
@param workspace - the workspace of the caller.
@param idempotencyKey - the key that the caller gave.
*/
export function claimKey(workspace: string, idempotencyKey: string): string {
	return `${claimPrefix}${workspace}/${idempotencyKey}`;
}

/**
Returns whether two claims were made by the same claim attempt for the same request.
@param left - the first claim.
@param right - the second claim.
*/
export function isSameClaim(left: Claim, right: Claim): boolean {
	return left.writer === right.writer && left.requestId === right.requestId && left.claimedAtMs === right.claimedAtMs;
}

/**
Parses a claim.
@param row - the claim's row.
@returns the claim, or `undefined` if the row is malformed.
*/
export function parseClaim(row: Row): Claim | undefined {
	try {
		return claimSchema.safeParse(JSON.parse(row.value)).data;
	} catch {
		return undefined;
	}
}

/**
Returns the writer id of one attempt to claim a key. It distinguishes copies of a request that are identical in everything
else, including the millisecond in which they arrived.
@param incarnation - the incarnation of the claiming process.
@param claimAttemptId - an id generated for this attempt.
*/
export function claimWriterId(incarnation: string, claimAttemptId: string): string {
	return `${incarnation}/${claimAttemptId}`;
}
