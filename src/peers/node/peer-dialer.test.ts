/**
Guards against a crash because of an address with an invalid port, for which no socket can be created: a peer that reported such an address crashed the
host that received it, and since hosts report the addresses they know to each other, one host after the other crashed.
Found by code review.
*/
import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {SeededRandom} from '../../base/common/random.js';
import {PeerDialer} from './peer-dialer.js';

const malformedEndpoints = ['', 'x', 'a:b', '1.2.3.4', '1.2.3.4:', '1.2.3.4:0', '1.2.3.4:99999', '1.2.3.4:-1', '1.2.3.4:1.5', ':::', '[::1]:80', '999.1.1.1:80', '1.2.3.4:5:6'];

t.test('addresses that can\'t be dialed are ignored', async t => {
	const clock = ManualClock.create();
	const dialer = PeerDialer.create({
		wire: {
			identity: {
				hostId: 'h', incarnation: 'i', role: 'entry', hall: 'a',
			}, keys: () => [{keyId: 'k', secret: 's'}], clock, random: SeededRandom.create(1),
		},
		clock,
		onConnected: () => undefined,
		connectedEndpoints: () => new Set(),
	});
	t.teardown(() => {
		dialer.dispose();
	});
	dialer.start({address: '127.0.0.1', port: 1});
	t.doesNotThrow(() => {
		dialer.addKnown(malformedEndpoints);
		clock.advance(5000);
		dialer.dialDue();
		clock.advance(5000);
	});
	t.same(dialer.known, []);
	dialer.addKnown(['127.0.0.1:2']);
	t.same(dialer.known, ['127.0.0.1:2'], 'others are dialed');
});
