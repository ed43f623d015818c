import t from 'tap';
import type {Identity} from '../../wire/common/messages.js';
import {MemberTable} from './member-table.js';

const identityOf = (number: number, incarnation = 'i1'): Identity => ({
	upstreamId: `u${number}`, hostId: `h${number}`, pool: 'p', hall: 'a', role: 'agent', incarnation,
});

function tableOf(count: number): MemberTable {
	const table = MemberTable.create();
	for (let number = 0; number < count; number++) {
		table.connected(identityOf(number), 0);
	}

	return table;
}

const idsAt = (table: MemberTable, nowMs: number) => table.candidates('p', nowMs).map(member => member.upstreamId);

t.test('each signal of leaving suffices by itself, and stays in effect for the incarnation', async t => {
	const table = tableOf(4);
	table.received('u0', 'leaving', 10);
	table.applyListedState('h1', 'leaving');
	table.setDrained(['u2']);
	t.strictSame(idsAt(table, 10), ['u3']);
	table.received('u0', 'serving', 20);
	table.applyListedState('h1', 'live');
	t.strictSame(idsAt(table, 20), ['u3'], 'an upstream that was leaving is not live again in the same incarnation');
	table.connected(identityOf(0, 'i2'), 30);
	table.connected(identityOf(1, 'i2'), 30);
	t.strictSame(idsAt(table, 30).toSorted(), ['u0', 'u1', 'u3']);
});

t.test('a few silent upstreams get no new work; if most are silent at once, the entry host assumes that the fault is its own', async t => {
	const table = tableOf(10);
	for (let number = 0; number < 7; number++) {
		table.received(`u${number}`, 'serving', 2000);
	}

	t.equal(idsAt(table, 2500).length, 7);
	t.equal(table.stateOf('u9', 2500), 'silent');
	t.equal(idsAt(table, 9000).length, 10, 'all are silent: the silence is ignored');
});

t.test('a lost connection removes an upstream immediately, and the loss of an old incarnation does not affect the new one', async t => {
	const table = tableOf(2);
	table.disconnected('u0', 'i1');
	t.strictSame(idsAt(table, 1), ['u1']);
	table.connected(identityOf(0, 'i2'), 2);
	table.disconnected('u0', 'i1');
	t.strictSame(idsAt(table, 3).toSorted(), ['u0', 'u1']);
	t.equal(table.stateOf('nobody', 3), 'gone');
	table.disconnected('u1', 'i1');
	table.forgetGone(1000, 5000);
	t.equal(table.all().length, 1);
});
