/**
Guards against deployments that are served by the scheduler's quotes although their requests leave it no choice, against
deployments that should be and are not, and against declarations that stop the host when they are loaded.
*/
import t from 'tap';
import fc from 'fast-check';
import type {BatchCapacity, PoolDeclaration, Route} from '../../deployment/common/declaration.js';
import {scheduledPools, stepKeyOf} from './scheduled-pools.js';

type Steps = ReadonlyArray<{readonly pool: string; readonly after: number[]}>;

function poolOf(name: string, batch: Partial<BatchCapacity> | undefined): PoolDeclaration {
	return {
		name, maxConnections: 1, batch: batch && {
			slots: 1, batchSize: 10, callMs: 200, itemMs: 10, roomBytes: 1e9, resultTtlMs: 4000, ...batch,
		},
	};
}

function routeOf(name: string, targetMs: number, steps: Steps): Route {
	return {
		name, targetMs, steps: steps.map(step => ({...step, resultBytes: 10})), hostName: 'h', pathPrefix: `/${name}/`, kind: 'repeatable', timeoutMs: 20_000, rank: 0,
		targets: [{pool: 'engine', weight: 1}], maxAttempts: 1, isPublic: true, hasAffinity: false, isResumable: false,
	};
}

const poolsOf = (routes: readonly Route[], pools: readonly PoolDeclaration[]) => [...scheduledPools({routes, pools})].toSorted((left, right) => left.localeCompare(right));
const pools = [poolOf('1', {batchSize: 12, itemMs: 14}), poolOf('2', {batchSize: 38, itemMs: 4.53}), poolOf('3', {batchSize: 54, itemMs: 3.21}), poolOf('engine', undefined)];
const chain: Steps = [{pool: '1', after: []}, {pool: '2', after: [0]}, {pool: '3', after: [1]}];
const withSideStep: Steps = [{pool: '1', after: []}, {pool: '1', after: []}, {pool: '2', after: [1]}, {pool: '3', after: [2]}];

t.test('of the kinds of the example load, only the query schedules its pools', async t => {
	t.strictSame(poolsOf([routeOf('query', 3008, chain)], pools), ['1', '2', '3']);
	t.strictSame(poolsOf([routeOf('draft', 1506, withSideStep)], pools), []);
	t.strictSame(poolsOf([routeOf('report', 815, [{pool: '1', after: []}])], pools), []);
	t.strictSame(poolsOf([routeOf('report', 815, [{pool: '1', after: []}]), routeOf('draft', 1506, withSideStep), routeOf('query', 3008, chain)], pools), ['1', '2', '3']);
});

t.test('a route qualifies from a target of 7/3 of the full calls on its longest chain, in any order of its steps', async t => {
	// Two full calls of 300 ms.
	const two: Steps = [{pool: 'p', after: []}, {pool: 'q', after: [0]}];
	const both = [poolOf('p', {}), poolOf('q', {})];
	t.strictSame(poolsOf([routeOf('r', 1400, two)], both), ['p', 'q']);
	t.strictSame(poolsOf([routeOf('r', 1399, two)], both), []);
	t.strictSame(poolsOf([routeOf('r', 1400, [{pool: 'q', after: [1]}, {pool: 'p', after: []}])], both), ['p', 'q']);
	t.strictSame(poolsOf([routeOf('r', 1400, [...two, {pool: 'q', after: [1]}])], both), [], 'three calls');
	t.strictSame(poolsOf([routeOf('r', 1400, [...two, {pool: 'q', after: [0, 0]}])], both), ['p', 'q'], 'parallel steps');
	t.strictSame(poolsOf([routeOf('r', 9000, [{pool: 'p', after: []}, {pool: 'q', after: []}])], both), [], 'no chain');
});

t.test('routes with declarations that are not usable do not qualify', async t => {
	const two: Steps = [{pool: 'p', after: []}, {pool: 'q', after: [0]}];
	const p = poolOf('p', {});
	for (const q of [poolOf('q', {slots: 0}), poolOf('q', {batchSize: 0}), poolOf('q', {itemMs: Number.NaN}), poolOf('q', {callMs: 0, itemMs: 0}), poolOf('q', undefined), poolOf('other', {})]) {
		t.strictSame(poolsOf([routeOf('r', 9000, two)], [p, q]), [], JSON.stringify(q));
	}

	const both = [p, poolOf('q', {})];
	t.strictSame(poolsOf([routeOf('r', 9000, [{pool: 'p', after: [1]}, {pool: 'q', after: [0]}])], both), [], 'cycle');
	t.strictSame(poolsOf([routeOf('r', 9000, [{pool: 'p', after: [0]}, {pool: 'q', after: []}])], both), [], 'step that reads itself');
	t.strictSame(poolsOf([routeOf('r', 9000, [...two, {pool: 'q', after: [7]}])], both), [], 'unknown step');
	t.strictSame(poolsOf([routeOf('r', 9000, []), routeOf('s', 9000, two)], both), ['p', 'q'], 'other routes are not affected');
});

t.test('no declaration makes it throw', async t => {
	const figure = fc.oneof(fc.integer({min: -2, max: 50}), fc.double());
	const anyPools = fc.array(fc.record({
		name: fc.constantFrom('p', 'q'), batch: fc.option(fc.record({
			slots: figure, batchSize: figure, callMs: figure, itemMs: figure,
		}), {nil: undefined}),
	}));
	const anySteps = fc.array(fc.record({pool: fc.constantFrom('p', 'q', 'none'), after: fc.array(fc.integer({min: -1, max: 6}))}), {maxLength: 6});
	fc.assert(fc.property(anyPools, anySteps, figure, (declared, steps, targetMs) => {
		scheduledPools({routes: [routeOf('r', targetMs, steps)], pools: declared.map(({name, batch}) => poolOf(name, batch))});
	}), {seed: 1});
	const long = Array.from({length: 20_000}, (_, index) => ({pool: 'p', after: index === 0 ? [] : [index - 1]}));
	t.strictSame(poolsOf([routeOf('r', 1e9, long)], [poolOf('p', {})]), ['p'], 'a long chain does not exhaust the stack');
});

t.test('keys of steps differ by route and number', async t => {
	t.equal(new Set([stepKeyOf('a', 1), stepKeyOf('a', 11), stepKeyOf('a1', 1), stepKeyOf('a#1', 1)]).size, 4);
});
