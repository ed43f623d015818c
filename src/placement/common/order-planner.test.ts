import t from 'tap';
import {planOrders, type EngineView} from './order-planner.js';

const wanted = [{model: 'm', version: 'v2', adapters: ['a']}];
const engines = (count: number, view: Omit<EngineView, 'upstreamId'>) => Array.from({length: count}, (_, number) => ({upstreamId: `u${number}`, ...view}));

t.test('at most a quarter of the engines change at once', async t => {
	const all = engines(8, {models: [{model: 'm', version: 'v1', adapters: ['a']}]});
	t.equal(planOrders(wanted, all, new Set()).length, 2);
	t.equal(planOrders(wanted, all, new Set(['u0'])).length, 1);
	t.equal(planOrders(wanted, all, new Set(['u0', 'u1'])).length, 0);
});

t.test('missing models and adapters are loaded before extra ones are unloaded', async t => {
	const [bare] = engines(1, {models: [{model: 'old', version: 'v1', adapters: []}]});
	t.match(planOrders(wanted, [bare], new Set()), [{kind: 'load', model: 'm', version: 'v2'}]);
	const withModel = {...bare, models: [...bare.models, {model: 'm', version: 'v2', adapters: []}]};
	t.match(planOrders(wanted, [withModel], new Set()), [{kind: 'load', adapter: 'a'}]);
	const complete = {...bare, models: [...bare.models, {model: 'm', version: 'v2', adapters: ['a', 'b']}]};
	t.match(planOrders(wanted, [complete], new Set()), [{kind: 'unload', model: 'old'}]);
	const clean = {...bare, models: [{model: 'm', version: 'v2', adapters: ['a', 'b']}]};
	t.match(planOrders(wanted, [clean], new Set()), [{kind: 'unload', model: 'm', adapter: 'b'}]);
	t.strictSame(planOrders(wanted, [{...bare, models: [{model: 'm', version: 'v2', adapters: ['a']}]}], new Set()), []);
});
