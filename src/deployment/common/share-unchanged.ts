/** Shares unchanged objects between successive versions, which are mostly equal; this saves memory and shows what changed by identity alone. */
import {isDeepEqual} from '../../base/common/is-deep-equal.js';
import type {Deployment} from './declaration.js';

/**
Reuses the objects of the previous version that did not change.
@param before - the version in force; undefined before the first.
@param after - the next version, as read.
@returns the next version, in which equal routes, pools and workspaces are the objects of the previous version.
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

/** Matches items by name: a renamed item counts as new. */
function shareItems<T extends {readonly name: string}>(before: readonly T[], after: readonly T[]): T[] {
	const known = new Map(before.map(item => [item.name, item]));
	return after.map(item => {
		const same = known.get(item.name);
		return same !== undefined && isDeepEqual(same, item) ? same : item;
	});
}
