import fc from 'fast-check';
import t from 'tap';
import type {ChunkMessage} from '../src/wire/common/messages.js';
import {Attempt} from '../src/request/common/attempt.js';
import {AttemptList} from '../src/request/common/attempt-list.js';
import {requestProperty} from './request-fuzz.js';
import type {InjectedDefect} from './request-simulation.js';

const seed = 20_261_202;

t.test('no combination of faults breaks a promise', async t => {
	const details = await fc.check(requestProperty(120), {seed, numRuns: 150});
	t.equal(details.failed, false, fc.defaultReportMessage(details) ?? 'no counterexample');
});

async function isCaught(promise: RegExp, defect?: InjectedDefect): Promise<boolean> {
	const details = await fc.check(requestProperty(120, defect), {seed, numRuns: 1000, endOnFailure: true});
	return details.failed && promise.test(String(details.errorInstance));
}

t.test('the fuzzer detects a chunk that is accepted twice or out of order', async t => {
	const {acceptChunk} = Attempt.prototype;
	t.intercept(Attempt.prototype, 'acceptChunk', {
		value(this: Attempt, chunk: ChunkMessage) {
			return acceptChunk.call(this, {...chunk, sequence: this.units});
		},
	});
	t.ok(await isCaught(/promise 1/v));
});

t.test('the fuzzer detects a truncated answer that is taken for complete', async t => {
	t.intercept(Attempt.prototype, 'isComplete', {value: () => true});
	t.ok(await isCaught(/promise [12]/v));
});

t.test('the fuzzer detects work that was executed and then refused as not run', async t => {
	t.intercept(AttemptList.prototype, 'mayHaveRun', {get: () => false});
	t.ok(await isCaught(/promise 3/v));
});

t.test('the fuzzer detects a request that must not be repeated and was executed twice', async t => {
	t.ok(await isCaught(/promise 4/v, 'repeatOnce'));
});

t.test('the fuzzer detects work started at an upstream that has announced that it is leaving', async t => {
	t.ok(await isCaught(/promise 5/v, 'ignoreLeaving'));
});

t.test('the fuzzer detects a planned stop that aborts work', async t => {
	t.ok(await isCaught(/promise 6/v, 'stopCuts'));
});
