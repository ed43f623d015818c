/** Standard output for log lines, limited in lines per second and in buffered bytes, so that logging never blocks work. */
import {fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import process from 'node:process';
import type {Writable} from 'node:stream';
import type {Clock} from '../common/clock.js';

const stdoutFd = 1;
/** Rate limit: allows several lines per request at the request rates that one small host serves. */
const linesPerSecond = 250;
/** Burst size: lines that may be written at once above the rate limit. */
const burstLines = 500;
const maxPendingBytes = 512 * 1024;

/** Writes lines; drops and counts those above the limits. */
export class BoundedOutput {
	/**
	Creates an output.
	@param clock - the time source.
	@param target - the stream to write to; standard output by default.
	*/
	static create(clock: Clock, target: Writable = openStandardOutput()): BoundedOutput {
		return new BoundedOutput(clock, target);
	}

	private tokens = burstLines;
	private lastRefillMs: number;
	/** Lines that were dropped and not yet reported in the output. */
	private droppedLines = 0;

	private constructor(private readonly clock: Clock, private readonly target: Writable) {
		this.lastRefillMs = clock.nowMs();
		// The process must not crash when the reader goes away; the error can't be logged anywhere.
		target.on('error', () => undefined);
	}

	/**
	Writes a line, or drops it if a limit is exceeded.
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

/** Opens standard output. Pipes and sockets are written to without blocking; `process.stdout` would block on a pipe. */
function openStandardOutput(): Writable {
	const stat = fstatSync(stdoutFd);
	return stat.isFIFO() || stat.isSocket() ? new Socket({fd: stdoutFd, readable: false}) : process.stdout;
}
