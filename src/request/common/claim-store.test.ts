import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {SeededRandom} from '../../base/common/random.js';
import {MemoryTable} from '../../standins/common/memory-table.js';
import {claimKey, writerOf, type Claim} from './claim.js';
import {ClaimStore, type GrantedClaim} from './claim-store.js';
import {ClaimSweeper, keptClaimMs} from './claim-sweeper.js';

const spacingMs = 25;

function setUp() {
	const clock = ManualClock.create();
	const table = MemoryTable.create();
	const storeOf = (writer: string) => ClaimStore.create({
		table, clock, writer, spacingMs,
	});
	const claimOf = (writer: string, requestId: string): Claim => ({
		writer, requestId, fingerprint: 1, state: 'claimed', claimedAtMs: clock.wallMs(), endsByMs: clock.wallMs() + 1000,
	});
	return {
		clock, table, storeOf, claimOf,
	};
}

/** Lets time and promises go on together. */
async function pass(clock: ManualClock, byMs: number): Promise<void> {
	for (let passedMs = 0; passedMs < byMs; passedMs += spacingMs) {
		clock.advance(spacingMs);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

/** Claims a key that is free. */
async function claimFree(clock: ManualClock, store: ClaimStore, claim: Claim, key = 'k'): Promise<GrantedClaim> {
	const claimed = store.claim(claimKey('w', key), claim);
	await pass(clock, 100);
	const granted = await claimed;
	if (!granted.ok) {
		throw new Error(`The claim of ${key} was not granted: ${granted.error.code}.`);
	}

	return granted.value;
}

async function isCompleted(table: MemoryTable): Promise<boolean> {
	const rows = await table.read([claimKey('w', 'k')]);
	return rows.ok && rows.value.at(0)?.value.includes('"state":"completed"') === true;
}

t.test('claims that come together share a transaction, and a taken one holds up no other', async t => {
	const {clock, table, storeOf, claimOf} = setUp();
	const store = storeOf('a');
	await store.claim(claimKey('w', 'k0'), claimOf('a', 'r0'));
	await pass(clock, 100);
	const results = Promise.all(Array.from({length: 50}, async (_, number) => store.claim(claimKey('w', `k${number}`), claimOf('a', `again-${number}`))));
	await pass(clock, 500);
	const granted = (await results).filter(result => result.ok);
	t.equal(granted.length, 49);
	t.ok(table.writeCount <= 5, `${table.writeCount} transactions for 51 claims`);
});

t.test('of two entries that claim a key at once, one gets it and the other learns of it', async t => {
	const {clock, storeOf, claimOf} = setUp();
	const results = Promise.all(['a', 'b'].map(async writer => storeOf(writer).claim(claimKey('w', 'k'), claimOf(writer, `r-${writer}`))));
	await pass(clock, 100);
	const [first, second] = await results;
	t.ok(first.ok);
	t.match(second, {ok: false, error: {code: 'taken', claim: {requestId: 'r-a'}}});
});

t.test('of two copies of a request at one entry in the same millisecond, one gets the key', async t => {
	const {clock, storeOf, claimOf} = setUp();
	const store = storeOf('a');
	const results = Promise.all(['t1', 't2'].map(async tryId => store.claim(claimKey('w', 'k'), claimOf(writerOf('a', tryId), 'same-id'))));
	await pass(clock, 200);
	t.equal((await results).filter(result => result.ok).length, 1);
});

t.test('a claim that landed although its answer was lost is given back when the request was refused', async t => {
	const {clock, table, storeOf, claimOf} = setUp();
	table.crashAfterWrite = true;
	const lost = storeOf('a').claim(claimKey('w', 'k'), claimOf('a', 'r1'));
	await pass(clock, 100);
	t.match(await lost, {ok: false, error: {code: 'unavailable'}});
	table.isDown = false;
	await pass(clock, 3000);
	const again = storeOf('b').claim(claimKey('w', 'k'), claimOf('b', 'r2'));
	await pass(clock, 200);
	t.equal((await again).ok, true, 'nothing ran under the key, so it is free');
});

t.test('an outcome that is known is not made unknown by a write that was held up', async t => {
	const {clock, table, storeOf, claimOf} = setUp();
	const store = storeOf('a');
	const granted = await claimFree(clock, store, claimOf('a', 'r1'));
	await Promise.all([store.settle(granted, 'completed'), pass(clock, 500)]);
	await Promise.all([store.settle(granted, 'unknown'), pass(clock, 500)]);
	t.ok(await isCompleted(table));
});

t.test('old claims are forgotten, young ones are not', async t => {
	const {clock, table, storeOf, claimOf} = setUp();
	const store = storeOf('a');
	await claimFree(clock, store, claimOf('a', 'r1'), 'old');
	clock.advance(keptClaimMs + 2000);
	await claimFree(clock, store, claimOf('a', 'r2'), 'young');
	const sweeper = ClaimSweeper.create({
		table, clock, random: SeededRandom.create(1), isHolder: () => true,
	});
	await sweeper.sweep();
	const rows = await table.scan({prefix: 'claims/', limit: 10});
	t.match(rows, {ok: true, value: [{key: claimKey('w', 'young')}]});
	t.equal(rows.ok ? rows.value.length : 0, 1);
	sweeper.dispose();
});

t.test('an outcome that waits for the store while its host sleeps is written once it wakes', async t => {
	const {clock, table, storeOf, claimOf} = setUp();
	const store = storeOf('a');
	const granted = await claimFree(clock, store, claimOf('a', 'r1'));
	table.isDown = true;
	const settled = store.settle(granted, 'completed');
	await pass(clock, 500);
	clock.suspend(10_000);
	t.notOk(store.isSettled);
	table.isDown = false;
	await pass(clock, 500);
	t.ok(await settled);
	t.ok(await isCompleted(table));
});

t.test('a claim that landed although its answer was lost is given back by a host that slept meanwhile', async t => {
	const {clock, table, storeOf, claimOf} = setUp();
	table.crashAfterWrite = true;
	const lost = storeOf('a').claim(claimKey('w', 'k'), claimOf('a', 'r1'));
	await pass(clock, 100);
	t.match(await lost, {ok: false, error: {code: 'unavailable'}});
	clock.suspend(10_000);
	table.isDown = false;
	await pass(clock, 3000);
	const again = storeOf('b').claim(claimKey('w', 'k'), claimOf('b', 'r2'));
	await pass(clock, 200);
	t.equal((await again).ok, true, 'nothing ran under the key, so it is free');
});

t.test('a sweep that its host slept through deletes no claim that was changed meanwhile', async t => {
	const {clock, table, storeOf, claimOf} = setUp();
	const store = storeOf('a');
	const granted = await claimFree(clock, store, claimOf('a', 'r1'));
	clock.suspend(keptClaimMs + 2000);
	const sweeper = ClaimSweeper.create({
		table: {
			scan: async range => table.scan(range),
			async transact(transaction) {
				clock.suspend(60_000);
				await Promise.all([store.settle(granted, 'completed'), pass(clock, 500)]);
				return table.transact(transaction);
			},
			read: async keys => table.read(keys),
		},
		clock,
		random: SeededRandom.create(1),
		isHolder: () => false,
	});
	await sweeper.sweep();
	sweeper.dispose();
	t.ok(await isCompleted(table));
});
