import t from 'tap';
import {PrefillSpeed} from './prefill-speed.js';

const observe = (prefill: PrefillSpeed, msPerToken: number, times: number): void => {
	for (let index = 0; index < times; index++) {
		const tokens = 400 + ((index * 997) % 4000);
		prefill.observe(tokens, 30 + (tokens * msPerToken));
	}
};

t.test('the prefill speed is estimated without an initial value', async t => {
	for (const msPerToken of [0.005, 0.0164, 0.031, 0.2]) {
		const prefillSpeed = PrefillSpeed.create();
		t.equal(prefillSpeed.msPerToken, 0, 'no initial value is assumed');
		observe(prefillSpeed, msPerToken, 60);
		t.ok(Math.abs(prefillSpeed.msPerToken - msPerToken) < msPerToken * 0.15, `${prefillSpeed.msPerToken} of ${msPerToken}`);
	}
});

t.test('one slow engine has little effect on the estimate; a change of all engines is followed', async t => {
	const prefillSpeed = PrefillSpeed.create();
	observe(prefillSpeed, 0.02, 60);
	for (let index = 0; index < 100; index++) {
		prefillSpeed.observe(3000, index % 8 === 0 ? 600 : 90);
	}

	t.ok(prefillSpeed.msPerToken < 0.025, `${prefillSpeed.msPerToken}`);
	observe(prefillSpeed, 0.04, 200);
	t.ok(prefillSpeed.msPerToken > 0.034, `${prefillSpeed.msPerToken}`);
});

t.test('short prompts update the overhead of a first token', async t => {
	const prefillSpeed = PrefillSpeed.create();
	observe(prefillSpeed, 0.02, 60);
	for (let index = 0; index < 200; index++) {
		prefillSpeed.observe(50, 81);
	}

	t.ok(Math.abs(prefillSpeed.overheadMs - 80) < 12, `${prefillSpeed.overheadMs}`);
});
