import fc from 'fast-check';
import t from 'tap';
import type {ChunkMessage} from '../src/wire/common/messages.js';
import {Attempt} from '../src/request/common/attempt.js';
import {AttemptList} from '../src/request/common/attempt-list.js';
import {requestProperty} from './request-fuzz.js';
import type {InjectedDefect} from './request-world.js';

const seed = 20_261_202;

t.test('no mix of faults breaks a promise', async t => {
	const details = await fc.check(requestProperty(120), {seed, numRuns: 150});
	t.equal(details.failed, false, fc.defaultReportMessage(details) ?? 'no counterexample');
});

async function isCaught(promise: RegExp, defect?: InjectedDefect): Promise<boolean> {
	const details = await fc.check(requestProperty(120, defect), {seed, numRuns: 1000, endOnFailure: true});
	return details.failed && promise.test(String(details.errorInstance));
}

t.test('the fuzzer notices a chunk taken twice or out of order', async t => {
	const {take} = Attempt.prototype;
	t.intercept(Attempt.prototype, 'take', {
		value(this: Attempt, chunk: ChunkMessage) {
			return take.call(this, {...chunk, sequence: this.units});
		},
	});
	t.ok(await isCaught(/promise 1/v));
});

t.test('the fuzzer notices a cut answer that looks whole', async t => {
	t.intercept(Attempt.prototype, 'isWhole', {value: () => true});
	t.ok(await isCaught(/promise [12]/v));
});

t.test('the fuzzer notices work that ran and was refused as not run', async t => {
	t.intercept(AttemptList.prototype, 'mayHaveRun', {get: () => false});
	t.ok(await isCaught(/promise 3/v));
});

t.test('the fuzzer notices work that ran twice and may not be repeated', async t => {
	t.ok(await isCaught(/promise 4/v, 'repeatOnce'));
});

t.test('the fuzzer notices work started at an upstream that leaves', async t => {
	t.ok(await isCaught(/promise 5/v, 'ignoreLeaving'));
});

t.test('the fuzzer notices a planned stop that cuts off work', async t => {
	t.ok(await isCaught(/promise 6/v, 'stopCuts'));
});
