import t from 'tap';
import {AskPace} from './ask-pace.js';

t.test('one peer is asked at a time, the next one later each time', async t => {
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

t.test('only the answer of the peer that was asked last ends the waiting', async t => {
	const pace = AskPace.create();
	pace.ask('a', 0);
	pace.ask('b', 400);
	t.equal(pace.answered('a', 450), undefined);
	t.equal(pace.mayAsk(500), false);
	t.equal(pace.answered('b', 510), 110);
	t.equal(pace.mayAsk(510), true);
	pace.ask('c', 600);
	t.equal(pace.mayAsk(1000), true, 'after an answer the first wait is the usual one again');
});
