/** Versions that are read one after the other hold mostly the same; sharing it saves memory and tells at once what changed. */
import {isDeepEqual} from '../../base/common/is-deep-equal.js';
import type {Deployment} from './declaration.js';

/**
Puts what did not change since the version before in its place.
@param before - the version in force; none before the first.
@param after - the next version, as read.
@returns the next version; routes, pools and workspaces that are alike are the very objects of the version before.
*/
export function shareUnchanged(before: Deployment | undefined, after: Deployment): Deployment {
	if (!before) {
		return after;
	}

	return {
		...after,
		routes: shareItems(before.routes, after.routes),
		pools: shareItems(before.pools, after.pools),
		...(after.workspaces && {workspaces: shareItems(before.workspaces ?? [], after.workspaces)}),
	};
}

/** An item is looked for under its name: one that was renamed counts as new. */
function shareItems<T extends {readonly name: string}>(before: readonly T[], after: readonly T[]): T[] {
	const known = new Map(before.map(item => [item.name, item]));
	return after.map(item => {
		const same = known.get(item.name);
		return same !== undefined && isDeepEqual(same, item) ? same : item;
	});
}
