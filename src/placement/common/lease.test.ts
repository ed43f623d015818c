import fc from 'fast-check';
import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {MemoryTable} from '../../standins/common/memory-table.js';
import {PlacementLease, leaseMs} from './lease.js';

const holderCount = 3;
const index = fc.nat(holderCount - 1);

type Step = {readonly kind: 'tick' | 'advance' | 'down' | 'up' | 'loseAnswer' | 'loseRequest' | 'release'; readonly holder: number; readonly byMs: number};

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
	kind: fc.constantFrom('tick', 'tick', 'tick', 'advance', 'advance', 'down', 'up', 'up', 'loseAnswer', 'loseRequest', 'release'),
	holder: index,
	byMs: fc.integer({min: 1, max: leaseMs}),
});

function makeHolders(clock: ManualClock, table: MemoryTable): PlacementLease[] {
	return Array.from({length: holderCount}, (_, number) => PlacementLease.create(table, clock, `h${number}`));
}

async function run(steps: readonly Step[]): Promise<void> {
	const clock = ManualClock.create();
	const table = MemoryTable.create();
	const holders = makeHolders(clock, table);
	let highest = 0;
	for (const {kind, holder, byMs} of steps) {
		switch (kind) {
			case 'tick': {
				await holders[holder].tick();

				break;
			}

			case 'advance': {
				clock.advance(byMs);

				break;
			}

			case 'release': {
				await holders[holder].release();

				break;
			}

			case 'loseAnswer': {
				table.responsesToLose = 1;

				break;
			}

			case 'loseRequest': {
				table.requestsToLose = 1;

				break;
			}

			default: {
				table.isDown = kind === 'down';
			}
		}

		const epochs = holders.flatMap(lease => lease.epoch ?? []);
		if (epochs.length > 1) {
			throw new Error(`${epochs.length} holders at once, epochs ${epochs.join(', ')}`);
		}

		if (epochs.length === 1 && epochs[0] < highest) {
			throw new Error(`epoch ${epochs[0]} after ${highest}`);
		}

		highest = Math.max(highest, epochs.at(0) ?? 0);
	}
}

t.test('two hosts never hold the lease at once, and epochs only rise', async t => {
	const details = await fc.check(fc.asyncProperty(fc.array(stepArbitrary, {maxLength: 120, size: 'max'}), run), {seed: 20_261_202, numRuns: 500});
	t.equal(details.failed, false, String(details.errorInstance));
});

t.test('a holder that was suspended no longer holds the lease, and the next holder has a higher epoch', async t => {
	const clock = ManualClock.create();
	const [first, second] = makeHolders(clock, MemoryTable.create());
	await first.tick();
	t.equal(first.epoch, 1);
	await second.tick();
	clock.advance(leaseMs);
	t.equal(first.epoch, undefined);
	await second.tick();
	t.equal(second.epoch, 2);
	await first.tick();
	t.equal(first.epoch, undefined);
});

t.test('a released lease can be taken at once', async t => {
	const clock = ManualClock.create();
	const [first, second] = makeHolders(clock, MemoryTable.create());
	await first.tick();
	await first.release();
	await second.tick();
	t.equal(second.epoch, 2);
});
