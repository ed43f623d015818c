// Runs all compiled tests with tap and closes with one line: `N passed, N failed`.
import {spawn} from 'node:child_process';
import process from 'node:process';

const files = process.argv.length > 2 ? process.argv.slice(2) : ['dist/src/**/*.test.js', 'dist/platform/**/*.test.js', 'dist/test/**/*.test.js'];
const tap = spawn('npx', ['tap', 'run', '--disable-coverage', '--allow-empty-coverage', '--reporter=tap', '--jobs=4', '--timeout=120', ...files], {stdio: ['ignore', 'pipe', 'inherit']});
let passed = 0;
let failed = 0;
let rest = '';
tap.stdout.setEncoding('utf8');
tap.stdout.on('data', text => {
	const lines = `${rest}${text}`.split('\n');
	rest = lines.pop();
	for (const line of lines) {
		// The test function's own lines stand four spaces deep, below the file's.
		passed += /^ {4}ok /v.test(line) ? 1 : 0;
		failed += /^ {4}not ok /v.test(line) ? 1 : 0;
		if (/^(?: {4})?(?:not )?ok /v.test(line) || /^\s*not ok /v.test(line) || failed > 0) {
			process.stdout.write(`${line}\n`);
		}
	}
});
tap.on('close', code => {
	process.stdout.write(`${passed} passed, ${failed} failed\n`);
	process.exitCode = code === 0 && failed === 0 && passed > 0 ? 0 : 1;
});
