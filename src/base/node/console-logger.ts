/** Log lines by `loglevel`, for people or as JSON. */
import process from 'node:process';
import loglevel from 'loglevel';
import type {LogFields, Logger, LoggerFactory} from '../common/logger.js';

/** How log lines are written. */
export type LogOptions = {readonly level: 'debug' | 'info' | 'warn' | 'error'; readonly format: 'text' | 'json'; readonly hostId: string};

type LineWriter = (level: string, prefix: string, sentence: string, fields: LogFields) => string;

const textLine: LineWriter = (level, prefix, sentence, fields) => {
	const tail = Object.entries(fields).filter(([, value]) => value !== undefined).map(([name, value]) => ` ${name}=${String(value)}`).join('');
	return `${new Date().toISOString()} ${level.padEnd(5)} [${prefix}] ${sentence}${tail}`;
};

const jsonLine: LineWriter = (level, prefix, sentence, fields) => JSON.stringify({
	time: new Date().toISOString(), level, part: prefix, message: sentence, ...fields,
});

/** Makes loggers that write to standard error. */
export class ConsoleLoggers implements LoggerFactory {
	static create(options: LogOptions): ConsoleLoggers {
		return new ConsoleLoggers(options);
	}

	private constructor(private readonly options: LogOptions) {}

	for(prefix: string): Logger {
		const {level, format, hostId} = this.options;
		const logger = loglevel.getLogger(`${hostId}/${prefix}`);
		const lineOf = format === 'json' ? jsonLine : textLine;
		logger.methodFactory = methodName => (sentence: string, fields: LogFields = {}) => {
			process.stderr.write(`${lineOf(methodName, prefix, sentence, {host: hostId, ...fields})}\n`);
		};

		logger.setLevel(level, false);
		const write = (method: 'debug' | 'info' | 'warn' | 'error') => (sentence: string, fields?: LogFields) => {
			logger[method](sentence, fields);
		};

		return {
			debug: write('debug'), info: write('info'), warn: write('warn'), error: write('error'),
		};
	}
}
