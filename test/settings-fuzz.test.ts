import fc from 'fast-check';
import t from 'tap';
import {settingsProperty, type InjectedSettingsDefect} from './settings-fuzz.js';

const seed = 20_261_202;

t.test('no accepted change is lost, applied twice or reverted under any faults', async t => {
	const details = await fc.check(settingsProperty(80), {seed, numRuns: 200});
	t.equal(details.failed, false, fc.defaultReportMessage(details) ?? 'no counterexample');
});

async function isCaught(promise: RegExp, defect: InjectedSettingsDefect): Promise<boolean> {
	const details = await fc.check(settingsProperty(80, defect), {seed, numRuns: 300, endOnFailure: true});
	return details.failed && promise.test(String(details.errorInstance));
}

t.test('the fuzzer detects a change that takes effect twice', async t => {
	t.ok(await isCaught(/took effect 2 times/v, 'forgetChangeIds'));
});

t.test('the fuzzer detects a host that returns to an older revision', async t => {
	t.ok(await isCaught(/went back/v, 'goBack'));
});
