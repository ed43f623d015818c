import t from 'tap';
import type {LogLine} from '../src/cli/common/log-lines.js';
import {requestLogMessages} from '../src/request/common/request-log-messages.js';
import {sumCallerValue} from './caller-value.js';

const requestValues = [{targetMs: 1000, inTime: 4, late: 1}];
const {ended, refusedForPredictedWait: refusedAtDoor} = requestLogMessages;

function line(message: string, fields: Record<string, unknown>): LogLine {
	return {
		time: '2026-01-01T00:00:00Z', part: 'requests', host: 'h', message, targetMs: 1000, ...fields,
	};
}

const served = (firstMs: number, sinceFirstTryMs: number) => line(ended, {
	outcome: 'completed', status: 200, firstMs, tookMs: firstMs + 500, sinceFirstTryMs, attempts: 'e1 first completed 0+1',
});

t.test('the time to an answer counts from the first try, and only first tries add to the maximum credit', async t => {
	t.match(sumCallerValue([served(900, 0)], requestValues), {owed: 4, credit: 4, share: 1});
	t.match(sumCallerValue([served(1100, 0)], requestValues), {owed: 4, credit: 1});
	const repeatedTry = [line(refusedAtDoor, {sinceFirstTryMs: 0}), served(300, 800)];
	t.match(sumCallerValue(repeatedTry, requestValues), {owed: 4, credit: 1}, 'in time after this try, but late after the first one');
});

t.test('waiting without being served is charged by its length, and a failed repeated try in addition', async t => {
	const refusedAfter = (tookMs: number, sinceFirstTryMs = 0) => line(ended, {
		outcome: 'refused', tookMs, sinceFirstTryMs, attempts: '',
	});
	t.equal(sumCallerValue([refusedAfter(100)], requestValues).waited, 0);
	const half = sumCallerValue([refusedAfter(400)], requestValues).waited;
	const full = sumCallerValue([refusedAfter(5000)], requestValues).waited;
	t.ok(half > 0 && half < full);
	t.equal(full, 0.4);
	t.equal(sumCallerValue([refusedAfter(100, 800)], requestValues).failedAgain, 1.2);
	const offered = line(ended, {outcome: 'failed', tookMs: 5000, attempts: 'e1 first unknown 0+1'});
	t.equal(sumCallerValue([offered], requestValues).waited, 0, 'it was sent to an upstream');
	t.equal(sumCallerValue([line(ended, {targetMs: 7})], requestValues).owed, 0, 'another target');
});
