/** Creates the plan of a request from the current settings. */
import {hashText} from '../../base/common/hash.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import {agentRules} from '../../request/common/attempt-rules.js';
import type {RequestPlan, StagePlan} from '../../request/common/request-plan.js';
import type {EffectivePolicy} from '../../settings/common/schema.js';
import type {SettingsTree} from '../../settings/common/settings-tree.js';
import type {HttpCall} from '../../wire/common/messages.js';

const defaultSlots = 8;
/** Methods that are idempotent by RFC 9110; calls with other methods are not retried, even if the caller and the settings allow it. */
const idempotentMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE']);
/** Maximum number of targets cached between changes of the settings. */
const maxCachedTargets = 20_000;
/** Requests whose inputs are the same for this many bytes at the start are assumed to share a prompt prefix. */
const prefixBytes = 64;

/** Properties of a caller's request. */
export type PlanRequest = {
	readonly requestId: string;
	readonly workspace: string;
	/** Name of a pipeline, or of a service where `http` is given. */
	readonly target: string;
	readonly deadlineMs?: number;
	/** Whether the caller allows the request to be repeated; the settings may forbid it as well. */
	readonly isRepeatable: boolean;
	readonly hasIdempotencyKey: boolean;
	readonly isStreaming: boolean;
	readonly input: Uint8Array;
	readonly http?: HttpCall;
};

/** Why no plan can be made. */
export type PlanFailure = {readonly code: 'unknownWorkspace' | 'unknownPipeline' | 'unknownService' | 'disabled'; readonly message: string};

/** Settings of one target of one workspace. */
type Target = {readonly policy: EffectivePolicy; readonly stages: readonly StagePlan[]};

/** Creates plans; what it reads from the settings is cached until they change. */
export class Planner {
	static create(tree: SettingsTree): Planner {
		return new Planner(tree);
	}

	private readonly targets = new Map<string, Target>();
	private revision = 0;

	private constructor(private readonly tree: SettingsTree) {}

	/**
	Creates the plan of a request.
	@param request - properties of the request.
	@param nowMs - time of receipt, from which the deadline counts.
	@returns the plan, or why none can be made.
	*/
	plan(request: PlanRequest, nowMs: number): Outcome<RequestPlan, PlanFailure> {
		const target = this.targetOf(request);
		return target.ok ? ok(planOf(this.tree.revision, target.value, request, nowMs)) : target;
	}

	private targetOf(request: PlanRequest): Outcome<Target, PlanFailure> {
		if (this.revision !== this.tree.revision || this.targets.size > maxCachedTargets) {
			this.targets.clear();
			this.revision = this.tree.revision;
		}

		const key = `${request.workspace} ${request.http?.method ?? ''} ${request.target}`;
		const cached = this.targets.get(key);
		if (cached) {
			return ok(cached);
		}

		const target = readTarget(this.tree, request);
		if (target.ok) {
			this.targets.set(key, target.value);
		}

		return target;
	}
}

function readTarget(tree: SettingsTree, request: PlanRequest): Outcome<Target, PlanFailure> {
	if (!tree.workspace(request.workspace)) {
		return fail({code: 'unknownWorkspace', message: `workspace "${request.workspace}" is not declared`});
	}

	const collection = request.http ? 'services' : 'pipelines';
	const path = `/workspaces/${request.workspace}/${collection}/${request.target}`;
	const policy = tree.policyAt(path);
	const stages = request.http ? serviceStages(tree, request, policy) : pipelineStages(tree, request, path);
	if (!stages.ok) {
		return stages;
	}

	return policy.isEnabled
		? ok({policy, stages: stages.value})
		: fail({code: 'disabled', message: `"${request.target}" is disabled for this workspace`});
}

function planOf(settingsRevision: number, {policy, stages}: Target, request: PlanRequest, nowMs: number): RequestPlan {
	const deadlineMs = nowMs + (request.deadlineMs ?? policy.deadlineMs);
	const isRepeatForbidden = !request.isRepeatable || !policy.isRepeatable;
	const isRepeatable = !isRepeatForbidden && (request.http === undefined || idempotentMethods.has(request.http.method));
	return {
		requestId: request.requestId,
		workspace: request.workspace,
		pipeline: request.target,
		stages,
		policy,
		isRepeatable,
		settingsRevision,
		needsClaim: isRepeatForbidden || request.hasIdempotencyKey,
		needsPreparation: false,
		rules: agentRules,
		isStreaming: request.isStreaming,
		startMs: nowMs,
		deadlineMs,
		hardDeadlineMs: deadlineMs + policy.maxLateMs,
		input: request.input,
		...(request.http && {http: request.http}),
		prefixHash: prefixHashOf(request),
		seed: hashText(request.requestId),
	};
}

function pipelineStages(tree: SettingsTree, request: PlanRequest, path: string): Outcome<StagePlan[], PlanFailure> {
	const order = tree.stagesOf(request.workspace, request.target);
	if (!order) {
		return fail({code: 'unknownPipeline', message: `pipeline "${request.target}" is not declared`});
	}

	const stages = order.map((name, index) => {
		const policy = tree.policyAt(`${path}/stages/${name}`);
		const kind = tree.stageKind(request.workspace, request.target, name) ?? 'run';
		return {
			name,
			index,
			kind,
			policy,
			...poolOf(tree, policy),
			key: `${request.target}/${name}/${policy.model ?? ''}/${policy.maxTokens}`,
			budgetKey: `${request.workspace}/${request.target}/${name}`,
		};
	});
	// A disabled stage is omitted; the stages after it get its input.
	return ok(stages.filter(stage => stage.policy.isEnabled).map((stage, index) => ({...stage, index})));
}

function serviceStages(tree: SettingsTree, request: PlanRequest, policy: EffectivePolicy): Outcome<StagePlan[], PlanFailure> {
	if (!tree.hasService(request.workspace, request.target)) {
		return fail({code: 'unknownService', message: `service "${request.target}" is not declared`});
	}

	const key = `service/${request.target}/${request.http!.method}`;
	return ok([{
		name: request.target, index: 0, kind: 'http', policy, ...poolOf(tree, policy), key, budgetKey: `${request.workspace}/${key}`,
	}]);
}

function poolOf(tree: SettingsTree, policy: EffectivePolicy): {pool: string; slots: number} {
	const pool = policy.pool ?? '';
	return {pool, slots: tree.pool(pool)?.slots ?? defaultSlots};
}

function prefixHashOf(request: PlanRequest): number {
	const start = new TextDecoder().decode(request.input.subarray(0, prefixBytes));
	return start.length < prefixBytes ? 0 : hashText(`${request.target} ${start}`);
}
