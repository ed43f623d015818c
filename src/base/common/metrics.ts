/** Metrics: counters, gauges and timings with tags. */
import type {InjectionToken} from 'tsyringe';

/** Tags of a metric. */
export type MetricTags = Readonly<Record<string, string>>;

/** Records measurements. */
export type Metrics = {
	increment(name: string, by: number, tags?: MetricTags): void;
	gauge(name: string, value: number, tags?: MetricTags): void;
	timing(name: string, valueMs: number, tags?: MetricTags): void;
};

export const metricsToken: InjectionToken<Metrics> = Symbol('Metrics');

const ignore = () => undefined;

/** Discards all measurements: used where no collector is configured, and in tests. */
export const noMetrics: Metrics = {increment: ignore, gauge: ignore, timing: ignore};
