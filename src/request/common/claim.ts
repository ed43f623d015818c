/** The row that says a key is taken, by whom, and what became of the request. */
import {z} from 'zod';
import type {Row} from '../../store/common/table-service.js';
import {outcomes} from './request-plan.js';

/** Where the rows of all claims start. */
export const claimPrefix = 'claims/';

const claimSchema = z.strictObject({
	/** Names the one try that made the claim: the incarnation, and a part drawn for each try. */
	writer: z.string(),
	requestId: z.string(),
	/** Hash of method, target and body: a key may not be used for another request. */
	fingerprint: z.number(),
	state: z.enum({
		claimed: 'claimed', ...outcomes,
	}),
	claimedAtMs: z.number(),
	/** When the request can no longer be running at its entry. */
	endsByMs: z.number(),
	answer: z.strictObject({
		status: z.number(), contentType: z.string(), text: z.string(),
	}).optional(),
});
/** What is known of a request that runs at most once. */
export type Claim = z.infer<typeof claimSchema>;
export type KeptAnswer = NonNullable<Claim['answer']>;

/**
Gives the row of a claim.
@param workspace - the caller's.
@param idempotencyKey - the caller's.
*/
export function claimKey(workspace: string, idempotencyKey: string): string {
	return `${claimPrefix}${workspace}/${idempotencyKey}`;
}

/**
Tells whether two claims were made for the same request by the same process.
@param left - a claim.
@param right - another.
*/
export function isSameClaim(left: Claim, right: Claim): boolean {
	return left.writer === right.writer && left.requestId === right.requestId && left.claimedAtMs === right.claimedAtMs;
}

/**
Reads a claim.
@param row - its row.
@returns the claim, or nothing where it can't be read.
*/
export function parseClaim(row: Row): Claim | undefined {
	try {
		return claimSchema.safeParse(JSON.parse(row.value)).data;
	} catch {
		return undefined;
	}
}

/**
Names one try to claim a key, so that copies of a request which agree in everything else,
the millisecond included, are told apart.
@param incarnation - the claiming process.
@param tryId - drawn for this try.
*/
export function writerOf(incarnation: string, tryId: string): string {
	return `${incarnation}/${tryId}`;
}
