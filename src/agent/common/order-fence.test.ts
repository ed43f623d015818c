import t from 'tap';
import type {OrderMessage} from '../../wire/common/messages.js';
import {OrderFence} from './order-fence.js';

const order = (epoch: number, sequence: number, timeLeftMs = 1000): OrderMessage => ({
	type: 'order', orderId: 'o', epoch, sequence, timeLeftMs, kind: 'load', model: 'm', version: 'v1',
});

t.test('orders pass in rising order of epoch and sequence only', async t => {
	const fence = OrderFence.create();
	fence.learn(3);
	t.type(fence.check(order(2, 9)), 'string', 'an earlier holder');
	t.equal(fence.check(order(3, 1)), undefined);
	t.type(fence.check(order(3, 1)), 'string', 'doubled');
	t.equal(fence.check(order(4, 1)), undefined);
	t.type(fence.check(order(3, 2)), 'string', 'the old holder has woken');
});

t.test('a new agent lets nothing pass before it has read the lease', async t => {
	t.type(OrderFence.create().check(order(1, 1)), 'string');
});

t.test('an order read right after a sleep is refused, the next newer one passes', async t => {
	const fence = OrderFence.create();
	fence.learn(1);
	fence.suspect();
	t.type(fence.check(order(1, 1)), 'string');
	t.equal(fence.check(order(1, 2)), undefined);
	t.type(fence.check(order(1, 3, 0)), 'string', 'no time left');
});
