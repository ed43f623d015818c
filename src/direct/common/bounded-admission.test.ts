import t from 'tap';
import {BoundedAdmission} from './bounded-admission.js';

const text = {message: 'bounded', retryAfterMs: 400};

function makeAdmission(left: number) {
	const state = {left};
	const admission = BoundedAdmission.create({left: () => state.left, boundedText: () => text});
	return {state, admission, isAdmitted: (rank: number, nowMs: number) => admission.admit('p', rank, nowMs) === undefined};
}

t.test('a pool that is not bounded admits all', async t => {
	const {admission, isAdmitted} = makeAdmission(Infinity);
	admission.reserve('p');
	t.ok(isAdmitted(9, 0));
});

t.test('a bounded pool admits what may be sent, less what has begun', async t => {
	const {state, admission, isAdmitted} = makeAdmission(2);
	const reservations = [admission.reserve('p'), admission.reserve('p')];
	t.same(admission.admit('p', 0, 0), text);
	reservations[0].dispose();
	reservations[0].dispose();
	t.ok(isAdmitted(0, 0), 'a reservation ends once');
	state.left = 0;
	reservations[1].dispose();
	t.notOk(isAdmitted(0, 0));
});

t.test('less urgent work leaves what urgent work asks for in a moment, as far as that came of late', async t => {
	const {isAdmitted, state} = makeAdmission(1);
	t.ok(isAdmitted(3, 0), 'nothing urgent came');
	for (let index = 0; index < 8; index++) {
		t.ok(isAdmitted(1, 100 * index));
	}

	state.left = 3;
	t.notOk(isAdmitted(3, 900), 'eight of late ask for three sends more');
	state.left = 4;
	t.ok(isAdmitted(3, 900));
	state.left = 1;
	t.ok(isAdmitted(0, 900));
	state.left = 1.01;
	t.ok(isAdmitted(3, 40_000), 'long ago');
});
