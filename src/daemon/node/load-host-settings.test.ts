import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import process from 'node:process';
import t from 'tap';
import {formatProblem} from '../../base/common/errors.js';
import {loadHostSettings} from './load-host-settings.js';

const exampleFolder = fileURLToPath(new URL('../../../../examples/hosts/', import.meta.url));

process.env.PUMICEHATCH_WIRE_KEY = 'a-key-of-enough-characters';
process.env.PUMICEHATCH_PLATFORM_TOKEN = 'token';
process.env.PUMICEHATCH_BOOTSTRAP_TOKEN = 'token';

t.test('the example host settings are valid', async t => {
	for (const name of ['entry.jsonc', 'agent.jsonc']) {
		const loaded = loadHostSettings(`${exampleFolder}${name}`);
		t.ok(loaded.ok, loaded.ok ? name : loaded.error.map(problem => formatProblem(problem)).join('\n'));
	}
});

t.test('invalid host settings are reported with file, line and path', async t => {
	const good = readFileSync(`${exampleFolder}agent.jsonc`, 'utf8');
	const problemsOf = (text: string | Uint8Array) => {
		const folder = t.testdir({host: typeof text === 'string' ? text : new TextDecoder('latin1').decode(text)});
		const loaded = loadHostSettings(`${folder}/host`);
		return loaded.ok ? 'none' : loaded.error.map(problem => formatProblem(problem)).join('\n');
	};

	t.equal(problemsOf(good), 'none');
	t.match(problemsOf(''), /host:1:1: .*\(badSyntax\)/v);
	t.match(problemsOf(good.slice(0, 100)), /\(badSyntax\)/v);
	t.match(problemsOf(good.replace('"hall"', '"zone"')), /host:\d+:\d+ \/zone: unknown field "zone" \(unknownField\)/v);
	t.match(problemsOf(good.replace(/"port": \d+/v, '"port": "seven"')), /host:\d+:\d+ \/wire\/port: .*\(badValue\)/v);
	t.match(problemsOf(good.replace('"role": "agent"', '"role": "leader"')), /\/role: .*\(badValue\)/v);
	t.match(problemsOf(good.replace('PUMICEHATCH_WIRE_KEY', 'PUMICEHATCH_UNSET_KEY')), /environment variable PUMICEHATCH_UNSET_KEY is not set \(badSecret\)/v);
	t.match(problemsOf(good.replace('"env": "PUMICEHATCH_WIRE_KEY"', '"file": "/no/such/file"')), /\/wire\/keys\/0\/secret\/file: .*\(badSecret\)/v);
	t.match(problemsOf(good.replace('"role": "agent",', '"role": "agent", "role": "entry",')), /\/role: .*\(duplicateKey\)/v);
	t.match(problemsOf('['.repeat(10_000)), /\(tooDeep\)/v);
	t.match(problemsOf('[]'), /\(badValue\)/v);
	const missing = loadHostSettings('/no/such/host.jsonc');
	t.match(missing, {ok: false, error: [{code: 'unreadable'}]});
});
