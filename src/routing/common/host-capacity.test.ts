import t from 'tap';
import {highCapacityHosts, sharedCapacityOf} from './host-capacity.js';

t.test('a slow link limits the capacity, however many cores a host has', async t => {
	t.equal(sharedCapacityOf({cores: 1.4, linkMbps: 200}), 1.4);
	t.equal(sharedCapacityOf({cores: 1.4, linkMbps: 7}), 0.1);
});

t.test('hosts with much less capacity than the largest take no shared work; equal hosts all do', async t => {
	t.same(highCapacityHosts(new Map([['big', 1.35], ['alike', 0.7], ['small', 0.1]])), ['big', 'alike']);
	t.same(highCapacityHosts(new Map([['a', 0.5], ['b', 0.5]])), ['a', 'b']);
	t.same(highCapacityHosts(new Map([['a', 0], ['b', 0]])), ['a', 'b'], 'also if no capacity is known');
});
