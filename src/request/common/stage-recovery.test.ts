import t from 'tap';
import {decideRecovery, type RecoveryFacts} from './stage-recovery.js';

const lost: RecoveryFacts = {
	code: 'upstreamFailed', message: 'lost', isNotRun: false, areRefusalsFree: true, isRepeatable: true, isOver: false, hasUnknown: false, areSpent: false, isTooLate: false,
	mayRetry: () => true,
};
const codeOf = (changes: Partial<RecoveryFacts>) => {
	const recovery = decideRecovery({...lost, ...changes});
	return recovery.type === 'failed' ? recovery.code : recovery.type;
};

t.test('another attempt follows while time, attempts and budget allow', async t => {
	t.equal(codeOf({}), 'again');
	t.equal(codeOf({areSpent: true}), 'attemptsExhausted');
	t.equal(codeOf({isTooLate: true}), 'deadlineExceeded');
	t.equal(codeOf({mayRetry: () => false}), 'attemptsExhausted');
	t.equal(codeOf({isOver: true}), 'upstreamFailed');
});

t.test('what may have run and may not be repeated is never tried again', async t => {
	t.equal(codeOf({isRepeatable: false}), 'upstreamFailed');
	t.equal(codeOf({isRepeatable: false, hasUnknown: true}), 'resultUnknown');
	t.equal(codeOf({isRepeatable: false, isNotRun: true}), 'again');
});

t.test('a refusal costs no budget where refusals are free, and says that there was no room', async t => {
	const declined = {isNotRun: true, mayRetry: () => false};
	t.equal(codeOf(declined), 'again');
	t.equal(codeOf({...declined, areRefusalsFree: false}), 'overloaded');
	t.equal(codeOf({...declined, areSpent: true}), 'overloaded');
});
