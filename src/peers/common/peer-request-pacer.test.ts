import t from 'tap';
import {PeerRequestPacer} from './peer-request-pacer.js';

t.test('one peer is asked at a time, with a longer timeout before each next one', async t => {
	const pacer = PeerRequestPacer.create();
	const requestTimesMs: number[] = [];
	for (let nowMs = 0; nowMs < 6000; nowMs += 100) {
		if (pacer.maySend(nowMs)) {
			pacer.recordRequest('a', nowMs);
			requestTimesMs.push(nowMs);
		}
	}

	t.same(requestTimesMs, [0, 400, 1200, 2800, 4400]);
});

t.test('only the reply of the peer that was asked last completes the request', async t => {
	const pacer = PeerRequestPacer.create();
	pacer.recordRequest('a', 0);
	pacer.recordRequest('b', 400);
	t.equal(pacer.recordReply('a', 450), undefined);
	t.equal(pacer.maySend(500), false);
	t.equal(pacer.recordReply('b', 510), 110);
	t.equal(pacer.maySend(510), true);
	pacer.recordRequest('c', 600);
	t.equal(pacer.maySend(1000), true, 'after a reply the timeout starts from its initial value again');
});
