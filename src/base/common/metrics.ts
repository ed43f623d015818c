/** Metrics: counters, gauges and timings with tags. */
import type {InjectionToken} from 'tsyringe';

/** Tags of a measurement. */
export type MetricTags = Readonly<Record<string, string>>;

/** Takes measurements. */
export type Metrics = {
	increment(name: string, by: number, tags?: MetricTags): void;
	gauge(name: string, value: number, tags?: MetricTags): void;
	timing(name: string, valueMs: number, tags?: MetricTags): void;
};

export const metricsToken: InjectionToken<Metrics> = Symbol('Metrics');

const ignore = () => undefined;

/** Takes measurements and drops them: where no collector is set, and for tests. */
export const noMetrics: Metrics = {increment: ignore, gauge: ignore, timing: ignore};
