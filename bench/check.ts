/** Checks the saved results against the bounds in bench/bounds.jsonc. */
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {z} from 'zod';
import {checkDocument, readJsonc} from '../src/base/common/jsonc.js';
import {aggregateRounds, readResults, type AggregatedRun} from './report.js';

const boundsSchema = z.strictObject({
	choose730To8: z.number(), hopShare: z.number(), attainmentToBest: z.number(), costToCheapest: z.number(),
});
type Bounds = z.infer<typeof boundsSchema>;

function readBounds(): Bounds {
	const file = fileURLToPath(new URL('../../bench/bounds.jsonc', import.meta.url));
	const document = readJsonc(readFileSync(file), file);
	const bounds = document.ok ? checkDocument(document.value, boundsSchema) : document;
	if (!bounds.ok) {
		throw new Error(JSON.stringify(bounds.error));
	}

	return bounds.value;
}

function checkAttainment(bounds: Bounds, runs: readonly AggregatedRun[]): string[] {
	const productRuns = runs.filter(run => run.policy === 'pumicehatch');
	return productRuns.flatMap(run => {
		const others = runs.filter(other => other.policy !== run.policy && other.scenario === run.scenario && other.deployment === run.deployment);
		if (others.length === 0) {
			return [];
		}

		const best = Math.max(...others.map(other => other.attainment));
		const cheapest = Math.min(...others.map(other => other.costMs));
		const where = `${run.deployment}, ${run.scenario}`;
		const found: string[] = [];
		if (run.attainment < best * bounds.attainmentToBest) {
			found.push(`${where}: attainment ${run.attainment.toFixed(3)} against ${best.toFixed(3)}`);
		}

		if (run.costMs > cheapest * bounds.costToCheapest) {
			found.push(`${where}: cost ${run.costMs.toFixed(0)} ms against ${cheapest.toFixed(0)} ms`);
		}

		return found;
	});
}

/**
Checks the results saved last.
@returns a description of each violated bound.
@throws Error if the file of the bounds is invalid.
*/
export function checkResults(): string[] {
	const bounds = readBounds();
	const decisions = readResults('decisions') ?? [];
	const timeOf = (count: number) => decisions.find(item => item.name === `choose one of ${count} upstreams`)?.microseconds ?? Number.NaN;
	const violations: string[] = [];
	if (timeOf(730) / timeOf(8) > bounds.choose730To8) {
		violations.push(`choosing among 730 takes ${(timeOf(730) / timeOf(8)).toFixed(1)} times choosing among 8`);
	}

	const hop = readResults('hop');
	if (hop && hop.addedShare > bounds.hopShare) {
		violations.push(`the hop adds ${(hop.addedShare * 100).toFixed(1)}% of a 20 ms stage`);
	}

	return [...violations, ...checkAttainment(bounds, aggregateRounds(readResults('attainment') ?? []))];
}
