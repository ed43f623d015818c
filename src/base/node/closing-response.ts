/** Ends responses that are complete before their request has been read and close the connection. */
import type {ServerResponse} from 'node:http';

/** How long the rest of a request is read and discarded after its response. */
const maxDiscardMs = 2000;

/**
Ends a response. If it closes the connection, the rest of the request is read first: the close of a socket with unread data resets
the connection, and the caller may lose the response that it has not read yet.
@param response - a response whose head, with the length of the body, has been written.
@param body - the complete body.
*/
export function endResponse(response: ServerResponse, body: string): void {
	const {req: request} = response;
	if (response.shouldKeepAlive || request.complete || request.destroyed) {
		response.end(body);
		return;
	}

	response.write(body);
	const end = () => {
		clearTimeout(timer);
		response.end();
	};

	const timer = setTimeout(end, maxDiscardMs);
	timer.unref();
	request.once('end', end);
	request.once('close', end);
	request.resume();
}
