import {
	collectDefaultMetrics, Counter as PromCounter, Gauge as PromGauge, Registry,
} from 'prom-client';
import {Latency} from './latency.js';

/** Label values of a series. Use few values a label: each combination is a series of its own. */
export type Labels = Readonly<Record<string, string>>;

export type Counter = {
	add(count?: number, labels?: Labels): void;
};

export type Gauge = {
	set(value: number, labels?: Labels): void;
};

type MetricsOptions = {
	/** The program's role, a label of each series. */
	readonly role: string;
	/** True to add processor, memory and event loop figures of the process. */
	readonly ofProcess?: boolean;
};

const prefix = 'cassiaflow_';

/** The figures of one process. Names get the prefix `cassiaflow_`; durations are shown in seconds. */
export class Metrics {
	static create({role, ofProcess = false}: MetricsOptions): Metrics {
		const registry = new Registry();
		registry.setDefaultLabels({role});
		if (ofProcess) {
			collectDefaultMetrics({register: registry});
		}

		return new Metrics(registry);
	}

	readonly #registry: Registry;

	private constructor(registry: Registry) {
		this.#registry = registry;
	}

	/** What `render` writes, for the header. */
	get contentType(): string {
		return this.#registry.contentType;
	}

	/** A number that only rises. */
	counter(name: string, help: string, labelNames: readonly string[] = []): Counter {
		const counter = new PromCounter({name: prefix + name, help, labelNames: [...labelNames], registers: [this.#registry]});
		return {
			add(count = 1, labels = {}) {
				counter.inc(labels, count);
			},
		};
	}

	/** A number that is set. */
	gauge(name: string, help: string, labelNames: readonly string[] = []): Gauge {
		const gauge = new PromGauge({name: prefix + name, help, labelNames: [...labelNames], registers: [this.#registry]});
		return {
			set(value, labels = {}) {
				gauge.set(labels, value);
			},
		};
	}

	/** A number that is read when the metrics are. */
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

	/** Durations; recorded in milliseconds, shown in seconds under a name that ends so. */
	latency(name: string, help: string): Latency {
		const latency = Latency.create(`${prefix}${name}_seconds`, help);
		this.#registry.registerMetric(latency.asMetric());
		return latency;
	}

	/** Everything in the Prometheus text format. */
	render(): Promise<string> {
		return this.#registry.metrics();
	}
}
