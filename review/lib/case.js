#!/usr/bin/env node
/** Frame of a case: a temporary folder, the record, and the end of all processes that were started. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

/** Whether the disruption of the case is played. */
export const hasTrouble = process.env.TROUBLE !== '0';

const statuses = {held: 0, broken: 1, couldNotRun: 2};

/** What a case has while it runs. */
class Case {
	constructor(folder) {
		this.folder = folder;
		this.startMs = performance.now();
		this.record = [];
		this.processes = [];
		this.scratch = mkdtempSync(path.join(tmpdir(), 'review-'));
		// Addresses of the loopback network that differ between runs, because some ports of the program are fixed.
		this.network = `127.${20 + (process.pid % 200)}.${1 + (Math.trunc(process.pid / 200) % 250)}`;
		this.status = statuses.couldNotRun;
	}

	/** Adds a line to the record. */
	note(text) {
		this.record.push(`${((performance.now() - this.startMs) / 1000).toFixed(3)} s  ${text}`);
	}

	/** Takes over a process that was started, which is ended with the case. */
	own(child) {
		this.processes.push(child);
		return child;
	}

	end() {
		for (const child of this.processes) {
			child.kill('SIGKILL');
		}

		rmSync(this.scratch, {recursive: true, force: true});
		writeFileSync(path.join(this.folder, 'record.txt'), `${this.record.join('\n')}\n`);
		console.log(this.record.at(-1));
		process.exit(this.status);
	}
}

/**
Runs a case and exits with 1 if its rule was broken, 0 if it held, and 2 if it could not run.
@param folder - folder of the case, where `record.txt` is written.
@param limitMs - time limit of the case.
@param play - plays the case; returns the violations.
*/
export async function runCase(folder, limitMs, play) {
	const running = new Case(folder);
	const timer = setTimeout(() => {
		running.note('the time limit of the case is over');
		running.end();
	}, limitMs);
	for (const name of ['SIGINT', 'SIGTERM']) {
		process.on(name, () => {
			running.end();
		});
	}

	try {
		const violations = await play(running);
		for (const violation of violations) {
			running.note(`BROKEN: ${violation}`);
		}

		running.note(violations.length > 0 ? `the rule was broken ${violations.length} times` : 'the rule held');
		running.status = violations.length > 0 ? statuses.broken : statuses.held;
	} catch (error) {
		running.note(`the case could not run: ${error.stack ?? error}`);
	}

	clearTimeout(timer);
	running.end();
}
