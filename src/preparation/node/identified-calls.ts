/** Makes calls with ids of their own, and accepts only the responses that carry these back. */
import {newId} from '../../base/node/ids.js';
import type {Outcome} from '../../base/common/outcome.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {
	collectResponse, type CallListeners, type CompleteResponse, type ResponseFailure,
} from '../../deployment/node/collect-response.js';
import type {PooledConnection} from '../../deployment/node/connection-pool.js';
import type {BatchProtocol, EncodedCall} from '../common/batch-protocol.js';
import {ResponseMatcher} from './response-matcher.js';

/** Makes the calls of one pool. */
export class IdentifiedCalls {
	/**
	Creates the calls of a pool.
	@param protocol - reads the ids of responses.
	*/
	static create(protocol: Pick<BatchProtocol, 'readRequestId'>): IdentifiedCalls {
		return new IdentifiedCalls(ResponseMatcher.create(head => protocol.readRequestId(head)));
	}

	private constructor(private readonly responses: ResponseMatcher) {}

	/**
	Makes a call.
	@param target - the upstream, and a free connection to it.
	@param encode - encodes the call with its id.
	@param signal - cancels the call.
	@param listeners - called during the call.
	@returns its response, or why there is none.
	*/
	async make(
		{server, connection}: {readonly server: UpstreamServer; readonly connection: PooledConnection},
		encode: (requestId: string) => EncodedCall,
		signal: AbortSignal,
		listeners: Omit<CallListeners, 'findProblem'>,
	): Promise<Outcome<CompleteResponse, ResponseFailure>> {
		const requestId = newId();
		const {method, path, headers, body} = encode(requestId);
		const options = {
			method, path, headers: headers.flatMap(({name, value}) => [name, value]), body,
		};
		return collectResponse(connection, options, signal, {...listeners, findProblem: head => this.responses.problemOf(server.serverId, head, requestId)});
	}

	/**
	Forgets an upstream that is gone.
	@param server - the upstream.
	*/
	forget({serverId}: UpstreamServer): void {
		this.responses.forget(serverId);
	}
}
