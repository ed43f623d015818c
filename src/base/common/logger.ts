/** Logging: each line is a short sentence, with a fixed prefix for the component that writes it. */
import type {InjectionToken} from 'tsyringe';

/** Structured fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes the log lines of one component. */
export type Logger = {
	debug(sentence: string, fields?: LogFields): void;
	info(sentence: string, fields?: LogFields): void;
	warn(sentence: string, fields?: LogFields): void;
	error(sentence: string, fields?: LogFields): void;
};

/** Creates the loggers of a process. */
export type LoggerFactory = {
	/**
	Creates a logger.
	@param prefix - name of the component.
	*/
	for(prefix: string): Logger;
};

export const loggerFactoryToken: InjectionToken<LoggerFactory> = Symbol('LoggerFactory');

const ignore = () => undefined;
const silent: Logger = {
	debug: ignore, info: ignore, warn: ignore, error: ignore,
};

/** Loggers that discard all lines: for tests and benchmarks. */
export const silentLoggers: LoggerFactory = {for: () => silent};
