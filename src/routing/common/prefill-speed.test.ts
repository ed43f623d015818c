import t from 'tap';
import {PrefillSpeed} from './prefill-speed.js';

const learn = (prefill: PrefillSpeed, msPerToken: number, times: number): void => {
	for (let index = 0; index < times; index++) {
		const tokens = 400 + ((index * 997) % 4000);
		prefill.observe(tokens, 30 + (tokens * msPerToken));
	}
};

t.test('the prefill speed is learned without an initial value', async t => {
	for (const msPerToken of [0.005, 0.0164, 0.031, 0.2]) {
		const reading = PrefillSpeed.create();
		t.equal(reading.msPerToken, 0, 'no initial value is assumed');
		learn(reading, msPerToken, 60);
		t.ok(Math.abs(reading.msPerToken - msPerToken) < msPerToken * 0.15, `${reading.msPerToken} of ${msPerToken}`);
	}
});

t.test('one slow engine has little effect on the estimate; a change of all engines is followed', async t => {
	const reading = PrefillSpeed.create();
	learn(reading, 0.02, 60);
	for (let index = 0; index < 100; index++) {
		reading.observe(3000, index % 8 === 0 ? 600 : 90);
	}

	t.ok(reading.msPerToken < 0.025, `${reading.msPerToken}`);
	learn(reading, 0.04, 200);
	t.ok(reading.msPerToken > 0.034, `${reading.msPerToken}`);
});

t.test('short prompts update the overhead of a first token', async t => {
	const reading = PrefillSpeed.create();
	learn(reading, 0.02, 60);
	for (let index = 0; index < 200; index++) {
		reading.observe(50, 81);
	}

	t.ok(Math.abs(reading.overheadMs - 80) < 12, `${reading.overheadMs}`);
});
