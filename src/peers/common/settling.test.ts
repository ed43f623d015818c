/** Pattern: herd after a restart. Every host starts with no peer, and callers come at once. */
import t from 'tap';
import {Settling} from './settling.js';

t.test('a host without other addresses has nobody to meet', async t => {
	t.ok(Settling.create(false, 0).isSettled);
});

t.test('among hosts that start together, one has met all once nothing new comes for longer than addresses are told', async t => {
	const settling = Settling.create(true, 0);
	t.notOk(settling.look({peers: 0, unmet: 0, hasSettledPeer: false}, 900), 'no peer yet');
	t.notOk(settling.look({peers: 3, unmet: 0, hasSettledPeer: false}, 1000), 'the first of them');
	t.notOk(settling.look({peers: 3, unmet: 14, hasSettledPeer: false}, 1400), 'more were told of');
	t.notOk(settling.look({peers: 17, unmet: 0, hasSettledPeer: false}, 1600));
	t.notOk(settling.look({peers: 17, unmet: 0, hasSettledPeer: false}, 2200));
	t.ok(settling.look({peers: 17, unmet: 0, hasSettledPeer: false}, 2300));
	t.ok(settling.isSettled);
	t.notOk(settling.look({peers: 0, unmet: 17, hasSettledPeer: false}, 9000), 'it settles once');
	t.ok(settling.isSettled, 'and stays so');
});

t.test('in a fleet that stands, a host has met all once those it was told of are connected', async t => {
	const settling = Settling.create(true, 0);
	t.notOk(settling.look({peers: 1, unmet: 16, hasSettledPeer: true}, 200));
	t.ok(settling.look({peers: 17, unmet: 0, hasSettledPeer: true}, 500));
});

t.test('peers that are told of and never answer hold nobody up for long', async t => {
	const settling = Settling.create(true, 0);
	t.notOk(settling.look({peers: 5, unmet: 9, hasSettledPeer: true}, 2400));
	t.ok(settling.look({peers: 5, unmet: 9, hasSettledPeer: true}, 2500));
});
