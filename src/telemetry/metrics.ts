import {
	collectDefaultMetrics, Counter as PromCounter, Gauge as PromGauge, Registry,
} from 'prom-client';
import {type Labels} from './labels.js';
import {Latency} from './latency.js';

export type Counter = {
	add(count?: number, labels?: Labels): void;
};

export type Gauge = {
	set(value: number, labels?: Labels): void;
};

type MetricsOptions = {
	/** The program's role, added to each series as a label. */
	readonly role: string;
	/** True to add the processor, memory and event loop metrics of the process. */
	readonly includesProcessMetrics?: boolean;
};

const prefix = 'cassiaflow_';

/** The metrics of one process. Names get the prefix `cassiaflow_`; durations are exported in seconds. */
export class Metrics {
	static create({role, includesProcessMetrics = false}: MetricsOptions): Metrics {
		const registry = new Registry();
		registry.setDefaultLabels({role});
		if (includesProcessMetrics) {
			collectDefaultMetrics({register: registry});
		}

		return new Metrics(registry);
	}

	readonly #registry: Registry;

	private constructor(registry: Registry) {
		this.#registry = registry;
	}

	/** The content type of the text that `render` returns. */
	get contentType(): string {
		return this.#registry.contentType;
	}

	/** Adds a counter, whose value only increases. */
	counter(name: string, help: string, labelNames: readonly string[] = []): Counter {
		const counter = new PromCounter({name: prefix + name, help, labelNames: [...labelNames], registers: [this.#registry]});
		return {
			add(count = 1, labels = {}) {
				counter.inc(labels, count);
			},
		};
	}

	/** Adds a gauge, whose value is set. */
	gauge(name: string, help: string, labelNames: readonly string[] = []): Gauge {
		const gauge = new PromGauge({name: prefix + name, help, labelNames: [...labelNames], registers: [this.#registry]});
		return {
			set(value, labels = {}) {
				gauge.set(labels, value);
			},
		};
	}

	/** Adds a gauge with one label whose series are read when the metrics are rendered. */
	observeEach(name: string, help: string, label: string, read: () => ReadonlyMap<string, number>): void {
		const gauge = new PromGauge({
			name: prefix + name,
			help,
			labelNames: [label],
			registers: [this.#registry],
			collect() {
				gauge.reset();
				for (const [value, number] of read()) {
					gauge.set({[label]: value}, number);
				}
			},
		});
	}

	/** Adds a gauge whose value is read when the metrics are rendered. */
	observe(name: string, help: string, read: () => number): void {
		const gauge = new PromGauge({
			name: prefix + name,
			help,
			registers: [this.#registry],
			collect() {
				gauge.set(read());
			},
		});
	}

	/** Adds a latency histogram. Durations are recorded in milliseconds and exported in seconds, with the name suffix `_seconds`. */
	latency(name: string, help: string): Latency {
		const latency = Latency.create(`${prefix}${name}_seconds`, help);
		this.#registry.registerMetric(latency.asMetric());
		return latency;
	}

	/** Renders all metrics in the Prometheus text format. */
	render(): Promise<string> {
		return this.#registry.metrics();
	}
}
