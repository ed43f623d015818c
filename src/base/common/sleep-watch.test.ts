import fc from 'fast-check';
import t from 'tap';
import {SleepWatch, type JumpVerdict} from './sleep-watch.js';

/** A machine's clocks, read once a second; the boot clock in steps of 10 ms. */
class Machine {
	steadyMs = 100;
	wallMs = 1_700_000_000_000;
	bootMs = 50_000;
	readonly watch: SleepWatch;

	constructor(private readonly bootSpeed: number | 'none' = 1) {
		this.watch = SleepWatch.create(this.reading);
	}

	get reading() {
		return {steadyMs: this.steadyMs, wallMs: this.wallMs, bootMs: this.bootSpeed === 'none' ? undefined : Math.floor(this.bootMs / 10) * 10};
	}

	run(ms: number): void {
		this.steadyMs += ms;
		this.wallMs += ms;
		this.bootMs += ms * (this.bootSpeed === 'none' ? 0 : this.bootSpeed);
	}

	sleep(ms: number): void {
		this.wallMs += ms;
		this.bootMs += ms;
	}

	look(): JumpVerdict {
		return this.watch.compare(this.reading);
	}

	/** Looks as often as a boot clock needs to be believed. */
	settle(): this {
		for (let second = 0; second < 6; second++) {
			this.run(1000);
			this.look();
		}

		return this;
	}
}

t.test('a sleep is told by the boot clock, a jump of the time of day alone is none, both together are a sleep', async t => {
	const machine = new Machine().settle();
	machine.run(500);
	t.notOk(machine.watch.isJump(machine.steadyMs, machine.wallMs));
	machine.sleep(3000);
	t.ok(machine.watch.isJump(machine.steadyMs, machine.wallMs));
	const slept = machine.look();
	t.ok(slept.type === 'slept' && Math.abs(slept.sleptMs - 3000) <= 20);
	t.equal(machine.look().type, 'none');
	machine.wallMs += 2400;
	t.match(machine.look(), {type: 'wallJump', jumpMs: 2400});
	machine.wallMs -= 2400;
	t.match(machine.look(), {type: 'wallJump', jumpMs: -2400});
	machine.sleep(5000);
	machine.wallMs -= 1000;
	const both = machine.look();
	t.ok(both.type === 'slept' && Math.abs(both.sleptMs - 5000) <= 20);
});

t.test('without a boot clock, or with one that is another machine\'s, a jump ahead is unclear and never counted as time', async t => {
	for (const speed of ['none', 0.04, 0.9, 1.2, 5] as const) {
		const machine = new Machine(speed).settle();
		t.notOk(machine.watch.isBootBelieved, String(speed));
		machine.run(700);
		t.equal(machine.look().type, 'none');
		machine.wallMs += 2000;
		t.match(machine.look(), {type: 'unclear', jumpMs: 2000});
	}
});

t.test('whatever the clocks do, only what the boot clock counted beyond the steady one is sleep', async () => {
	const step = fc.record({runMs: fc.nat(2000), sleepMs: fc.oneof(fc.constant(0), fc.integer({min: 300, max: 20_000})), jumpMs: fc.integer({min: -5000, max: 5000})});
	fc.assert(fc.property(fc.array(step, {maxLength: 40}), steps => {
		const machine = new Machine().settle();
		let sleptMs = 0;
		let toldMs = 0;
		for (const {runMs, sleepMs, jumpMs} of steps) {
			machine.run(runMs);
			machine.sleep(sleepMs);
			// One that hides the sleep to within the bound of a jump is not told.
			const hidden = Math.abs(sleepMs + jumpMs) <= 150;
			machine.wallMs += hidden ? 0 : jumpMs;
			sleptMs += sleepMs;
			const verdict = machine.look();
			toldMs += verdict.type === 'slept' ? verdict.sleptMs : 0;
		}

		return Math.abs(toldMs - sleptMs) <= 20 * (steps.length + 1);
	}), {seed: 1, numRuns: 500});
});
