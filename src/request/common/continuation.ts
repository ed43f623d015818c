/** Decides which responses may follow a response of which the caller has a part. */
import type {HttpResponseHead} from './request-plan.js';

/** Responses from this status on report no success. */
const firstErrorStatus = 300;

/**
Returns whether a response reports a success. Answers of engines behind agents have no head; their calls report failures otherwise.
@param head - status and headers of the response.
*/
export function isSuccess(head: HttpResponseHead | undefined): boolean {
	return head === undefined || head.status < firstErrorStatus;
}

/**
Returns why a response does not continue another one.
@param begun - head of the response that the caller has begun to receive.
@param next - head of the response that is to continue it.
@returns undefined if it may continue it.
*/
export function continuationProblem(begun: HttpResponseHead | undefined, next: HttpResponseHead | undefined): string | undefined {
	if (begun?.status !== next?.status) {
		return `status ${next?.status ?? 'unknown'} does not continue a response with status ${begun?.status ?? 'unknown'}`;
	}

	const [begunType, nextType] = [begun, next].map(head => mediaTypeOf(head));
	return begunType === nextType ? undefined : `a response of type "${nextType}" does not continue one of type "${begunType}"`;
}

/** Returns the media type of a response, without its parameters. */
function mediaTypeOf(head: HttpResponseHead | undefined): string {
	const value = head?.headers.find(({name}) => name.toLowerCase() === 'content-type')?.value ?? '';
	return value.split(';')[0].trim().toLowerCase();
}
