import fc from 'fast-check';
import t from 'tap';
import {ClockComparer, type ClockJump} from './clock-comparer.js';

/** Simulates the clocks of a machine; the boot clock has a resolution of 10 ms. */
class SimulatedMachine {
	steadyMs = 100;
	wallMs = 1_700_000_000_000;
	bootMs = 50_000;
	readonly comparer: ClockComparer;

	constructor(private readonly bootSpeed: number | 'none' = 1) {
		this.comparer = ClockComparer.create(this.reading);
	}

	get reading() {
		return {steadyMs: this.steadyMs, wallMs: this.wallMs, bootMs: this.bootSpeed === 'none' ? undefined : Math.floor(this.bootMs / 10) * 10};
	}

	run(ms: number): void {
		this.steadyMs += ms;
		this.wallMs += ms;
		this.bootMs += ms * (this.bootSpeed === 'none' ? 0 : this.bootSpeed);
	}

	suspend(ms: number): void {
		this.wallMs += ms;
		this.bootMs += ms;
	}

	compareClocks(): ClockJump {
		return this.comparer.compare(this.reading);
	}

	/** Compares the clocks once per simulated second, until a consistent boot clock is trusted. */
	trustBootClock(): this {
		for (let second = 0; second < 6; second++) {
			this.run(1000);
			this.compareClocks();
		}

		return this;
	}
}

t.test('a suspension is detected by the boot clock; a jump of the wall clock alone does not count as a suspension, both together do', async t => {
	const machine = new SimulatedMachine().trustBootClock();
	machine.run(500);
	t.notOk(machine.comparer.hasJumped(machine.steadyMs, machine.wallMs));
	machine.suspend(3000);
	t.ok(machine.comparer.hasJumped(machine.steadyMs, machine.wallMs));
	const suspended = machine.compareClocks();
	t.ok(suspended.type === 'slept' && Math.abs(suspended.suspendedMs - 3000) <= 20);
	t.equal(machine.compareClocks().type, 'none');
	machine.wallMs += 2400;
	t.match(machine.compareClocks(), {type: 'wallJump', jumpMs: 2400});
	machine.wallMs -= 2400;
	t.match(machine.compareClocks(), {type: 'wallJump', jumpMs: -2400});
	machine.suspend(5000);
	machine.wallMs -= 1000;
	const both = machine.compareClocks();
	t.ok(both.type === 'slept' && Math.abs(both.suspendedMs - 5000) <= 20);
});

t.test('without a boot clock, or with one of another machine, a jump ahead is unclear and never counted as time', async t => {
	for (const speed of ['none', 0.04, 0.9, 1.2, 5] as const) {
		const machine = new SimulatedMachine(speed).trustBootClock();
		t.notOk(machine.comparer.isBootClockTrusted, String(speed));
		machine.run(700);
		t.equal(machine.compareClocks().type, 'none');
		machine.wallMs += 2000;
		t.match(machine.compareClocks(), {type: 'unclear', jumpMs: 2000});
	}
});

t.test('for any sequence of clock readings, the reported suspensions add up to the time by which the boot clock advanced beyond the monotonic clock', async () => {
	const step = fc.record({runMs: fc.nat(2000), suspendMs: fc.oneof(fc.constant(0), fc.integer({min: 300, max: 20_000})), jumpMs: fc.integer({min: -5000, max: 5000})});
	fc.assert(fc.property(fc.array(step, {maxLength: 40}), steps => {
		const machine = new SimulatedMachine().trustBootClock();
		let suspendedMs = 0;
		let reportedMs = 0;
		for (const {runMs, suspendMs, jumpMs} of steps) {
			machine.run(runMs);
			machine.suspend(suspendMs);
			// A suspension is not detected if a jump back of the wall clock cancels it out, to within the deviation that counts as a jump.
			const hidden = Math.abs(suspendMs + jumpMs) <= 150;
			machine.wallMs += hidden ? 0 : jumpMs;
			suspendedMs += suspendMs;
			const jump = machine.compareClocks();
			reportedMs += jump.type === 'slept' ? jump.suspendedMs : 0;
		}

		return Math.abs(reportedMs - suspendedMs) <= 20 * (steps.length + 1);
	}), {seed: 1, numRuns: 500});
});
