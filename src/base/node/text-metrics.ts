/** Counters, gauges and latency histograms of one process, served as text. */
import {createServer, type Server} from 'node:http';
import {build, type Histogram} from 'hdr-histogram-js';
import type {Disposable} from '../common/disposable.js';
import type {Metrics, MetricTags} from '../common/metrics.js';

const prefix = 'pumicehatch_';
const escapedCharacter = /["\\\n]/v;
const quantiles = [50, 90, 95, 99, 99.9] as const;
/** Largest value that a histogram distinguishes; no request is held for that long. */
const maxTrackedMs = 60_000;

/** Keeps measurements in memory and renders them in the Prometheus text format. */
export class TextMetrics implements Metrics, Disposable {
	static create(): TextMetrics {
		return new TextMetrics();
	}

	private readonly counters = new Map<string, number>();
	private readonly gauges = new Map<string, number>();
	private readonly histograms = new Map<string, Histogram>();
	private server: Server | undefined;

	increment(name: string, by: number, tags: MetricTags = {}): void {
		const key = keyOf(`${name}_total`, tags);
		this.counters.set(key, (this.counters.get(key) ?? 0) + by);
	}

	gauge(name: string, value: number, tags: MetricTags = {}): void {
		this.gauges.set(keyOf(name, tags), value);
	}

	timing(name: string, valueMs: number, tags: MetricTags = {}): void {
		const key = keyOf(`${name}_ms`, tags);
		let histogram = this.histograms.get(key);
		if (!histogram) {
			histogram = build({highestTrackableValue: maxTrackedMs, numberOfSignificantValueDigits: 2, bitBucketSize: 32});
			this.histograms.set(key, histogram);
		}

		histogram.recordValue(Math.min(maxTrackedMs, Math.max(0, Math.round(valueMs))));
	}

	/** @returns all measurements in the Prometheus text format. */
	render(): string {
		const lines: string[] = [];
		for (const [key, value] of [...this.counters, ...this.gauges]) {
			lines.push(`${prefix}${key} ${value}`);
		}

		for (const [key, histogram] of this.histograms) {
			for (const quantile of quantiles) {
				lines.push(`${prefix}${withTag(key, 'quantile', String(quantile / 100))} ${histogram.getValueAtPercentile(quantile)}`);
			}

			lines.push(`${prefix}${withSuffix(key, '_count')} ${histogram.totalCount}`);
		}

		return `${lines.toSorted().join('\n')}\n`;
	}

	/**
	Serves the measurements over HTTP.
	@param address - IP address to listen on.
	@param port - port to listen on.
	@param onError - is called with the reason if the metrics can't be served; the process continues without serving them.
	*/
	serve(address: string, port: number, onError: (reason: string) => void): void {
		this.server = createServer((_request, response) => {
			response.setHeader('content-type', 'text/plain; version=0.0.4');
			response.end(this.render());
		});
		this.server.on('error', error => {
			onError(error.message);
		});
		this.server.listen(port, address);
	}

	dispose(): void {
		this.server?.close();
		this.server?.closeAllConnections();
	}
}

function keyOf(name: string, tags: MetricTags): string {
	const list = Object.entries(tags).map(([tag, value]) => `${tag}="${escapeValue(value)}"`);
	const plain = name.replaceAll('.', '_');
	return list.length === 0 ? plain : `${plain}{${list.join(',')}}`;
}

/** Tags hold names from declarations and from servers; unescaped, one of them could make the whole page unreadable. */
function escapeValue(value: string): string {
	return escapedCharacter.test(value) ? value.replaceAll('\\', String.raw`\\`).replaceAll('"', String.raw`\"`).replaceAll('\n', String.raw`\n`) : value;
}

function withTag(key: string, tag: string, value: string): string {
	return key.endsWith('}') ? `${key.slice(0, -1)},${tag}="${value}"}` : `${key}{${tag}="${value}"}`;
}

function withSuffix(key: string, suffix: string): string {
	const brace = key.indexOf('{');
	return brace === -1 ? `${key}${suffix}` : `${key.slice(0, brace)}${suffix}${key.slice(brace)}`;
}
