/**
What changed from one version of the declaration to another. A change of one setting takes a few hundred bytes, whatever
is declared besides; a whole declaration is a patch of none.
*/
import {z} from 'zod';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import {
	limitsSchema, poolSchema, routeSchema, workspaceSchema, type Deployment,
} from './declaration.js';
import {applyListPatch, listPatchSchema, makeListPatch} from './list-patch.js';

const count = z.number().int().nonnegative();

export const deploymentPatchSchema = z.object({
	/** The version that the patch changes; 0 where it holds everything. */
	baseVersion: count,
	version: count,
	routes: listPatchSchema(routeSchema),
	pools: listPatchSchema(poolSchema),
	limits: limitsSchema,
	/** Absent where no request needs a key. */
	workspaces: listPatchSchema(workspaceSchema).optional(),
});
export type DeploymentPatch = z.infer<typeof deploymentPatchSchema>;

/** Why a patch gives no declaration. */
export type PatchFailure = {
	/** `otherBase`: made for another version than is known here; `badRun`: names what that version does not have. */
	readonly code: 'otherBase' | 'badRun';
	readonly message: string;
};

/**
Tells what changed.
@param before - the version that the receiver has; none where it has none that is known here.
@param after - the version that it shall have.
*/
export function makeDeploymentPatch(before: Deployment | undefined, after: Deployment): DeploymentPatch {
	return {
		baseVersion: before?.version ?? 0,
		version: after.version,
		routes: makeListPatch(before?.routes ?? [], after.routes),
		pools: makeListPatch(before?.pools ?? [], after.pools),
		limits: after.limits,
		...(after.workspaces && {workspaces: makeListPatch(before?.workspaces ?? [], after.workspaces)}),
	};
}

/**
Makes the new version.
@param before - the version in force here.
@param patch - of a peer.
*/
export function applyDeploymentPatch(before: Deployment | undefined, patch: DeploymentPatch): Outcome<Deployment, PatchFailure> {
	if (patch.baseVersion !== 0 && patch.baseVersion !== before?.version) {
		return fail({code: 'otherBase', message: `the patch changes version ${patch.baseVersion}, here is ${before?.version ?? 'none'}`});
	}

	const base = patch.baseVersion === 0 ? undefined : before;
	const routes = applyListPatch(base?.routes ?? [], patch.routes);
	const pools = applyListPatch(base?.pools ?? [], patch.pools);
	const workspaces = patch.workspaces && applyListPatch(base?.workspaces ?? [], patch.workspaces);
	if (!routes || !pools || (patch.workspaces && !workspaces)) {
		return fail({code: 'badRun', message: `the patch names what version ${patch.baseVersion} does not have`});
	}

	return ok({
		version: patch.version, routes, pools, limits: patch.limits, ...(workspaces && {workspaces}),
	});
}
