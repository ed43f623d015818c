/** Creates the message that sends an attempt to its upstream or agent. */
import type {DispatchMessage, UpstreamCall} from '../../wire/common/messages.js';
import {creditWindowChunks, type Attempt} from './attempt.js';
import type {PreparedInputs, RequestPlan, StagePlan} from './request-plan.js';

/** The data from which a dispatch message is created. */
export type DispatchParts = {
	readonly plan: RequestPlan;
	readonly stage: StagePlan;
	readonly input: Uint8Array;
	/** Results of the request's preparation. */
	readonly inputs?: PreparedInputs;
	readonly startByMs: number;
};

/**
Creates the dispatch message of an attempt.
@param parts - the request, the stage and its input.
@param attempt - the attempt.
@param nowMs - the current time; the message carries remaining durations instead of points in time.
@returns the message.
*/
export function makeDispatch(parts: DispatchParts, attempt: Attempt, nowMs: number): DispatchMessage {
	const {plan, stage, startByMs} = parts;
	return {
		type: 'dispatch',
		dispatchId: attempt.options.dispatchId,
		requestId: plan.requestId,
		workspace: plan.workspace,
		pipeline: plan.pipeline,
		stage: stage.name,
		stageIndex: stage.index,
		startWithinMs: Math.max(0, startByMs - nowMs),
		dueInMs: Math.max(0, plan.deadlineMs - nowMs),
		isRepeatable: plan.isRepeatable,
		settingsRevision: plan.settingsRevision,
		weight: plan.policy.fairShare,
		creditChunks: creditWindowChunks,
		call: callOf(parts, attempt),
	};
}

function callOf({plan, stage, input, inputs}: DispatchParts, attempt: Attempt): UpstreamCall {
	const {policy} = stage;
	if (stage.kind === 'http' && plan.http) {
		const {offset} = attempt.options;
		return {...plan.http, ...(inputs && inputs.handles.length > 0 && {inputs: [...inputs.handles]}), ...(offset > 0 && {resumeOffset: offset})};
	}

	if (stage.kind === 'run') {
		return {kind: 'run', input};
	}

	return {
		kind: 'generate',
		model: policy.model ?? '',
		...(policy.adapter !== undefined && {adapter: policy.adapter}),
		...(policy.version !== undefined && {version: policy.version}),
		prompt: input,
		maxTokens: policy.maxTokens,
		seed: plan.seed,
		resumeOffset: attempt.options.offset,
	};
}
