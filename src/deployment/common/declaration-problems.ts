/** Why parts of a declaration can't be used although their values have the right types; the other parts can. */
import {
	maxRank, maxStepInputs, maxSteps, type Route, type WorkspaceDeclaration,
} from './declaration.js';
import {inputsFirst} from './step-order.js';

/** Names of pools, routes and workspaces are sent between hosts. */
const maxNameLength = 200;
/** Text that arrives unchanged as the value of a header, as RFC 9110 defines it: no control characters, and no space at its ends. */
const headerValuePattern = /^[\u{21}-\u{7E}\u{A0}-\u{FF}](?:[\t\u{20}-\u{7E}\u{A0}-\u{FF}]*[\u{21}-\u{7E}\u{A0}-\u{FF}])?$/v;

/**
Returns why requests of a route can't be served.
@param route - the route.
@returns the reason; undefined if the route can be used.
*/
export function routeProblemOf({problem, name, rank, steps}: Route): string | undefined {
	if (problem !== undefined) {
		return problem;
	}

	if (rank > maxRank) {
		return `its rank is ${rank}, and may be ${maxRank} at most`;
	}

	if (steps.length > 0 && name.length > maxNameLength) {
		return `it has steps, and its name has more than ${maxNameLength} characters`;
	}

	return stepsProblemOf(steps);
}

/**
Returns why requests of a workspace can't be served: upstreams learn its name from a header.
@param workspace - the workspace.
@returns the reason; undefined if the workspace can be used.
*/
export function workspaceProblemOf({problem, name, rank = 0}: WorkspaceDeclaration): string | undefined {
	if (problem !== undefined) {
		return problem;
	}

	if (rank > maxRank) {
		return `its rank is ${rank}, and may be ${maxRank} at most`;
	}

	if (name.length > maxNameLength) {
		return `its name has more than ${maxNameLength} characters`;
	}

	return headerValuePattern.test(name) ? undefined : 'its name can\'t be sent unchanged in a header';
}

function stepsProblemOf(steps: Route['steps']): string | undefined {
	if (steps.length > maxSteps) {
		return `it has ${steps.length} steps, and may have ${maxSteps} at most`;
	}

	let inputCount = 0;
	for (const [index, {pool, after}] of steps.entries()) {
		const missing = after.find(input => input >= steps.length);
		if (missing !== undefined) {
			return `step ${index} reads results of step ${missing}, which does not exist`;
		}

		if (pool === '' || pool.length > maxNameLength) {
			return `step ${index} names a pool with no or with more than ${maxNameLength} characters`;
		}

		inputCount += after.length;
	}

	if (inputCount > maxStepInputs) {
		return `its steps read results of ${inputCount} others, and may read ${maxStepInputs} at most`;
	}

	const placed = new Set(inputsFirst(steps));
	const circular = steps.findIndex((_, index) => !placed.has(index));
	return circular === -1 ? undefined : `step ${circular} reads results that depend on its own`;
}
