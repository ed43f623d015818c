/** Metrics sent with `hot-shots` to a StatsD collector over UDP. */
import {StatsD} from 'hot-shots';
import type {Disposable} from '../common/disposable.js';
import type {Metrics, MetricTags} from '../common/metrics.js';

/** Address of the collector, and the tags of this host. */
export type StatsdOptions = {readonly address: string; readonly port: number; readonly hall: string; readonly hostId: string};

/** Sends measurements; an unavailable collector is ignored. */
export class StatsdMetrics implements Metrics, Disposable {
	static create(options: StatsdOptions): StatsdMetrics {
		const client = new StatsD({
			host: options.address,
			port: options.port,
			prefix: 'pumicehatch.',
			globalTags: {hall: options.hall, host: options.hostId},
			errorHandler: () => undefined,
		});
		return new StatsdMetrics(client);
	}

	private constructor(private readonly client: StatsD) {}

	increment(name: string, by: number, tags: MetricTags = {}): void {
		this.client.increment(name, by, {...tags});
	}

	gauge(name: string, value: number, tags: MetricTags = {}): void {
		this.client.gauge(name, value, {...tags});
	}

	timing(name: string, valueMs: number, tags: MetricTags = {}): void {
		this.client.timing(name, valueMs, {...tags});
	}

	dispose(): void {
		this.client.close();
	}
}
