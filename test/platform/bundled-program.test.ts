/** Runs the program as it is deployed: bundled, with its code cache next to it, in a process of its own. */
import t from 'tap';
import {sendRequest, configOf, waitUntil} from './direct-harness.js';
import {callerEndpointOf, runProgram, startedMessage} from './program.js';
import {StoreStandin} from './store-standin.js';
import {ServerStandin} from './server-standin.js';

t.test('the bundled program uses its code cache and serves requests with store and servers', async t => {
	const store = await StoreStandin.create();
	const server = await ServerStandin.create('plain-0');
	t.teardown(() => {
		server.dispose();
		store.dispose();
	});
	store.put('op', 'config', configOf(1));
	store.put('servers', server.serverId, server.entry('plain'));

	const {child, exit, readOutput} = runProgram(t, store.port);
	await waitUntil(() => [server.serverId, startedMessage, 'in force'].every(text => readOutput().includes(text)));
	const answer = await sendRequest({callers: callerEndpointOf(readOutput())}, {path: '/look/1'});
	t.equal(answer.status, 200);
	t.notMatch(readOutput(), /code cache was rejected/v);
	child.kill('SIGTERM');
	t.same(await exit, [0, null], 'it exits by itself, not by a signal');
});
