/** Generates docs/SETTINGS.md from the schemas, so that the page can't differ from the validation. */
import {z} from 'zod';
import {hostSettingsSchema} from '../src/daemon/common/host-settings.js';
import {
	nodeSchemas, policyDefaults, policyFields,
} from '../src/settings/common/schema.js';

type JsonSchema = {
	readonly type?: string;
	readonly description?: string;
	readonly enum?: readonly string[];
	readonly const?: string;
	readonly minimum?: number;
	readonly maximum?: number;
	readonly exclusiveMinimum?: number;
	readonly default?: unknown;
	readonly properties?: Readonly<Record<string, JsonSchema>>;
	readonly items?: JsonSchema;
	readonly oneOf?: readonly JsonSchema[];
	readonly required?: readonly string[];
};

const defaults: Readonly<Record<string, unknown>> = policyDefaults;

function schemaOf(schema: z.ZodType): JsonSchema {
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the subset of JSON Schema that this page uses
	return z.toJSONSchema(schema, {io: 'input', unrepresentable: 'any'}) as JsonSchema;
}

function typeOf(schema: JsonSchema): string {
	if (schema.const !== undefined) {
		return `"${schema.const}"`;
	}

	if (schema.enum) {
		return schema.enum.map(value => `"${value}"`).join(', ');
	}

	if (schema.type === 'array') {
		return `list of ${typeOf(schema.items ?? {})}`;
	}

	const minimum = schema.minimum ?? schema.exclusiveMinimum;
	const isBounded = minimum !== undefined && schema.maximum !== undefined && schema.maximum < Number.MAX_SAFE_INTEGER;
	return `${schema.type ?? 'value'}${isBounded ? `, ${minimum} to ${schema.maximum}` : ''}`;
}

function unitOf(name: string): string {
	const units: ReadonlyArray<readonly [RegExp, string]> = [[/Ms$/v, 'ms'], [/PerSecond$/v, 'a second'], [/Bytes$/v, 'bytes'], [/Share$/v, 'share']];
	return units.find(([pattern]) => pattern.test(name))?.[1] ?? '';
}

function textOf(value: unknown): string {
	return value === undefined ? '' : `\`${JSON.stringify(value)}\``;
}

function rowsOf(schema: JsonSchema, prefix: string): string[] {
	return Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
		const path = `${prefix}${name}`;
		const isNested = field.type === 'object' && field.properties !== undefined;
		const need = schema.required?.includes(name) ? 'needed' : textOf(field.default);
		const row = `| \`${path}\` | ${isNested ? 'object' : typeOf(field)} | ${unitOf(name)} | ${need} | ${field.description ?? ''} |`;
		return isNested ? [row, ...rowsOf(field, `${path}.`)] : [row];
	});
}

const tableHead = '| field | type | unit | default | effect |\n| --- | --- | --- | --- | --- |';

function policyTable(): string {
	const schema = schemaOf(z.strictObject(policyFields));
	const rows = Object.entries(schema.properties ?? {}).map(([name, field]) =>
		`| \`${name}\` | ${typeOf(field)} | ${unitOf(name)} | ${textOf(defaults[name])} | ${field.description ?? ''} |`);
	return [tableHead, ...rows].join('\n');
}

const nodePaths: Readonly<Record<string, string>> = {
	fleet: '`/`',
	pool: '`/pools/NAME`',
	operator: '`/operators/NAME`',
	workspace: '`/workspaces/NAME`',
	pipeline: '`/pipelines/NAME`, `/workspaces/NAME/pipelines/NAME`',
	stage: 'a pipeline\'s `/stages/NAME`',
	service: '`/services/NAME`, `/workspaces/NAME/services/NAME`',
};

function nodeTables(): string {
	return Object.entries(nodeSchemas).map(([kind, nodeSchema]) => {
		const schema = schemaOf(nodeSchema);
		const own = Object.fromEntries(Object.entries(schema.properties ?? {}).filter(([name]) => !Object.hasOwn(policyFields, name)));
		const rows = rowsOf({...schema, properties: own}, '');
		const inherits = Object.hasOwn(schema.properties ?? {}, 'deadlineMs') ? 'Takes every policy field above' : 'Takes no policy fields';
		const table = rows.length > 0 ? `, and:\n\n${[tableHead, ...rows].join('\n')}` : '.';
		return `### ${kind}\n\nAt ${nodePaths[kind]}. ${inherits}${table}`;
	}).join('\n\n');
}

function hostTables(): string {
	return (schemaOf(hostSettingsSchema).oneOf ?? []).map(schema => {
		const role = schema.properties?.role.const ?? '';
		return `### role ${role}\n\n${[tableHead, ...rowsOf(schema, '')].join('\n')}`;
	}).join('\n\n');
}

/**
Generates the page.
@returns the text of docs/SETTINGS.md.
*/
export function makeSettingsPage(): string {
	return `# Settings

Made by \`npm run docs\` from the schemas; not edited by hand. Both kinds of settings are JSON
with comments; an unknown field is an error.

## The tree

Declarations in version control hold the tree; \`pumicehatch settings apply FILE\` puts it in force.
A place inherits each policy field from the nearest node that sets it: deeper before higher and, at
one depth, the workspace's own node before the fleet's (stage, pipeline or service, workspace, \`/\`).
\`pumicehatch settings get PATH\` shows each value with the node it comes from.

### Policy fields

${policyTable()}

${nodeTables()}

## Host settings

The file given to \`pumicehatchd --settings FILE\`; examples stand in \`examples/hosts/\`.
\`pumicehatchd --settings FILE --check\` checks it and ends.

${hostTables()}
`;
}
