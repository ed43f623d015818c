import t from 'tap';
import {silentLoggers} from '../../base/common/logger.js';
import {noMetrics} from '../../base/common/metrics.js';
import {ServerBackoffs} from './server-backoffs.js';

const server = {serverId: 's', pool: 'p'};
const makeBackoffs = () => ServerBackoffs.create({log: silentLoggers.for('test'), metrics: noMetrics});

t.test('a backoff lasts as long as the server asked; a shorter one asked for later does not end it', async t => {
	const backoffs = makeBackoffs();
	t.equal(backoffs.remainingMs('s', 0), 0);
	backoffs.handleResponse(server, {kind: 'asked', forMs: 3000}, 1000);
	backoffs.handleResponse(server, {kind: 'asked', forMs: 500}, 1100);
	backoffs.handleResponse(server, {kind: 'none'}, 1200);
	t.equal(backoffs.remainingMs('s', 2000), 2000);
	backoffs.handleResponse(server, {kind: 'asked', forMs: 3000}, 2000);
	t.equal(backoffs.remainingMs('s', 4000), 1000, 'a longer one extends it');
	t.equal(backoffs.remainingMs('s', 5000), 0);
	t.equal(backoffs.remainingMs('other', 1000), 0);
});

t.test('a backoff of zero and one that can\'t be parsed are ignored, and an infinite one is bounded', async t => {
	const backoffs = makeBackoffs();
	backoffs.handleResponse(server, {kind: 'asked', forMs: 0}, 0);
	backoffs.handleResponse(server, {kind: 'unreadable', text: 'abc'}, 0);
	t.equal(backoffs.remainingMs('s', 0), 0);
	backoffs.handleResponse(server, {kind: 'asked', forMs: Infinity}, 0);
	t.equal(backoffs.remainingMs('s', 0), 3_600_000);
	backoffs.forget('s');
	t.equal(backoffs.remainingMs('s', 0), 0, 'the next start of the server has no backoff');
});

t.test('the number of remembered servers is bounded', async t => {
	const backoffs = makeBackoffs();
	for (let index = 0; index <= 2000; index++) {
		backoffs.handleResponse({serverId: `s${index}`, pool: 'p'}, {kind: 'asked', forMs: 1000}, 0);
	}

	t.equal(backoffs.remainingMs('s0', 0), 0);
	t.equal(backoffs.remainingMs('s2000', 0), 1000);
});
