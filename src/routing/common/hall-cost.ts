/** Cost of traffic between data halls, expressed as a delay so that it can be weighed against time. */

/**
Cost of a megabyte that crosses between data halls, in milliseconds of delay. Links between data halls are shared and
expensive: on the measured deployments, a crossing megabyte costs as much as a request of the lowest kind earns in 50 ms; 60 ms is used here.
*/
export const crossingMsPerMegabyte = 60;
const bytesPerMegabyte = 1_000_000;

/**
Computes the cost of bytes that would cross between data halls.
@param bytes - the number of bytes.
@returns the equivalent delay in milliseconds.
*/
export function crossingCostMs(bytes: number): number {
	return (bytes / bytesPerMegabyte) * crossingMsPerMegabyte;
}
