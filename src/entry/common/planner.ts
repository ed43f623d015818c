/** Makes the plan of a request out of the settings in force. */
import {hashText} from '../../base/common/hash.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import {agentRules} from '../../request/common/attempt-rules.js';
import type {RequestPlan, StagePlan} from '../../request/common/request-plan.js';
import type {EffectivePolicy} from '../../settings/common/schema.js';
import type {SettingsTree} from '../../settings/common/settings-tree.js';
import type {HttpCall} from '../../wire/common/messages.js';

const defaultSlots = 8;
/** Calls that the protocol allows to repeat (RFC 9110); others are not retried, marked or not. */
const idempotentMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE']);
/** Targets kept between changes of the settings. */
const mostTargets = 20_000;
/** Start of the input by which requests are taken to share a prompt prefix. */
const prefixBytes = 64;

/** What a caller asks for. */
export type Ask = {
	readonly requestId: string;
	readonly workspace: string;
	/** Name of a pipeline, or of a service where `http` is given. */
	readonly target: string;
	readonly deadlineMs?: number;
	/** The caller's own mark; the settings may forbid repeating as well. */
	readonly isRepeatable: boolean;
	readonly hasKey: boolean;
	readonly isStreaming: boolean;
	readonly input: Uint8Array;
	readonly http?: HttpCall;
};

/** Why there is no plan. */
export type PlanFailure = {readonly code: 'unknownWorkspace' | 'unknownPipeline' | 'unknownService' | 'disabled'; readonly message: string};

/** What the settings say of one target of one workspace. */
type Target = {readonly policy: EffectivePolicy; readonly stages: readonly StagePlan[]};

/** Makes plans; what it reads of the settings is kept until they change. */
export class Planner {
	static create(tree: SettingsTree): Planner {
		return new Planner(tree);
	}

	private readonly targets = new Map<string, Target>();
	private revision = 0;

	private constructor(private readonly tree: SettingsTree) {}

	/**
	Makes a plan.
	@param ask - what is asked for.
	@param nowMs - the time of receipt; the deadline counts from here.
	@returns the plan, or why there is none.
	*/
	plan(ask: Ask, nowMs: number): Outcome<RequestPlan, PlanFailure> {
		const target = this.targetOf(ask);
		return target.ok ? ok(planOf(this.tree.revision, target.value, ask, nowMs)) : target;
	}

	private targetOf(ask: Ask): Outcome<Target, PlanFailure> {
		if (this.revision !== this.tree.revision || this.targets.size > mostTargets) {
			this.targets.clear();
			this.revision = this.tree.revision;
		}

		const key = `${ask.workspace} ${ask.http?.method ?? ''} ${ask.target}`;
		const known = this.targets.get(key);
		if (known) {
			return ok(known);
		}

		const target = readTarget(this.tree, ask);
		if (target.ok) {
			this.targets.set(key, target.value);
		}

		return target;
	}
}

function readTarget(tree: SettingsTree, ask: Ask): Outcome<Target, PlanFailure> {
	if (!tree.workspace(ask.workspace)) {
		return fail({code: 'unknownWorkspace', message: `workspace "${ask.workspace}" is not declared`});
	}

	const collection = ask.http ? 'services' : 'pipelines';
	const path = `/workspaces/${ask.workspace}/${collection}/${ask.target}`;
	const policy = tree.policyAt(path);
	const stages = ask.http ? serviceStages(tree, ask, policy) : pipelineStages(tree, ask, path);
	if (!stages.ok) {
		return stages;
	}

	return policy.isEnabled
		? ok({policy, stages: stages.value})
		: fail({code: 'disabled', message: `"${ask.target}" is disabled for this workspace`});
}

function planOf(settingsRevision: number, {policy, stages}: Target, ask: Ask, nowMs: number): RequestPlan {
	const deadlineMs = nowMs + (ask.deadlineMs ?? policy.deadlineMs);
	const isMarked = !ask.isRepeatable || !policy.isRepeatable;
	const isRepeatable = !isMarked && (ask.http === undefined || idempotentMethods.has(ask.http.method));
	return {
		requestId: ask.requestId,
		workspace: ask.workspace,
		pipeline: ask.target,
		stages,
		policy,
		isRepeatable,
		settingsRevision,
		needsClaim: isMarked || ask.hasKey,
		needsPreparation: false,
		rules: agentRules,
		isStreaming: ask.isStreaming,
		startMs: nowMs,
		deadlineMs,
		hardDeadlineMs: deadlineMs + policy.maxLateMs,
		input: ask.input,
		...(ask.http && {http: ask.http}),
		prefixHash: prefixHashOf(ask),
		seed: hashText(ask.requestId),
	};
}

function pipelineStages(tree: SettingsTree, ask: Ask, path: string): Outcome<StagePlan[], PlanFailure> {
	const order = tree.stagesOf(ask.workspace, ask.target);
	if (!order) {
		return fail({code: 'unknownPipeline', message: `pipeline "${ask.target}" is not declared`});
	}

	const stages = order.map((name, index) => {
		const policy = tree.policyAt(`${path}/stages/${name}`);
		const kind = tree.stageKind(ask.workspace, ask.target, name) ?? 'run';
		return {
			name,
			index,
			kind,
			policy,
			...poolOf(tree, policy),
			key: `${ask.target}/${name}/${policy.model ?? ''}/${policy.maxTokens}`,
			budgetKey: `${ask.workspace}/${ask.target}/${name}`,
		};
	});
	// A stage that is disabled is left out; the stages after it get its input.
	return ok(stages.filter(stage => stage.policy.isEnabled).map((stage, index) => ({...stage, index})));
}

function serviceStages(tree: SettingsTree, ask: Ask, policy: EffectivePolicy): Outcome<StagePlan[], PlanFailure> {
	if (!tree.hasService(ask.workspace, ask.target)) {
		return fail({code: 'unknownService', message: `service "${ask.target}" is not declared`});
	}

	const key = `service/${ask.target}/${ask.http!.method}`;
	return ok([{
		name: ask.target, index: 0, kind: 'http', policy, ...poolOf(tree, policy), key, budgetKey: `${ask.workspace}/${key}`,
	}]);
}

function poolOf(tree: SettingsTree, policy: EffectivePolicy): {pool: string; slots: number} {
	const pool = policy.pool ?? '';
	return {pool, slots: tree.pool(pool)?.slots ?? defaultSlots};
}

function prefixHashOf(ask: Ask): number {
	const start = new TextDecoder().decode(ask.input.subarray(0, prefixBytes));
	return start.length < prefixBytes ? 0 : hashText(`${ask.target} ${start}`);
}
