/** Settings of one host: where it listens, its identity, where the platform is. */
import {z} from 'zod';
import {poolKinds} from '../../settings/common/schema.js';

const port = z.number().int().min(0).max(65_535);
const endpoint = z.strictObject({
	address: z.string().min(1).describe('IP number to listen on.'),
	port: port.describe('Port to listen on; 0 takes a free one.'),
});

/** A secret, referred to by a file or an environment variable and never written into the settings. */
const secretSource = z.strictObject({
	file: z.string().min(1).optional().describe('File that holds the secret.'),
	env: z.string().min(1).optional().describe('Environment variable that holds the secret.'),
}).refine(source => (source.file === undefined) !== (source.env === undefined), 'specify either "file" or "env"');
export type SecretSource = z.infer<typeof secretSource>;

const tlsSchema = z.strictObject({
	certificateFile: z.string().min(1),
	keyFile: z.string().min(1),
	authorityFile: z.string().min(1).describe('Certificates of the authority that signed the peers\' certificates.'),
});
export type TlsFiles = z.infer<typeof tlsSchema>;

const commonFields = {
	hostId: z.string().regex(/^[\w.\-]{1,64}$/v, 'a host id must have 1 to 64 letters, digits, dots, hyphens or underscores').describe('Name of this host in the platform\'s list.'),
	hall: z.string().min(1).max(64).describe('Data hall of this host.'),
	wire: endpoint.extend({
		keys: z.array(z.strictObject({keyId: z.string().min(1).max(64), secret: secretSource})).min(1).max(4)
			.describe('Keys shared by all hosts; the first that both sides have is used, so that two are valid while one is replaced.'),
		tls: tlsSchema.optional(),
	}),
	platform: z.strictObject({
		origin: z.url().describe('Where the platform\'s services answer.'),
		token: secretSource,
		callTimeoutMs: z.number().int().min(10).max(60_000).default(1000),
	}),
	logs: z.strictObject({
		level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
		format: z.enum(['text', 'json']).default('text'),
	}).default({level: 'info', format: 'text'}),
	metrics: z.strictObject({address: z.string().min(1), port}).optional().describe('StatsD collector; none sends no metrics.'),
};

const entrySchema = z.strictObject({
	role: z.literal('entry'),
	...commonFields,
	callers: endpoint.extend({tls: tlsSchema.optional()}),
	operators: endpoint.extend({bootstrapToken: secretSource.optional().describe('Token that may do everything until the first operator is declared.')}),
	stopGraceMs: z.number().int().min(0).max(60_000).default(2000).describe('How long a stopping entry still takes requests, so that the balancer takes it out first.'),
	claimSpacingMs: z.number().int().min(1).max(1000).default(25).describe('Least time between two transactions that register requests.'),
});

const agentSchema = z.strictObject({
	role: z.literal('agent'),
	...commonFields,
	upstream: z.strictObject({
		upstreamId: z.string().min(1).max(128),
		pool: z.string().min(1).max(63),
		kind: z.enum(poolKinds),
		origin: z.url().describe('Where the upstream answers, on this host.'),
	}),
});

export const hostSettingsSchema = z.discriminatedUnion('role', [entrySchema, agentSchema]);

export type EntryHostSettings = z.infer<typeof entrySchema>;
export type AgentHostSettings = z.infer<typeof agentSchema>;
/** Validated settings of a host. */
export type HostSettings = z.infer<typeof hostSettingsSchema>;
