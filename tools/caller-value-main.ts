#!/usr/bin/env node
/** `npm run caller-value -- WORTHS < LOGS`: computes the value of a run to its callers; WORTHS is a file of request values, JSON with comments. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {parse} from 'jsonc-parser';
import {z} from 'zod';
import {readLogLines} from '../src/cli/common/log-lines.js';
import {sumCallerValue} from './caller-value.js';

const worthsSchema = z.array(z.object({targetMs: z.number(), inTime: z.number(), late: z.number()}));
const [file] = process.argv.slice(2);
if (file === undefined) {
	process.stderr.write('usage: caller-value WORTHS < LOGS\n');
	process.exitCode = 2;
} else {
	const worths = worthsSchema.parse(parse(readFileSync(file, 'utf8')));
	const {lines, droppedCount} = readLogLines(readFileSync(0, 'utf8'));
	process.stdout.write(`${JSON.stringify({...sumCallerValue(lines, worths), lines: lines.length, droppedCount})}\n`);
}
