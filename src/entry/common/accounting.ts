/** Counts attainment (completion within the deadline) per workspace and cost (upstream time) per stage. */
import type {Metrics} from '../../base/common/metrics.js';
import {outcomes, type RequestPlan, type RequestResult} from '../../request/common/request-plan.js';

/** Number of requests of one workspace, by outcome. */
export type WorkspaceReport = {
	readonly workspace: string;
	requests: number;
	/** Completed within the deadline. */
	attained: number;
	late: number;
	refused: number;
	failed: number;
	unknown: number;
};

/** Upstream time of one stage, for one workspace. */
export type StageReport = {
	readonly workspace: string;
	readonly pipeline: string;
	readonly stage: string;
	attempts: number;
	retries: number;
	hedges: number;
	/** Upstream time that contributed to responses within the deadline. */
	usefulMs: number;
	/** Upstream time that did not: of failed or lost attempts, and of requests that were late or produced no result. */
	wastedMs: number;
};

/** Everything counted since the start of the process. */
export type EntryReport = {readonly workspaces: readonly WorkspaceReport[]; readonly stages: readonly StageReport[]};

/** Keeps the counts of one entry. */
export class Accounting {
	static create(metrics: Metrics): Accounting {
		return new Accounting(metrics);
	}

	private readonly workspaces = new Map<string, WorkspaceReport>();
	private readonly stages = new Map<string, StageReport>();

	private constructor(private readonly metrics: Metrics) {}

	/**
	Counts a request that has ended.
	@param plan - plan of the request.
	@param result - result of the request.
	*/
	record(plan: RequestPlan, result: RequestResult): void {
		const report = this.workspaceOf(plan.workspace);
		const isAttained = result.outcome === outcomes.completed && !result.isLate;
		report.requests++;
		report.attained += isAttained ? 1 : 0;
		report.late += result.outcome === outcomes.completed && result.isLate ? 1 : 0;
		report.refused += result.outcome === outcomes.refused ? 1 : 0;
		report.failed += result.outcome === outcomes.failed ? 1 : 0;
		report.unknown += result.outcome === outcomes.unknown ? 1 : 0;
		const tags = {workspace: plan.workspace, pipeline: plan.pipeline};
		this.metrics.increment('request.ended', 1, {...tags, outcome: result.outcome});
		this.metrics.increment('request.attained', isAttained ? 1 : 0, tags);
		this.metrics.timing('request.time', result.tookMs, tags);
		this.recordStages(plan, result, isAttained);
	}

	report(): EntryReport {
		return {workspaces: [...this.workspaces.values()], stages: [...this.stages.values()]};
	}

	private recordStages(plan: RequestPlan, result: RequestResult, isAttained: boolean): void {
		for (const trace of result.stages) {
			const report = this.stageOf(plan, trace.stage);
			report.attempts += trace.attempts.length;
			report.retries += trace.attempts.filter(attempt => attempt.kind === 'retry' || attempt.kind === 'resume').length;
			report.hedges += trace.attempts.filter(attempt => attempt.kind === 'hedge').length;
			const usefulMs = isAttained ? trace.usefulMs : 0;
			const wastedMs = trace.wastedMs + (trace.usefulMs - usefulMs);
			report.usefulMs += usefulMs;
			report.wastedMs += wastedMs;
			const tags = {workspace: plan.workspace, pipeline: plan.pipeline, stage: trace.stage};
			this.metrics.increment('stage.useful', usefulMs, tags);
			this.metrics.increment('stage.wasted', wastedMs, tags);
		}
	}

	private workspaceOf(workspace: string): WorkspaceReport {
		let report = this.workspaces.get(workspace);
		if (!report) {
			report = {
				workspace, requests: 0, attained: 0, late: 0, refused: 0, failed: 0, unknown: 0,
			};
			this.workspaces.set(workspace, report);
		}

		return report;
	}

	private stageOf(plan: RequestPlan, stage: string): StageReport {
		const key = `${plan.workspace}/${plan.pipeline}/${stage}`;
		let report = this.stages.get(key);
		if (!report) {
			report = {
				workspace: plan.workspace, pipeline: plan.pipeline, stage, attempts: 0, retries: 0, hedges: 0, usefulMs: 0, wastedMs: 0,
			};
			this.stages.set(key, report);
		}

		return report;
	}
}
