import t from 'tap';
import {formatProblem} from '../../base/common/errors.js';
import {planEdits, readDeclaration} from './plan.js';
import {inheritanceChain, SettingsTree} from './settings-tree.js';

const problemsOf = (text: string | Uint8Array): string => {
	const read = readDeclaration(text, 'fleet.jsonc');
	return read.ok ? 'none' : read.error.map(problem => formatProblem(problem)).join('\n');
};

t.test('each kind of invalid declaration is reported with its position', async t => {
	t.match(problemsOf(''), /fleet\.jsonc:1:1: .*\(badSyntax\)/v);
	t.match(problemsOf('{"deadlineMs": 10'), /fleet\.jsonc:1:\d+: .*\(badSyntax\)/v);
	t.match(problemsOf('[1, 2]'), /\(badValue\)/v);
	t.match(problemsOf('"text"'), /\(badValue\)/v);
	t.match(problemsOf('{\n\t"deadlineMs": "soon"\n}'), /fleet\.jsonc:2:2 \/deadlineMs: .*\(badValue\)/v);
	t.match(problemsOf('{\n\t"dedlineMs": 10\n}'), /fleet\.jsonc:2:2 \/dedlineMs: unknown field "dedlineMs" \(unknownField\)/v);
	t.match(problemsOf('{"deadlineMs": 10,\n"deadlineMs": 20}'), /fleet\.jsonc:2:1 \/deadlineMs: .*\(duplicateKey\)/v);
	t.match(problemsOf(`${'['.repeat(100_000)}`), /\(tooDeep\)/v);
	t.match(problemsOf(new Uint8Array([0x7B, 0xFF, 0xFE])), /fleet\.jsonc: not UTF-8 text \(badEncoding\)/v);
	t.match(problemsOf(`"${'x'.repeat(17 * 1024 * 1024)}"`), /\(tooLarge\)/v);
	t.match(problemsOf('{"workspaces": {"Not A Name": {}}}'), /\(badValue\)/v);
});

t.test('stages, pools and models that a declaration refers to must exist', async t => {
	t.match(problemsOf('{"pipelines": {"p": {"order": ["a"]}}}'), /fleet\.jsonc:1:\d+ \/pipelines\/p\/order: stage "a" has no node with a "kind" \(unknownStage\)/v);
	t.match(problemsOf('{"pipelines": {"p": {"order": ["a"], "stages": {"a": {"kind": "run", "pool": "q"}}}}}'), /\(unknownPool\)/v);
	t.match(problemsOf('{"pools": {"q": {"kind": "engine"}}, "pipelines": {"p": {"order": ["a"], "stages": {"a": {"kind": "run", "pool": "q"}}}}}'), /\(wrongPool\)/v);
	t.match(problemsOf('{"pools": {"q": {"kind": "engine"}}, "pipelines": {"p": {"order": ["a"], "stages": {"a": {"kind": "generate", "pool": "q"}}}}}'), /\(noModel\)/v);
	t.match(problemsOf('{"workspaces": {"w": {"pipelines": {"p": {}}}}}'), /\(noStages\)/v);
});

t.test('a path inherits from deeper nodes before higher ones, and from its workspace before the fleet', async t => {
	t.strictSame(inheritanceChain('/workspaces/w/pipelines/p/stages/s'), [
		'/workspaces/w/pipelines/p/stages/s', '/pipelines/p/stages/s', '/workspaces/w/pipelines/p', '/pipelines/p', '/workspaces/w', '/',
	]);
	const read = readDeclaration(`{
		// comments are ignored
		"deadlineMs": 1000, "maxLateMs": 1,
		"pools": {"q": {"kind": "worker"}},
		"pipelines": {"p": {"order": ["s"], "deadlineMs": 2000, "stages": {"s": {"kind": "run", "pool": "q"}}}},
		"workspaces": {"w": {"maxLateMs": 7, "pipelines": {"p": {"stages": {"s": {"timeoutMs": 5}}}}}}
	}`, 'fleet.jsonc');
	const tree = SettingsTree.create();
	t.ok(read.ok);
	const nodes = read.ok ? read.value : new Map<string, Record<string, unknown>>();
	tree.restore({revision: 1, nodes: [...nodes].map(([path, fields]) => ({path, fields: {...fields}, revision: 1}))});
	const path = '/workspaces/w/pipelines/p/stages/s';
	t.match(tree.policyAt(path), {
		deadlineMs: 2000, maxLateMs: 7, timeoutMs: 5, pool: 'q', maxAttempts: 3,
	});
	const from = (field: string) => tree.effectiveFieldsAt(path).find(item => item.field === field)?.from;
	t.equal(from('deadlineMs'), '/pipelines/p');
	t.equal(from('maxLateMs'), '/workspaces/w');
	t.equal(from('maxAttempts'), 'default');
	t.strictSame(planEdits(nodes, new Map([...nodes].map(([key, fields]) => [key, {fields, revision: 1}]))), []);
	t.match(planEdits(new Map([['/', {deadlineMs: 5}]]), new Map([['/', {fields: {deadlineMs: 4}, revision: 3}], ['/pools/q', {fields: {}, revision: 2}]])), [
		{kind: 'change', path: '/', baseRevision: 3}, {kind: 'remove', path: '/pools/q', baseRevision: 2},
	]);
});
