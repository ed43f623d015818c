/**
The difference between two versions of the declaration. A change of one setting takes a few hundred bytes, regardless of the
size of the declaration; a complete declaration is sent as a patch without a base version.
*/
import {z} from 'zod';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import {
	limitsSchema, poolSchema, routeSchema, workspaceSchema, type Deployment,
} from './declaration.js';
import {applyListPatch, listPatchSchema, makeListPatch} from './list-patch.js';

const count = z.number().int().nonnegative();

export const deploymentPatchSchema = z.object({
	/** The version that the patch applies to; 0 if it holds the complete declaration. */
	baseVersion: count,
	version: count,
	routes: listPatchSchema(routeSchema),
	pools: listPatchSchema(poolSchema),
	limits: limitsSchema,
	/** Absent if no request needs a key. */
	workspaces: listPatchSchema(workspaceSchema).optional(),
});
export type DeploymentPatch = z.infer<typeof deploymentPatchSchema>;

/** Why a patch could not be applied. */
export type PatchFailure = {
	/** `otherBase`: the patch applies to another version than the one in force here; `badRun`: it refers to items that its base version does not have. */
	readonly code: 'otherBase' | 'badRun';
	readonly message: string;
};

/**
Makes the patch from one version to another.
@param before - the version that the receiver has; undefined if it has none, or none that is known here.
@param after - the version that the receiver is to have.
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
Applies a patch.
@param before - the version in force here.
@param patch - received from a peer.
@returns the new version, or why the patch could not be applied.
*/
export function applyDeploymentPatch(before: Deployment | undefined, patch: DeploymentPatch): Outcome<Deployment, PatchFailure> {
	if (patch.baseVersion !== 0 && patch.baseVersion !== before?.version) {
		return fail({code: 'otherBase', message: `the patch applies to version ${patch.baseVersion}, but the version in force is ${before?.version ?? 'none'}`});
	}

	const base = patch.baseVersion === 0 ? undefined : before;
	const routes = applyListPatch(base?.routes ?? [], patch.routes);
	const pools = applyListPatch(base?.pools ?? [], patch.pools);
	const workspaces = patch.workspaces && applyListPatch(base?.workspaces ?? [], patch.workspaces);
	if (!routes || !pools || (patch.workspaces && !workspaces)) {
		return fail({code: 'badRun', message: `the patch refers to items that version ${patch.baseVersion} does not have`});
	}

	return ok({
		version: patch.version, routes, pools, limits: patch.limits, ...(workspaces && {workspaces}),
	});
}
