// Runs all compiled tests with tap and prints `N passed, N failed` as its last line. Tests that are listed in
// KNOWN-RED.txt may fail; they are printed, but not counted.
import {spawn} from 'node:child_process';
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {readKnownFailures, TestVerdict} from '../dist/tools/test-verdict.js';

const parts = ['src', 'platform', 'tools', 'test'];
const files = process.argv.length > 2 ? process.argv.slice(2) : parts.map(part => `dist/${part}/**/*.test.js`);
/** Exit code of tap when a test failed. */
const testFailureExitCode = 1;
const listName = 'KNOWN-RED.txt';
const verdict = TestVerdict.create(existsSync(listName) ? readKnownFailures(readFileSync(listName, 'utf8')) : []);
const tap = spawn('npx', ['tap', 'run', '--disable-coverage', '--allow-empty-coverage', '--reporter=tap', '--jobs=4', '--timeout=120', ...files], {stdio: ['ignore', 'pipe', 'inherit']});
let partialLine = '';
tap.stdout.setEncoding('utf8');
tap.stdout.on('data', text => {
	const lines = `${partialLine}${text}`.split('\n');
	partialLine = lines.pop();
	for (const line of lines) {
		verdict.read(line);
		if (/^(?: {4})?(?:not )?ok /v.test(line) || /^\s*not ok /v.test(line) || verdict.failedCount > 0) {
			process.stdout.write(`${line}\n`);
		}
	}
});
tap.on('close', code => {
	for (const {test, cause, issue} of verdict.listedFailed) {
		process.stdout.write(`known to fail: ${test} | ${cause} | ${issue}\n`);
	}

	for (const {test} of verdict.listedPassed) {
		process.stdout.write(`listed as known to fail, but passed: ${test}\n`);
	}

	process.stdout.write(`${verdict.passedCount} passed, ${verdict.failedCount} failed\n`);
	// A tap process that was terminated by a signal has no exit code, and has not run all tests.
	const isExplained = code === 0 || (code === testFailureExitCode && verdict.listedFailed.length > 0);
	process.exitCode = verdict.hasPassed && isExplained ? 0 : 1;
});
