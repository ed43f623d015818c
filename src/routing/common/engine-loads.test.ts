import t from 'tap';
import {EngineLoads, makePrompt} from './engine-loads.js';

const engines = ['e1', 'e2', 'e3'].map(upstreamId => ({upstreamId}));
/** 61 tokens per millisecond. */
const speed = {msPerToken: 1 / 61, slowness: 1};
const typical = {speedOf: () => speed, extraMsOf: () => 0};
const promptOf = (shared: string, own: string) => makePrompt([{id: shared, tokens: 6100}, {id: own, tokens: 610}]);

t.test('an engine that has cached a shared part is chosen again, also by another host that was notified', async t => {
	const loads = EngineLoads.create();
	const other = EngineLoads.create();
	const first = loads.best(engines, promptOf('s', 'a'), typical, 0)!;
	for (const each of [loads, other]) {
		each.assign(first.upstreamId, promptOf('s', 'a'), speed, 0);
	}

	const again = promptOf('s', 'b');
	t.equal(loads.best(engines, again, typical, 500), first);
	t.equal(other.best(engines, again, typical, 500), first);
	t.equal(loads.estimate(first.upstreamId, again, speed, 500).firstTokenMs, 610 * speed.msPerToken);
});

t.test('pending prefill work counts, and declines with time', async t => {
	const loads = EngineLoads.create();
	loads.assign('e1', promptOf('s', 'a'), speed, 0);
	t.equal(loads.estimate('e1', promptOf('t', 'b'), speed, 0).firstTokenMs, 220);
	t.equal(loads.estimate('e1', promptOf('t', 'b'), speed, 60).firstTokenMs, 160);
	t.not(loads.best(engines, promptOf('t', 'b'), typical, 0)!.upstreamId, 'e1');
});

t.test('a cached part is usable only after the same preceding parts', async t => {
	const loads = EngineLoads.create();
	loads.assign('e1', makePrompt([{id: 'x', tokens: 610}, {id: 'y', tokens: 610}]), speed, 0);
	t.equal(loads.estimate('e1', makePrompt([{id: 'z', tokens: 610}, {id: 'y', tokens: 610}]), speed, 1000).firstTokenMs, 20);
});

t.test('an engine with a long queue is not chosen even if it has cached the part; a slow engine is not chosen', async t => {
	const loads = EngineLoads.create();
	loads.assign('e1', promptOf('s', 'a'), speed, 0);
	for (let index = 0; index < 20; index++) {
		loads.assign('e1', promptOf(`other${index}`, 'a'), speed, 0);
	}

	t.not(loads.best(engines, promptOf('s', 'b'), typical, 0)!.upstreamId, 'e1');
	const slow = loads.best(engines, promptOf('new', 'b'), {
		...typical,
		speedOf: ({upstreamId}) => ({...speed, slowness: upstreamId === 'e3' ? 1 : 9}),
	}, 5000);
	t.equal(slow!.upstreamId, 'e3');
});

t.test('a removed engine has no cached parts', async t => {
	const loads = EngineLoads.create();
	loads.assign('e1', promptOf('s', 'a'), speed, 0);
	loads.forget('e1');
	t.equal(loads.estimate('e1', promptOf('s', 'b'), speed, 0).firstTokenMs, 110);
});

t.test('the cost of bytes that cross between data halls is weighed against the prefill that a cache saves', async t => {
	const loads = EngineLoads.create();
	const small = makePrompt([{id: 's', tokens: 60}, {id: 'a', tokens: 61}]);
	loads.assign('e1', small, speed, 0);
	const farFrom = (near: string, costMs: number) => ({
		...typical,
		extraMsOf: ({upstreamId}: {readonly upstreamId: string}) => upstreamId === near ? 0 : costMs,
	});
	t.equal(loads.best(engines, small, typical, 500)!.upstreamId, 'e1', 'e1 has cached the prompt');
	t.equal(loads.best(engines, small, farFrom('e3', 90), 500)!.upstreamId, 'e3', 'choosing e1 would move many bytes between data halls');
	loads.assign('e1', promptOf('big', 'a'), speed, 0);
	t.equal(loads.best(engines, promptOf('big', 'b'), farFrom('e3', 90), 500)!.upstreamId, 'e1', 'recomputing the prompt would cost more than moving the bytes');
});
