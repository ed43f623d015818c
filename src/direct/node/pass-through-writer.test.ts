import {createServer, request as httpRequest} from 'node:http';
import type {AddressInfo} from 'node:net';
import t from 'tap';
import {outcomes, type HttpResponseHead, type RequestResult} from '../../request/common/request-plan.js';
import {PassThroughWriter, responseEndings} from './pass-through-writer.js';

const head: HttpResponseHead = {status: 200, headers: [{name: 'content-type', value: 'text/event-stream'}]};
const data = new TextEncoder().encode('id: 1\ndata: a\n\n');
const completed: RequestResult = {
	outcome: outcomes.completed, isNotRun: false, message: '', isLate: false, tookMs: 1, units: 1, digest: 0, body: data, http: head, stages: [],
};

/** Delivers one unit and finishes with a result; returns the ending, and whether the caller's response is complete. */
async function finishBegun(result: RequestResult) {
	return new Promise<{ending: string; isComplete: boolean}>((resolve, reject) => {
		let ending = '';
		const server = createServer((_request, response) => {
			const writer = PassThroughWriter.create(response, false);
			void writer.deliver(1, data, head);
			ending = writer.finish(result);
		});
		server.listen(0, '127.0.0.1', () => {
			const {port} = server.address() as AddressInfo;
			httpRequest({host: '127.0.0.1', port, agent: false}, response => {
				response.resume();
				response.on('error', () => undefined);
				response.on('close', () => {
					server.close();
					resolve({ending, isComplete: response.complete});
				});
			}).on('error', () => {
				server.close();
				resolve({ending, isComplete: false});
			}).end();
		});
		server.on('error', reject);
	});
}

// Guards against a begun response that ends as complete by a result that is about another one, whatever made that the result.
t.test('a begun response ends as complete only by the result of what was delivered', async t => {
	t.same(await finishBegun(completed), {ending: responseEndings.whole, isComplete: true});
	t.same(await finishBegun({...completed, units: 0}), {ending: responseEndings.mismatched, isComplete: false});
	t.same(await finishBegun({...completed, units: 2}), {ending: responseEndings.mismatched, isComplete: false});
	t.same(await finishBegun({...completed, http: {...head, status: 500}}), {ending: responseEndings.mismatched, isComplete: false});
	t.same(await finishBegun({...completed, outcome: outcomes.failed}), {ending: responseEndings.cutOff, isComplete: false});
});
