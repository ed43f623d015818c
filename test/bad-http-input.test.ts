import {connect} from 'node:net';
import process from 'node:process';
import t from 'tap';
import {runCommandLine} from '../src/cli/node/program.js';
import {hashToken} from '../src/entry/node/http-common.js';
import {call, startFleet, type CallOptions} from './fleet-harness.js';

const quotePath = 'pipelines/quote/requests';

const reportAfterMs = 5000;

t.test('bad input at the HTTP doors', async t => {
	const fleet = await startFleet();
	t.teardown(() => {
		fleet.dispose();
		// If the process does not exit after everything is disposed, prints the resources that keep it running.
		setTimeout(() => {
			process.stderr.write(`${process.pid} is still running: ${process.getActiveResourcesInfo().join(' ')}\n`);
		}, reportAfterMs).unref();
	});
	const origin = fleet.callersOrigin(0);
	const refusal = async (path: string, options: CallOptions) => {
		const answer = await call(origin, path, options);
		return {...answer.body, status: answer.status, type: answer.headers['content-type']};
	};

	await t.test('callers', async t => {
		const bad = {
			status: 400, code: 'badRequest', type: 'application/problem+json; charset=utf-8', outcome: 'refused', notRun: true,
		};
		t.match(await refusal(quotePath, {}), {...bad, place: 'body'}, 'empty');
		t.match(await refusal(quotePath, {body: '{"a": '}), {...bad, detail: /body:1:\d+: /v}, 'truncated');
		t.match(await refusal(quotePath, {body: '['.repeat(50_000)}), {...bad, detail: /tooDeep/v}, 'deep');
		t.match(await refusal(quotePath, {body: '{"a": 1, "a": 2}'}), {...bad, detail: /duplicateKey/v}, 'duplicate key');
		t.match(await refusal(quotePath, {body: '{"a": 1 /* one */}'}), {...bad, detail: /badSyntax/v}, 'a comment');
		t.match(await refusal(quotePath, {body: `"${'x'.repeat(5 * 1024 * 1024)}"`}), {status: 413, code: 'bodyTooLarge', notRun: true}, 'huge');
		t.match(await refusal(quotePath, {body: '{}', headers: {'deadline-ms': 'soon'}}), {...bad, place: 'header Deadline-Ms'});
		t.match(await refusal(quotePath, {body: '{}', headers: {'deadline-ms': '-5'}}), {...bad, place: 'header Deadline-Ms'});
		t.match(await refusal(quotePath, {body: '{}', headers: {'not-repeatable': 'maybe'}}), {...bad, place: 'header Not-Repeatable'});
		t.match(await refusal(quotePath, {body: '{}', headers: {'idempotency-key': 'x'.repeat(500)}}), {...bad, place: 'header idempotency-key'});
		t.match(await refusal(quotePath, {body: '{}', headers: {'not-repeatable': 'true'}}), {...bad, place: 'header Idempotency-Key'}, 'no key');
		t.match(await refusal(quotePath, {body: '{}', token: 'wrong'}), {status: 401, code: 'unauthorized'});
		t.match(await refusal('/v1/workspaces/nobody/pipelines/quote/requests', {body: '{}'}), {status: 401, code: 'unauthorized'});
		t.match(await refusal('pipelines/nothing/requests', {body: '{}'}), {status: 404, code: 'unknownPipeline', notRun: true});
		t.match(await refusal('services/nothing/x', {body: '{}'}), {status: 404, code: 'unknownService', notRun: true});
		t.match(await refusal('/v2/nothing', {}), {status: 404, code: 'notFound'});
		t.match(await refusal(quotePath, {body: '{}', headers: {'x-long': 'x'.repeat(20_000)}}), {status: 431}, 'headers over the size limit');
		t.match(await refusal('/v1/workspaces/%ZZ/pipelines/quote/requests', {body: '{}'}), {type: 'application/problem+json; charset=utf-8'}, 'invalid escape sequence in the path');
	});

	await t.test('bytes that are not HTTP', async t => {
		const {hostname, port} = new URL(origin);
		const text = await new Promise<string>(resolve => {
			const socket = connect(Number(port), hostname);
			let received = '';
			socket.on('data', chunk => {
				received += String(chunk);
			});
			socket.on('close', () => {
				resolve(received);
			});
			socket.write(new Uint8Array([0, 1, 2, 255, 254, 13, 10, 13, 10]));
		});
		t.match(text, /^HTTP\/1\.1 400/v);
	});

	await t.test('operators', async t => {
		const operators = fleet.operatorsOrigin(0);
		const post = async (body: string, token = 'demo-operator') => (await call(operators, '/v1/settings/changes', {body, token})).body;
		const edit = (path: string, after: unknown) => JSON.stringify({changeId: `c${path}`, edits: [{path, baseRevision: 0, after}]});
		t.match(await post(''), {code: 'badRequest', place: 'body'});
		t.match(await post('{"changeId": 5}'), {code: 'badRequest', detail: /body:1:\d+ \/changeId/v});
		t.match(await post('{"changeId": "a", "edits": [], "extra": 1}'), {code: 'badRequest', detail: /unknown field "extra"/v});
		t.match(await post(edit('/nowhere/x', {})), {code: 'invalid', more: [{code: 'unknownPath'}]});
		t.match(await post(edit('/workspaces/x', {dedlineMs: 1})), {code: 'invalid', more: [{code: 'unknownField'}]});
		t.match(await post(edit('/workspaces/x', {deadlineMs: -1})), {code: 'invalid', more: [{code: 'badValue', place: {path: '/workspaces/x/deadlineMs'}}]});
		t.match(await post(edit('/workspaces/x/pipelines/quote', {})), {code: 'invalid', more: [{code: 'noParent'}]});
		t.match(await post('{}', 'wrong'), {code: 'unauthorized'});
		const after = {tokenHash: hashToken('reader'), rights: ['read']};
		const reader = {changeId: 'reader', edits: [{path: '/operators/reader', baseRevision: 0, after}]};
		t.match(await post(JSON.stringify(reader)), {revision: 2});
		t.match(await post('{}', 'reader'), {code: 'forbidden'});
		t.equal((await call(operators, '/v1/status', {method: 'GET', token: 'reader'})).status, 200);
		t.match((await call(operators, '/v1/settings/node?path=/bad/path', {method: 'GET', token: 'demo-operator'})).body, {code: 'badRequest'});
		t.match((await call(operators, '/v1/settings/history?limit=lots', {method: 'GET', token: 'demo-operator'})).body, {code: 'badRequest'});
		t.match((await call(operators, '/v1/upstreams/none/drain', {token: 'demo-operator'})).body, {code: 'notFound'});
	});

	await t.test('the command line', async t => {
		const run = async (...args: string[]) => runCommandLine(['node', 'pumicehatch', ...args, '--entry', fleet.operatorsOrigin(0), '--json']);
		process.env.PUMICEHATCH_TOKEN = 'demo-operator';
		const folder = t.testdir({bad: '{"x": 1}', same: '{}'});
		t.equal(await run('settings', 'validate', `${folder}/bad`), 2);
		t.equal(await run('settings', 'validate', `${folder}/none.jsonc`), 2);
		t.equal(await run('settings', 'plan', `${folder}/same`), 10, 'drift');
		t.equal(await run('settings', 'set', '/workspaces/buyers', 'deadlineMs'), 2);
		t.equal(await run('settings', 'set', '/workspaces/buyers', 'deadlineMs=-1'), 2);
		t.equal(await run('settings', 'set', '/workspaces/buyers', 'deadlineMs=1500', '--reason', 'test', '--wait'), 0);
		t.equal(await run('settings', 'get', '/workspaces/buyers'), 0);
		t.equal(await run('settings', 'history', '--author', 'automation'), 0);
		t.equal(await run('status'), 0);
		t.equal(await run('report'), 0);
		t.equal(await run('drain', 'none'), 2);
		t.equal(await runCommandLine(['node', 'pumicehatch', 'status', '--entry', 'http://127.0.0.1:1']), 4);
	});

	t.equal((await call(origin, quotePath, {body: '{"lot": "teak-17"}'})).body.outcome, 'completed', 'the entry still serves requests afterwards');
});
