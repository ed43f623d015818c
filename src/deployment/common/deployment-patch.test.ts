import fc from 'fast-check';
import t from 'tap';
import {silentLoggers} from '../../base/common/logger.js';
import type {Deployment, Route} from './declaration.js';
import {DeploymentTracker} from './deployment-tracker.js';
import {applyDeploymentPatch, deploymentPatchSchema, type DeploymentPatch} from './deployment-patch.js';
import {applyListPatch, makeListPatch} from './list-patch.js';

const limits = {
	maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4,
};

function routeOf(name: string, targetMs = 100): Route {
	return {
		name, hostName: 'site.example', pathPrefix: `/${name}/`, kind: 'repeatable', timeoutMs: 1000, targetMs, rank: 0,
		targets: [{pool: 'p', weight: 1}], maxAttempts: 1, steps: [], isPublic: false, hasAffinity: false, isResumable: false,
	};
}

function deploymentOf(version: number, routes: readonly Route[]): Deployment {
	return structuredClone({
		version, routes: [...routes], pools: [{name: 'p', maxConnections: 5}], limits, workspaces: [{name: 'w', keys: ['k']}],
	});
}

/** Returns a patch as a peer receives it. */
function overTheWire(patch: DeploymentPatch | undefined): DeploymentPatch {
	const text = JSON.stringify(patch);
	return deploymentPatchSchema.parse(JSON.parse(text));
}

t.test('applying the patch between two lists gives the second, whatever was added, removed, moved or duplicated', async t => {
	const items = Array.from({length: 8}, (_, index) => ({index}));
	const lists = fc.array(fc.constantFrom(...items), {maxLength: 12});
	fc.assert(fc.property(lists, lists, (before, after) => {
		const made = applyListPatch(before, makeListPatch(before, after));
		t.equal(made?.length, after.length);
		t.ok(made?.every((item, position) => item === after[position]));
	}), {seed: 1, numRuns: 300});
});

t.test('applying the patch from any kept version gives the current version', async t => {
	const names = fc.uniqueArray(fc.constantFrom(...'abcdefgh'), {maxLength: 8});
	const versions = fc.array(fc.tuple(names, fc.constantFrom(100, 200)), {minLength: 1, maxLength: 6});
	fc.assert(fc.property(versions, drawn => {
		const tracker = DeploymentTracker.create(silentLoggers.for('test'));
		const deployments = drawn.map(([routes, targetMs], index) => deploymentOf(index + 1, routes.map(name => routeOf(name, targetMs))));
		for (const deployment of deployments) {
			tracker.offer(deployment, 'store');
		}

		const newest = deployments.at(-1)!;
		for (const before of [undefined, ...deployments]) {
			const made = applyDeploymentPatch(before, overTheWire(tracker.patchFrom(before?.version ?? 0)));
			t.same(made, {ok: true, value: newest});
		}
	}), {seed: 1, numRuns: 60});
});

t.test('a patch leaves out what did not change', async t => {
	const tracker = DeploymentTracker.create(silentLoggers.for('test'));
	const routes = Array.from({length: 100}, (_, index) => routeOf(`r${index}`));
	tracker.offer(deploymentOf(1, routes), 'store');
	tracker.offer(deploymentOf(2, [...routes.slice(0, 40), routeOf('r40', 200), ...routes.slice(41)]), 'store');
	t.match(tracker.patchFrom(1), {
		baseVersion: 1,
		version: 2,
		routes: [{from: 0, count: 40}, {items: [{name: 'r40', targetMs: 200}]}, {from: 41, count: 59}],
		pools: [{from: 0, count: 1}],
	});
});

t.test('a peer whose version is not kept gets the complete declaration', async t => {
	const tracker = DeploymentTracker.create(silentLoggers.for('test'));
	t.equal(tracker.patchFrom(0), undefined, 'no version is known yet');
	for (let version = 1; version <= 30; version++) {
		tracker.offer(deploymentOf(version, [routeOf('a')]), 'store');
	}

	t.equal(tracker.patchFrom(1)?.baseVersion, 0);
	t.equal(tracker.patchFrom(29)?.baseVersion, 29);
	t.equal(tracker.patchFrom(77)?.baseVersion, 0);
});

t.test('a patch for another version, or one that refers to missing items, is rejected', async t => {
	const patch: DeploymentPatch = {
		baseVersion: 3, version: 4, routes: [{from: 0, count: 2}], pools: [], limits,
	};
	t.match(applyDeploymentPatch(undefined, patch), {ok: false, error: {code: 'otherBase'}});
	t.match(applyDeploymentPatch(deploymentOf(2, []), patch), {ok: false, error: {code: 'otherBase'}});
	t.match(applyDeploymentPatch(deploymentOf(3, [routeOf('a')]), patch), {ok: false, error: {code: 'badRun'}});
});
