import t from 'tap';
import {BoundedAdmission} from './bounded-admission.js';

const text = {message: 'bounded', retryAfterMs: 400};

function makeAdmission(remainingSends: number) {
	const state = {remainingSends};
	const admission = BoundedAdmission.create({remainingSends: () => state.remainingSends, boundedUnavailability: () => text});
	return {state, admission, isAdmitted: (rank: number, nowMs: number) => admission.admit('p', rank, nowMs) === undefined};
}

t.test('a pool that is not bounded admits all requests', async t => {
	const {admission, isAdmitted} = makeAdmission(Infinity);
	admission.reserve('p');
	t.ok(isAdmitted(9, 0));
});

t.test('a bounded pool admits what may be sent, less what is reserved by started requests', async t => {
	const {state, admission, isAdmitted} = makeAdmission(2);
	const reservations = [admission.reserve('p'), admission.reserve('p')];
	t.same(admission.admit('p', 0, 0), text);
	reservations[0].dispose();
	reservations[0].dispose();
	t.ok(isAdmitted(0, 0), 'a reservation is released only once');
	state.remainingSends = 0;
	reservations[1].dispose();
	t.notOk(isAdmitted(0, 0));
});

t.test('less urgent requests leave the sends that urgent ones are expected to need, given their recent rate', async t => {
	const {isAdmitted, state} = makeAdmission(1);
	t.ok(isAdmitted(3, 0), 'no urgent request arrived');
	for (let index = 0; index < 8; index++) {
		t.ok(isAdmitted(1, 100 * index));
	}

	state.remainingSends = 3;
	t.notOk(isAdmitted(3, 900), 'almost three sends are held back for urgent requests, after eight recent ones');
	state.remainingSends = 4;
	t.ok(isAdmitted(3, 900));
	state.remainingSends = 1;
	t.ok(isAdmitted(0, 900));
	state.remainingSends = 1.01;
	t.ok(isAdmitted(3, 40_000), 'the urgent requests were too long ago to count');
});
