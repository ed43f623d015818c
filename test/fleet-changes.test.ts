import t from 'tap';
import {
	call, readEvents, startFleet, readStatus, waitUntil,
} from './fleet-harness.js';

const quoteBody = JSON.stringify({lot: 'teak-17', customer: 'a builder in Banjul', wish: 'planks of 40 mm, dry, delivered to the yard next week'});
const quotePath = 'pipelines/quote/requests';
const streamed = {body: quoteBody, headers: {accept: 'text/event-stream', 'deadline-ms': '20000'}};

t.test('a draining upstream finishes its running work and gets no new work', async t => {
	const fleet = await startFleet();
	t.teardown(() => {
		fleet.dispose();
	});
	const [leaving] = fleet.poolOf('models');
	const pending = Promise.all(Array.from({length: 4}, async () => call(fleet.callersOrigin(0), quotePath, streamed)));
	await waitUntil(() => leaving.engine!.state.batch.size > 0);
	const drained = await call(fleet.operatorsOrigin(0), `/v1/upstreams/${leaving.upstreamId}/drain`, {token: 'demo-operator'});
	t.equal(drained.status, 202);
	await waitUntil(async () => {
		const states = await Promise.all([0, 1].map(async entry => readStatus(fleet, entry)));
		return states.every(status => status.upstreams.find(upstream => upstream.upstreamId === leaving.upstreamId)?.state === 'leaving');
	});
	for (const answer of await pending) {
		t.equal(readEvents(answer.text).last, 'end');
	}

	// Counted only now, because a call that the gate admitted just before the drain may have reached the engine late.
	const started = leaving.engine!.startedIds.length;

	for (const entry of [0, 1]) {
		const answer = await call(fleet.callersOrigin(entry), quotePath, {body: quoteBody});
		t.equal(answer.body.outcome, 'completed');
	}

	t.equal(leaving.engine!.startedIds.length, started);
});

t.test('an upstream that the host list or the settings mark as leaving gets no work', async t => {
	const fleet = await startFleet();
	t.teardown(() => {
		fleet.dispose();
	});
	const [listed, named] = fleet.poolOf('encoders');
	fleet.platform.hostListLagMs = 300;
	fleet.platform.hosts = fleet.platform.hosts.map(host => host.hostId === listed.hostId ? {...host, state: 'leaving'} : host);
	await waitUntil(async () => {
		const states = await Promise.all([0, 1].map(async entry => readStatus(fleet, entry)));
		return states.every(status => status.upstreams.find(upstream => upstream.upstreamId === listed.upstreamId)?.state === 'leaving');
	});
	const before = listed.service!.ran.length;
	t.equal((await call(fleet.callersOrigin(1), quotePath, {body: quoteBody})).body.outcome, 'completed');
	t.equal(listed.service!.ran.length, before);
	const change = {
		changeId: 'drain-encoder', reason: 'test', edits: [{path: '/pools/encoders', baseRevision: 1, after: {kind: 'worker', slots: 16, leavingUpstreams: [named.upstreamId]}}],
	};
	t.equal((await call(fleet.operatorsOrigin(0), '/v1/settings/changes', {body: JSON.stringify(change), token: 'demo-operator'})).status, 200);
	const ran = named.service!.ran.length;
	await waitUntil(async () => (await readStatus(fleet, 1)).settingsRevision === 2);
	const refused = await call(fleet.callersOrigin(1), quotePath, {body: quoteBody});
	t.match(refused.body, {outcome: 'refused', notRun: true, code: 'noUpstream'});
	t.equal(named.service!.ran.length, ran);
});

t.test('a planned stop of an agent and of an entry aborts no request', async t => {
	const fleet = await startFleet();
	t.teardown(() => {
		fleet.dispose();
	});
	const [stopping] = fleet.poolOf('models');
	const pending = Promise.all(Array.from({length: 6}, async () => call(fleet.callersOrigin(0), quotePath, streamed)));
	await waitUntil(() => stopping.engine!.state.batch.size > 0);
	const stops = Promise.all([stopping.daemon.lifecycle.stop(), fleet.entries[0].lifecycle.stop()]);
	for (const answer of await pending) {
		t.equal(readEvents(answer.text).last, 'end');
	}

	await stops;
	await t.rejects(call(fleet.callersOrigin(0), quotePath, streamed), 'the entry has stopped');
	t.equal((await call(fleet.callersOrigin(1), quotePath, {body: quoteBody})).body.outcome, 'completed');
});

t.test('settings reach every host, survive a store outage, and are read from peers during it', async t => {
	const fleet = await startFleet();
	t.teardown(() => {
		fleet.dispose();
	});
	const change = (changeId: string, deadlineMs: number, baseRevision: number) => JSON.stringify({
		changeId, reason: 'test', edits: [{path: '/workspaces/mill-nioro', baseRevision, after: {deadlineMs, tokenHashes: []}}],
	});
	const post = async (entry: number, body: string) => call(fleet.operatorsOrigin(entry), '/v1/settings/changes', {body, token: 'demo-operator'});

	fleet.platform.table.responsesToLose = 1;
	const accepted = await post(0, change('once', 900, 1));
	t.match(accepted.body, {revision: 2});
	t.match((await post(1, change('once', 900, 1))).body, {revision: 2, isRepeat: true});
	const conflict = await post(1, change('other', 700, 1));
	t.match(conflict.body, {
		code: 'conflict', more: [{
			path: '/workspaces/mill-nioro', revision: 2, author: 'automation', fields: {deadlineMs: 900},
		}],
	});
	await waitUntil(async () => {
		const status = await readStatus(fleet, 1);
		return status.settingsRevision === 2 && status.hosts.every(host => host.revision === 2);
	});

	fleet.platform.table.isDown = true;
	t.match((await post(0, change('down', 800, 2))).body, {code: 'storeUnavailable'});
	await fleet.startEntry(2);
	await waitUntil(async () => (await readStatus(fleet, 2)).settingsRevision === 2);
	await waitUntil(async () => (await call(fleet.callersOrigin(2), quotePath, {body: quoteBody})).body.outcome === 'completed');
	t.pass('an entry that starts during a store outage serves with the settings of its peers');
	fleet.platform.table.isDown = false;

	const history = await call(fleet.operatorsOrigin(1), '/v1/settings/history?after=1', {method: 'GET', token: 'demo-operator'});
	t.match(history.body, {
		changes: [{
			revision: 2, changeId: 'once', author: 'automation', edits: [{path: '/workspaces/mill-nioro', after: {deadlineMs: 900}}],
		}],
	});
});

t.test('engines load the models that the settings name, on orders of a single lease holder', async t => {
	const fleet = await startFleet();
	t.teardown(() => {
		fleet.dispose();
	});
	const change = {
		changeId: 'new-version',
		reason: 'test',
		edits: [{path: '/pools/models', baseRevision: 1, after: {kind: 'engine', slots: 8, models: [{model: 'sawmill-7b', version: 'v4', adapters: ['quotes']}]}}],
	};
	t.equal((await call(fleet.operatorsOrigin(1), '/v1/settings/changes', {body: JSON.stringify(change), token: 'demo-operator'})).status, 200);
	const engines = fleet.poolOf('models').map(upstream => upstream.engine!);
	fleet.platform.weightFetchMs = 50;
	await waitUntil(() => engines.every(engine => engine.state.models.every(model => model.version === 'v4' && model.adapters.join(',') === 'quotes')));
	for (const engine of engines) {
		const fences = engine.orders.map(order => order.sequence);
		t.strictSame(fences, fences.toSorted((a, b) => a - b));
		t.equal(new Set(engine.orders.map(order => order.epoch)).size, 1);
	}

	t.equal(fleet.platform.weightFetches, engines.flatMap(engine => engine.orders).filter(order => order.kind === 'load').length, 'no weights were loaded twice');
});
