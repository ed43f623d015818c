/** What it counts for that bytes cross between data halls, where that is weighed against time. */

/**
How long a megabyte that crosses between halls counts for, in milliseconds of delay. Links between halls are shared
and dear: on the deployments measured, a crossing megabyte costs what a request of the least kind earns in 50 ms.
*/
export const crossingMsPerMegabyte = 60;
const bytesPerMegabyte = 1_000_000;

/**
Weighs bytes that would cross between halls.
@param bytes - how many.
@returns the delay in milliseconds that is as bad.
*/
export function crossingCostMs(bytes: number): number {
	return (bytes / bytesPerMegabyte) * crossingMsPerMegabyte;
}
