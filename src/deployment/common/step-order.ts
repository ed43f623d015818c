/** Order of the steps of a route by what they read. */
import type {PreparationStep} from './declaration.js';

/**
Returns the numbers of the steps of a route, each after those whose results it reads.
@param steps - the steps, at most as many as a route may have.
@returns the numbers; steps that read results of themselves, directly or through others, or of a step that does not exist are left out.
*/
export function inputsFirst(steps: ReadonlyArray<Pick<PreparationStep, 'after'>>): number[] {
	const ordered: number[] = [];
	/** Whether a step that was visited has its place; false as long as its inputs are visited. */
	const isPlaced = new Map<number, boolean>();
	const visit = (index: number): boolean => {
		if (!isPlaced.has(index) && steps[index]) {
			isPlaced.set(index, false);
			let areInputsPlaced = true;
			for (const input of steps[index].after) {
				areInputsPlaced = visit(input) && areInputsPlaced;
			}

			if (areInputsPlaced) {
				isPlaced.set(index, true);
				ordered.push(index);
			}
		}

		return isPlaced.get(index) === true;
	};

	for (const index of steps.keys()) {
		visit(index);
	}

	return ordered;
}
