/** Log lines: short sentences behind a fixed prefix for each part. */
import type {InjectionToken} from 'tsyringe';

/** Fields that go with a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes log lines of one part. */
export type Logger = {
	debug(sentence: string, fields?: LogFields): void;
	info(sentence: string, fields?: LogFields): void;
	warn(sentence: string, fields?: LogFields): void;
	error(sentence: string, fields?: LogFields): void;
};

/** Makes the loggers of a process. */
export type LoggerFactory = {
	/**
	Makes a logger.
	@param prefix - the part's name.
	*/
	for(prefix: string): Logger;
};

export const loggerFactoryToken: InjectionToken<LoggerFactory> = Symbol('LoggerFactory');

const ignore = () => undefined;
const silent: Logger = {
	debug: ignore, info: ignore, warn: ignore, error: ignore,
};

/** Writes nothing: for tests and benches. */
export const silentLoggers: LoggerFactory = {for: () => silent};
