import {readFileSync, readdirSync} from 'node:fs';
import t from 'tap';

const root = new URL('../../', import.meta.url);
const pages = ['docs/OPERATIONS.md', 'docs/OPERATING.md'];
const metricCall = /\.(?:increment|timing)\('(?<name>[^']+)'/gv;

t.test('every metric that the sources record is listed on a page for operators', async t => {
	const known = pages.map(page => readFileSync(new URL(page, root), 'utf8')).join('');
	const files = readdirSync(new URL('src/', root), {recursive: true, encoding: 'utf8'}).filter(file => file.endsWith('.ts') && !file.endsWith('.test.ts'));
	const names = new Set(files.flatMap(file => {
		const text = readFileSync(new URL(`src/${file}`, root), 'utf8');
		return [...text.matchAll(metricCall)].map(({groups}) => groups?.name ?? '');
	}));
	t.ok(names.has('requests.ended'), 'metrics are found');
	t.same([...names].filter(name => !known.includes(`\`${name}\``)), [], 'metrics that no page lists');
});
