/** Logging with `loglevel`, as readable text or as JSON. */
import process from 'node:process';
import loglevel from 'loglevel';
import type {LogFields, Logger, LoggerFactory} from '../common/logger.js';

/** Level, format and destination of log lines; standard error unless `write` is given. */
export type LogOptions = {readonly level: 'debug' | 'info' | 'warn' | 'error'; readonly format: 'text' | 'json'; readonly hostId: string; readonly write?: (line: string) => void};

type LineWriter = (level: string, prefix: string, sentence: string, fields: LogFields) => string;

const textLine: LineWriter = (level, prefix, sentence, fields) => {
	const tail = Object.entries(fields).filter(([, value]) => value !== undefined).map(([name, value]) => ` ${name}=${String(value)}`).join('');
	return `${new Date().toISOString()} ${level.padEnd(5)} [${prefix}] ${sentence}${tail}`;
};

const jsonLine: LineWriter = (level, prefix, sentence, fields) => JSON.stringify({
	time: new Date().toISOString(), level, part: prefix, message: sentence, ...fields,
});

/** Creates loggers that write to standard error, or with the given function. */
export class ConsoleLoggers implements LoggerFactory {
	static create(options: LogOptions): ConsoleLoggers {
		return new ConsoleLoggers(options);
	}

	private constructor(private readonly options: LogOptions) {}

	for(prefix: string): Logger {
		const {level, format, hostId} = this.options;
		const logger = loglevel.getLogger(`${hostId}/${prefix}`);
		const lineOf = format === 'json' ? jsonLine : textLine;
		const write = this.options.write ?? ((line: string) => process.stderr.write(line));
		logger.methodFactory = methodName => (sentence: string, fields: LogFields = {}) => {
			write(`${lineOf(methodName, prefix, sentence, {host: hostId, ...fields})}\n`);
		};

		logger.setLevel(level, false);
		const writeAt = (method: 'debug' | 'info' | 'warn' | 'error') => (sentence: string, fields?: LogFields) => {
			logger[method](sentence, fields);
		};

		return {
			debug: writeAt('debug'), info: writeAt('info'), warn: writeAt('warn'), error: writeAt('error'),
		};
	}
}
