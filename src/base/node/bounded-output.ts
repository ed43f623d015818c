/** Standard output for log lines: bounded in lines a second and in bytes that wait, so that logs never hold up work. */
import {fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import process from 'node:process';
import type {Writable} from 'node:stream';
import type {Clock} from '../common/clock.js';

const stdoutFd = 1;
/** Lines a second: several for each request at the rates one small host serves. */
const linesPerSecond = 250;
/** Lines that may come at once above the rate. */
const burstLines = 500;
const maxPendingBytes = 512 * 1024;

/** Takes lines; drops and counts what is too much. */
export class BoundedOutput {
	/**
	Makes an output.
	@param clock - the time.
	@param target - where lines go; standard output unless given.
	*/
	static create(clock: Clock, target: Writable = openStandardOutput()): BoundedOutput {
		return new BoundedOutput(clock, target);
	}

	private tokens = burstLines;
	private lastRefillMs: number;
	/** Lines that were dropped and not yet told of. */
	private droppedLines = 0;

	private constructor(private readonly clock: Clock, private readonly target: Writable) {
		this.lastRefillMs = clock.nowMs();
		// A reader that goes away must not end the process; there is nowhere left to say so.
		target.on('error', () => undefined);
	}

	/**
	Writes a line, or drops it.
	@param line - ends with a newline.
	*/
	write(line: string): void {
		const nowMs = this.clock.nowMs();
		this.tokens = Math.min(burstLines, this.tokens + (((nowMs - this.lastRefillMs) / 1000) * linesPerSecond));
		this.lastRefillMs = nowMs;
		if (this.tokens < 1 || this.target.writableLength > maxPendingBytes) {
			this.droppedLines++;
			return;
		}

		this.tokens--;
		if (this.droppedLines > 0) {
			this.target.write(`${JSON.stringify({
				level: 'warn', part: 'logs', message: 'Lines were dropped.', count: this.droppedLines,
			})}\n`);
			this.droppedLines = 0;
		}

		this.target.write(line);
	}
}

/** A pipe is written without blocking; Node.js itself would block on one. */
function openStandardOutput(): Writable {
	const stat = fstatSync(stdoutFd);
	return stat.isFIFO() || stat.isSocket() ? new Socket({fd: stdoutFd, readable: false}) : process.stdout;
}
