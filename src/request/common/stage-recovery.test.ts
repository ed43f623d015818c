import t from 'tap';
import {decideRecovery, type RecoveryFacts} from './stage-recovery.js';

const lost: RecoveryFacts = {
	code: 'upstreamFailed', message: 'lost', isNotRun: false, areRefusalsFree: true, isRepeatable: true, isRecoveryStopped: false, hasUnknown: false, areAttemptsExhausted: false, isTooLate: false,
	mayRetry: () => true,
};
const codeOf = (changes: Partial<RecoveryFacts>) => {
	const recovery = decideRecovery({...lost, ...changes});
	return recovery.type === 'failed' ? recovery.code : recovery.type;
};

t.test('another attempt is made while time, the number of attempts and the budget allow it', async t => {
	t.equal(codeOf({}), 'again');
	t.equal(codeOf({areAttemptsExhausted: true}), 'attemptsExhausted');
	t.equal(codeOf({isTooLate: true}), 'deadlineExceeded');
	t.equal(codeOf({mayRetry: () => false}), 'attemptsExhausted');
	t.equal(codeOf({isRecoveryStopped: true}), 'upstreamFailed');
});

t.test('work that may have run and may not be repeated is never retried', async t => {
	t.equal(codeOf({isRepeatable: false}), 'upstreamFailed');
	t.equal(codeOf({isRepeatable: false, hasUnknown: true}), 'resultUnknown');
	t.equal(codeOf({isRepeatable: false, isNotRun: true}), 'again');
});

t.test('a refusal takes no retry budget where refusals are free, and is reported as overload', async t => {
	const declined = {isNotRun: true, mayRetry: () => false};
	t.equal(codeOf(declined), 'again');
	t.equal(codeOf({...declined, areRefusalsFree: false}), 'overloaded');
	t.equal(codeOf({...declined, areAttemptsExhausted: true}), 'overloaded');
});
