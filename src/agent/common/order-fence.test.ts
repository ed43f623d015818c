import t from 'tap';
import type {OrderMessage} from '../../wire/common/messages.js';
import {OrderFence} from './order-fence.js';

const order = (epoch: number, sequence: number, timeLeftMs = 1000): OrderMessage => ({
	type: 'order', orderId: 'o', epoch, sequence, timeLeftMs, kind: 'load', model: 'm', version: 'v1',
});

t.test('orders are accepted only with rising epoch and sequence number', async t => {
	const fence = OrderFence.create();
	fence.raiseEpoch(3);
	t.type(fence.check(order(2, 9)), 'string', 'sent by an earlier holder');
	t.equal(fence.check(order(3, 1)), undefined);
	t.type(fence.check(order(3, 1)), 'string', 'received twice');
	t.equal(fence.check(order(4, 1)), undefined);
	t.type(fence.check(order(3, 2)), 'string', 'sent by the former holder after it resumed');
});

t.test('a new agent refuses all orders before it has read the lease', async t => {
	t.type(OrderFence.create().check(order(1, 1)), 'string');
});

t.test('an order read right after a suspension is refused, the next newer one is accepted', async t => {
	const fence = OrderFence.create();
	fence.raiseEpoch(1);
	fence.processSuspended();
	t.type(fence.check(order(1, 1)), 'string');
	t.equal(fence.check(order(1, 2)), undefined);
	t.type(fence.check(order(1, 3, 0)), 'string', 'no time left');
});
