/** The settings in force on one host: nodes by path, with inheritance of policy fields. */
import {z} from 'zod';
import {
	policyDefaults, policyFields, type EffectivePolicy, type NodeFields, type OperatorNode, type PipelineNode,
	type Policy, type PoolNode, type StageNode, type WorkspaceNode,
} from './schema.js';
import {fleetPath} from './node-path.js';
import type {Change} from './change.js';

/** The own fields of a node and the revision that last wrote them. */
export type SettingsNode = {readonly fields: NodeFields; readonly revision: number};

export const snapshotSchema = z.strictObject({
	revision: z.number().int().positive(),
	nodes: z.array(z.strictObject({
		path: z.string(),
		fields: z.record(z.string(), z.unknown()),
		revision: z.number().int().positive(),
	})),
});
/** All nodes at a revision, as sent to a host that starts. */
export type SettingsSnapshot = z.infer<typeof snapshotSchema>;

/** The value of a field and the path of the node that it comes from; `default` marks built-in values. */
export type EffectiveField = {readonly field: string; readonly value: unknown; readonly from: string};

/** Holds the nodes of one revision. The revision never decreases. */
export class SettingsTree {
	static create(): SettingsTree {
		return new SettingsTree();
	}

	private nodes = new Map<string, SettingsNode>();
	private currentRevision = 0;

	get revision(): number {
		return this.currentRevision;
	}

	get paths(): string[] {
		return [...this.nodes.keys()];
	}

	/**
	Looks up a node.
	@param path - the node's path.
	@returns its own fields and revision, or undefined if there is no such node.
	*/
	get(path: string): SettingsNode | undefined {
		return this.nodes.get(path);
	}

	/**
	Replaces all nodes by those of a snapshot, if the snapshot is newer.
	@param snapshot - all nodes at a revision.
	@returns whether the snapshot was newer and is now in force.
	*/
	restore(snapshot: SettingsSnapshot): boolean {
		if (snapshot.revision <= this.currentRevision) {
			return false;
		}

		this.nodes = new Map(snapshot.nodes.map(({path, fields, revision}) => [path, {fields, revision}]));
		this.currentRevision = snapshot.revision;
		return true;
	}

	/**
	Applies a change if it directly follows the current revision.
	@param change - an accepted change.
	@returns whether it was the next change and is now in force.
	*/
	apply(change: Change): boolean {
		if (change.revision !== this.currentRevision + 1) {
			return false;
		}

		for (const edit of change.edits) {
			if (edit.after === undefined) {
				this.nodes.delete(edit.path);
			} else {
				this.nodes.set(edit.path, {fields: edit.after, revision: change.revision});
			}
		}

		this.currentRevision = change.revision;
		return true;
	}

	/** @returns all nodes with the current revision, for a host that starts. */
	snapshot(): SettingsSnapshot {
		return {
			revision: this.currentRevision,
			nodes: [...this.nodes].map(([path, node]) => ({path, fields: node.fields, revision: node.revision})),
		};
	}

	pool(name: string): PoolNode | undefined {
		return this.fieldsAt<PoolNode>(`/pools/${name}`);
	}

	operator(name: string): OperatorNode | undefined {
		return this.fieldsAt<OperatorNode>(`/operators/${name}`);
	}

	workspace(name: string): WorkspaceNode | undefined {
		return this.fieldsAt<WorkspaceNode>(`/workspaces/${name}`);
	}

	/**
	Returns the stages of a pipeline in a workspace. The pipeline of the workspace takes precedence over that of the fleet.
	@param workspace - name of the workspace.
	@param pipeline - name of the pipeline.
	@returns the stage names in order, or undefined if neither of the two nodes sets `order`.
	*/
	stagesOf(workspace: string, pipeline: string): string[] | undefined {
		const own = this.fieldsAt<PipelineNode>(`/workspaces/${workspace}/pipelines/${pipeline}`);
		const shared = this.fieldsAt<PipelineNode>(`/pipelines/${pipeline}`);
		return own?.order ?? shared?.order;
	}

	stageKind(workspace: string, pipeline: string, stage: string): StageNode['kind'] {
		const stagePath = `/pipelines/${pipeline}/stages/${stage}`;
		const own = this.fieldsAt<StageNode>(`/workspaces/${workspace}${stagePath}`);
		return own?.kind ?? this.fieldsAt<StageNode>(stagePath)?.kind;
	}

	hasService(workspace: string, service: string): boolean {
		return this.nodes.has(`/services/${service}`) || this.nodes.has(`/workspaces/${workspace}/services/${service}`);
	}

	/**
	Computes the effective policy of a path, after inheritance.
	@param path - a node's path; the node need not exist.
	@returns all policy fields that have a value.
	*/
	policyAt(path: string): EffectivePolicy {
		const policy: EffectivePolicy = {...policyDefaults};
		for (const from of inheritanceChain(path).toReversed()) {
			Object.assign(policy, this.ownPolicyAt(from));
		}

		return policy;
	}

	/**
	Lists the effective policy fields of a path with the origin of each value.
	@param path - a node's path; the node need not exist.
	@returns the fields, ordered by name.
	*/
	effectiveFieldsAt(path: string): EffectiveField[] {
		const fields = new Map<string, EffectiveField>();
		for (const [field, value] of Object.entries(policyDefaults)) {
			fields.set(field, {field, value, from: 'default'});
		}

		for (const from of inheritanceChain(path).toReversed()) {
			for (const [field, value] of Object.entries(this.ownPolicyAt(from))) {
				fields.set(field, {field, value, from});
			}
		}

		return [...fields.values()].toSorted((a, b) => a.field.localeCompare(b.field));
	}

	private ownPolicyAt(path: string): Policy {
		const fields = this.fieldsAt<NodeFields>(path) ?? {};
		return Object.fromEntries(Object.entries(fields).filter(([key]) => Object.hasOwn(policyFields, key)));
	}

	private fieldsAt<T>(path: string): T | undefined {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- nodes are checked against their schema before a change is accepted
		return this.nodes.get(path)?.fields as T | undefined;
	}
}

/**
Lists the nodes that a path inherits from, in order of precedence: deeper nodes before higher ones and,
at the same depth, the node of the workspace before that of the fleet.
@param path - a node's path.
@returns the paths, starting with the path itself.
*/
export function inheritanceChain(path: string): string[] {
	const parts = path.split('/').filter(part => part !== '');
	const isInWorkspace = parts[0] === 'workspaces' && parts.length >= 2;
	const workspacePath = isInWorkspace ? `/${parts.slice(0, 2).join('/')}` : '';
	const relativeParts = isInWorkspace ? parts.slice(2) : parts;
	const result: string[] = [];
	for (let {length} = relativeParts; length > 0; length -= 2) {
		const relativePath = `/${relativeParts.slice(0, length).join('/')}`;
		if (isInWorkspace) {
			result.push(`${workspacePath}${relativePath}`);
		}

		result.push(relativePath);
	}

	if (isInWorkspace) {
		result.push(workspacePath);
	}

	result.push(fleetPath);
	return result;
}
