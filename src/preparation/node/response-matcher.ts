/** Tells whether responses of servers belong to the calls in whose place they arrive. A faulty server may send a response twice, the second time in the place of the next one. */
import type {ResponseHead} from '../../deployment/node/collect-response.js';

/** Responses from this status on have no results. */
const firstErrorStatus = 300;

/** Compares the ids of calls with those that responses carry back. */
export class ResponseMatcher {
	/**
	Creates a matcher.
	@param readRequestId - reads the id of the call from the head of its response; undefined if it has none.
	*/
	static create(readRequestId: (head: ResponseHead) => string | undefined): ResponseMatcher {
		return new ResponseMatcher(readRequestId);
	}

	/** Ids of the servers that have sent the id of a call. */
	private readonly identifyingServers = new Set<string>();

	private constructor(private readonly readRequestId: (head: ResponseHead) => string | undefined) {}

	/**
	Returns why a response is not that of a call.
	@param serverId - id of the server.
	@param head - status and headers of the response.
	@param requestId - id of the call.
	@returns undefined if it is, or if its server has never sent the id of a call.
	*/
	problemOf(serverId: string, head: ResponseHead, requestId: string): string | undefined {
		const responseId = this.readRequestId(head);
		if (responseId !== undefined) {
			this.identifyingServers.add(serverId);
			return responseId === requestId ? undefined : 'the response belongs to another call';
		}

		// Servers that refuse a call may not have read its id.
		const isWithoutId = head.status < firstErrorStatus && this.identifyingServers.has(serverId);
		return isWithoutId ? 'the response does not say to which call it belongs' : undefined;
	}

	/**
	Forgets a server that is gone.
	@param serverId - id of the server.
	*/
	forget(serverId: string): void {
		this.identifyingServers.delete(serverId);
	}
}
