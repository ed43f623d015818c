import t from 'tap';
import {AskPace} from './ask-pace.js';

t.test('one peer is asked at a time, with a longer timeout before each next one', async t => {
	const pace = AskPace.create();
	const askedMs: number[] = [];
	for (let nowMs = 0; nowMs < 6000; nowMs += 100) {
		if (pace.mayAsk(nowMs)) {
			pace.ask('a', nowMs);
			askedMs.push(nowMs);
		}
	}

	t.same(askedMs, [0, 400, 1200, 2800, 4400]);
});

t.test('only the reply of the peer that was asked last completes the request', async t => {
	const pace = AskPace.create();
	pace.ask('a', 0);
	pace.ask('b', 400);
	t.equal(pace.answered('a', 450), undefined);
	t.equal(pace.mayAsk(500), false);
	t.equal(pace.answered('b', 510), 110);
	t.equal(pace.mayAsk(510), true);
	pace.ask('c', 600);
	t.equal(pace.mayAsk(1000), true, 'after a reply the timeout starts from its initial value again');
});
