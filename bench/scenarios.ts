/** Scenarios in which a fleet is measured. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {LocalFleet} from '../examples/local-fleet.js';

/** A scenario: the load over time, and the faults that are injected. */
export type Scenario = {
	readonly name: string;
	/** Returns the load relative to the steady rate, at a point in time given as a share of the duration. */
	readonly loadFactorAt: (share: number) => number;
	/** Injects the faults; called when the load starts. */
	readonly injectFaults: (fleet: LocalFleet, durationMs: number) => Promise<void> | void;
	/** Whether requests share prompt prefixes. */
	readonly isSharingPrefixes?: boolean;
};

const steady = () => 1;

export const scenarios: readonly Scenario[] = [
	{name: 'steady', loadFactorAt: steady, injectFaults() {/* No faults. */}},
	{name: 'burst of 3×', loadFactorAt: share => (share > 0.3 && share < 0.6 ? 3 : 1), injectFaults() {/* No faults besides the load. */}},
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
		name: 'shared prefixes', loadFactorAt: steady, isSharingPrefixes: true, injectFaults() {/* No faults. */},
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
