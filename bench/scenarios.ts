/** What happens to a fleet while it is measured. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {LocalFleet} from '../examples/local-fleet.js';

/** A scenario: how much load comes, and what goes wrong. */
export type Scenario = {
	readonly name: string;
	/** Load against the steady one, at a share of the whole time. */
	readonly loadFactorAt: (share: number) => number;
	/** Brings the trouble about; called when the load starts. */
	readonly injectFaults: (fleet: LocalFleet, durationMs: number) => Promise<void> | void;
	/** Requests share prompt prefixes. */
	readonly isSharingPrefixes?: boolean;
};

const steady = () => 1;

export const scenarios: readonly Scenario[] = [
	{name: 'steady', loadFactorAt: steady, injectFaults() {/* Nothing goes wrong. */}},
	{name: 'burst of 3×', loadFactorAt: share => (share > 0.3 && share < 0.6 ? 3 : 1), injectFaults() {/* The load is the trouble. */}},
	{
		name: 'one slow engine',
		loadFactorAt: steady,
		injectFaults(fleet) {
			fleet.poolOf('models')[0].engine!.faults.slowFactor = 5;
		},
	},
	{
		name: 'one slow retriever',
		loadFactorAt: steady,
		injectFaults(fleet) {
			fleet.poolOf('retrievers')[0].service!.faults.slowFactor = 10;
		},
	},
	{
		name: 'one failing engine',
		loadFactorAt: steady,
		injectFaults(fleet) {
			fleet.poolOf('models')[0].engine!.faults.isFailing = true;
		},
	},
	{
		name: 'lagging reports, burst',
		loadFactorAt: share => (share > 0.3 && share < 0.6 ? 2 : 1),
		injectFaults(fleet) {
			for (const upstream of fleet.poolOf('models')) {
				upstream.engine!.faults.reportLagMs = 1500;
			}
		},
	},
	{
		name: 'one slow service without reports',
		loadFactorAt: steady,
		injectFaults(fleet) {
			const quiet = fleet.poolOf('stock').length > 0 ? 'stock' : 'orders';
			fleet.poolOf(quiet)[0].service!.faults.slowFactor = 20;
		},
	},
	{
		name: 'shared prefixes', loadFactorAt: steady, isSharingPrefixes: true, injectFaults() {/* Nothing goes wrong. */},
	},
	{
		name: 'an agent killed',
		loadFactorAt: steady,
		async injectFaults(fleet, durationMs) {
			await sleep(durationMs * 0.3);
			fleet.poolOf('models')[0].daemon.lifecycle.stopNow();
		},
	},
	{
		name: 'the store out',
		loadFactorAt: steady,
		async injectFaults(fleet, durationMs) {
			await sleep(durationMs * 0.3);
			fleet.platform.table.isDown = true;
			await sleep(durationMs * 0.3);
			fleet.platform.table.isDown = false;
		},
	},
];
