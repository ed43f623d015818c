/** Schemas of the settings tree: the fields of each kind of node, with units and defaults. */
import {z} from 'zod';

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9.\-]{0,62}$/v, 'a name has small letters, digits, dots and hyphens');
const hashSchema = z.string().regex(/^[0-9a-f]{64}$/v, 'a token hash has 64 hexadecimal digits (SHA-256)');
const shareSchema = z.number().min(0).max(1);

/** Policy fields; a node inherits each of them from the node above unless it sets the field itself. */
export const policyFields = {
	deadlineMs: z.number().int().min(1).max(600_000).describe('Time for the whole request where the caller names none.'),
	maxLateMs: z.number().int().min(0).max(600_000).describe('How long past its deadline a request that has started may still be answered.'),
	maxInFlight: z.number().int().min(1).max(1_000_000).describe('Requests a workspace may have in flight on one entry host.'),
	requestsPerSecond: z.number().min(0).max(1_000_000).describe('Requests a workspace may start each second on one entry host; 0 sets no limit.'),
	burst: z.number().int().min(1).max(1_000_000).describe('Requests that may come at once above the rate.'),
	holdMs: z.number().int().min(0).max(60_000).describe('How long a request may wait for an upstream to become available.'),
	maxAttempts: z.number().int().min(1).max(10).describe('Most attempts at one stage.'),
	retryShare: shareSchema.describe('Retries allowed, as a share of first attempts.'),
	hedgeShare: shareSchema.describe('Second attempts sent early against slow upstreams, as a share of first attempts; 0 sends none.'),
	attainmentWeight: shareSchema.describe('Worth of an answer in time against its cost: 1 looks at attainment only, 0 at cost only.'),
	fairShare: z.number().positive().max(1000).describe('Share of a busy upstream this workspace gets against others.'),
	timeoutMs: z.number().int().min(1).max(600_000).describe('Longest silence of one attempt before another one is made beside it.'),
	isRepeatable: z.boolean().describe('Whether work may run again after its result was lost.'),
	isEnabled: z.boolean().describe('Whether requests are taken.'),
	pool: nameSchema.describe('The pool whose upstreams run this.'),
	model: nameSchema.describe('Model that runs a generating stage.'),
	adapter: nameSchema.describe('Adapter on top of the model.'),
	version: nameSchema.describe('Version of model and adapter.'),
	maxTokens: z.number().int().min(1).max(1_000_000).describe('Most tokens of one generated answer.'),
} as const;

const policySchema = z.strictObject(policyFields).partial();

/** The policy fields that a node sets itself, before inheritance. */
export type Policy = z.infer<typeof policySchema>;

/** How a stage processes the result of the stage before it: a worker runs it, or an engine generates from it. */
export const stageKinds = {run: 'run', generate: 'generate'} as const;
export type StageKind = typeof stageKinds[keyof typeof stageKinds];

/** The kind of server behind the upstreams of a pool. */
export const poolKinds = {engine: 'engine', worker: 'worker', service: 'service'} as const;
export type PoolKind = typeof poolKinds[keyof typeof poolKinds];

/** The rights that an operator's token can have. */
export const operatorRights = {read: 'read', change: 'change', order: 'order'} as const;
export type OperatorRight = typeof operatorRights[keyof typeof operatorRights];

const modelSchema = z.strictObject({model: nameSchema, version: nameSchema, adapters: z.array(nameSchema).max(256).default([])});

/** Schemas of the own fields of each kind of node. */
export const nodeSchemas = {
	fleet: policySchema,
	pool: z.strictObject({
		kind: z.enum(poolKinds).describe('What the upstreams are: engines, workers or plain services.'),
		slots: z.number().int().min(1).max(10_000).optional().describe('Calls one upstream runs at once; what it reports itself goes first.'),
		maxQueue: z.number().int().min(0).max(100_000).optional().describe('Calls that may wait at one upstream.'),
		models: z.array(modelSchema).max(64).optional().describe('What every engine of the pool should carry.'),
		leavingUpstreams: z.array(z.string().min(1).max(128)).max(1000).optional().describe('Upstreams that get no new work.'),
	}),
	operator: z.strictObject({
		tokenHash: hashSchema.describe('SHA-256 of the operator\'s token.'),
		rights: z.array(z.enum(operatorRights)).min(1).describe('What the token may do.'),
	}),
	workspace: policySchema.extend({
		tokenHashes: z.array(hashSchema).max(8).optional().describe('SHA-256 of each token callers may use.'),
	}),
	pipeline: policySchema.extend({
		order: z.array(nameSchema).min(1).max(16).optional().describe('The stages, first to last.'),
	}),
	stage: policySchema.extend({
		kind: z.enum(stageKinds).optional().describe('Whether a worker runs it or an engine generates it.'),
	}),
	service: policySchema,
} as const;

export type NodeKind = keyof typeof nodeSchemas;
export type PoolNode = z.infer<typeof nodeSchemas.pool>;
export type OperatorNode = z.infer<typeof nodeSchemas.operator>;
export type WorkspaceNode = z.infer<typeof nodeSchemas.workspace>;
export type PipelineNode = z.infer<typeof nodeSchemas.pipeline>;
export type StageNode = z.infer<typeof nodeSchemas.stage>;

/** The own fields of a node of any kind. */
export type NodeFields = Readonly<Record<string, unknown>>;

const stagesField = {stages: z.record(nameSchema, nodeSchemas.stage).optional()};
const pipelineDeclarationSchema = nodeSchemas.pipeline.extend(stagesField);
const sharedFields = {
	pipelines: z.record(nameSchema, pipelineDeclarationSchema).optional(),
	services: z.record(nameSchema, nodeSchemas.service).optional(),
};

/** Schema of a complete declaration, as kept in version control. */
export const declarationSchema = policySchema.extend({
	...sharedFields,
	pools: z.record(nameSchema, nodeSchemas.pool).optional(),
	operators: z.record(nameSchema, nodeSchemas.operator).optional(),
	workspaces: z.record(nameSchema, nodeSchemas.workspace.extend(sharedFields)).optional(),
});

/** Defaults of the policy fields, used where no node sets them. */
export const policyDefaults = {
	deadlineMs: 2000,
	maxLateMs: 1000,
	maxInFlight: 2000,
	requestsPerSecond: 0,
	burst: 100,
	holdMs: 250,
	maxAttempts: 3,
	retryShare: 0.2,
	hedgeShare: 0,
	attainmentWeight: 0.7,
	fairShare: 1,
	timeoutMs: 10_000,
	isRepeatable: true,
	isEnabled: true,
	maxTokens: 256,
} as const satisfies Policy;

/** Effective policy of a path in the tree, after inheritance. */
export type EffectivePolicy = Policy & Required<Pick<Policy, keyof typeof policyDefaults>>;
