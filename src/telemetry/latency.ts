import {Float64Histogram} from 'hdr-histogram-js';
import type {Metric} from 'prom-client';
import {type Labels} from './labels.js';

const microsecondsPerMillisecond = 1000;
const microsecondsPerSecond = 1_000_000;
/** Durations are capped at ten minutes: no class may wait longer for its first token. */
const maximumMicroseconds = 600 * microsecondsPerSecond;
/** Two digits keep a series at about 25 kB and its quantiles within one percent. */
const significantDigits = 2;

/** Upper bounds of the buckets in seconds, in steps of 1, 2 and 5: fine enough to compare with the latency targets of common classes. */
const bucketSeconds = [
	0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60, 120, 300, 600,
] as const;

/** Records the durations of one series. */
export type LatencyRecorder = {
	record(milliseconds: number): void;
};

type Sample = {readonly metricName: string; readonly labels: Record<string, string | number>; readonly value: number};

/** The durations of one combination of labels. The histogram records microseconds. */
class Series implements LatencyRecorder {
	static create(labels: Labels): Series {
		return new Series(labels);
	}

	readonly labels: Labels;
	readonly #histogram = new Float64Histogram(1, maximumMicroseconds, significantDigits);
	#sumMicroseconds = 0;

	private constructor(labels: Labels) {
		this.labels = labels;
	}

	record(milliseconds: number): void {
		const microseconds = Math.min(Math.max(Math.round(milliseconds * microsecondsPerMillisecond), 0), maximumMicroseconds);
		this.#histogram.recordValue(microseconds);
		this.#sumMicroseconds += microseconds;
	}

	quantileMilliseconds(quantile: number): number {
		return this.#histogram.getValueAtPercentile(quantile * 100) / microsecondsPerMillisecond;
	}

	get count(): number {
		return this.#histogram.totalCount;
	}

	samples(name: string): Sample[] {
		const counts = this.#cumulativeCounts();
		const buckets = bucketSeconds.map((bound, index) => ({metricName: `${name}_bucket`, labels: {...this.labels, le: bound}, value: counts[index]!}));
		return [
			...buckets,
			{metricName: `${name}_bucket`, labels: {...this.labels, le: '+Inf'}, value: this.count},
			{metricName: `${name}_sum`, labels: {...this.labels}, value: this.#sumMicroseconds / microsecondsPerSecond},
			{metricName: `${name}_count`, labels: {...this.labels}, value: this.count},
		];
	}

	#cumulativeCounts(): number[] {
		const counts = bucketSeconds.map(() => 0);
		const values = this.#histogram.recordedValuesIterator;
		values.reset();
		while (values.hasNext()) {
			const {valueIteratedTo, countAddedInThisIterationStep} = values.next();
			const first = bucketSeconds.findIndex(bound => this.#histogram.lowestEquivalentValue(valueIteratedTo) <= bound * microsecondsPerSecond);
			for (let index = Math.max(first, 0); index < counts.length; index++) {
				counts[index]! += countAddedInThisIterationStep;
			}
		}

		return counts;
	}
}

/** Durations by labels, kept as HDR histograms and exported as Prometheus histograms in seconds. */
export class Latency {
	static create(name: string, help: string): Latency {
		return new Latency(name, help);
	}

	readonly name: string;
	readonly help: string;
	readonly #series = new Map<string, Series>();

	private constructor(name: string, help: string) {
		this.name = name;
		this.help = help;
	}

	record(milliseconds: number, labels: Labels = {}): void {
		this.for(labels).record(milliseconds);
	}

	/** Returns the recorder of one combination of labels; keep it where durations are recorded frequently. */
	for(labels: Labels): LatencyRecorder {
		return this.#findOrCreate(labels);
	}

	/** The duration, in milliseconds, that this fraction of the recorded durations did not exceed; 0 if none is recorded. */
	quantile(quantile: number, labels: Labels = {}): number {
		const series = this.#findOrCreate(labels);
		return series.count === 0 ? 0 : series.quantileMilliseconds(quantile);
	}

	/** Adapts this histogram to the metric interface of the registry. */
	asMetric(): Metric {
		const metric = {
			name: this.name,
			get: async () => ({name: this.name, help: this.help, type: 'histogram', values: [...this.#series.values()].flatMap(series => series.samples(this.name)), aggregator: 'sum'}),
			reset: () => {
				this.#series.clear();
			},
		};
		return metric as unknown as Metric;
	}

	#findOrCreate(labels: Labels): Series {
		const key = JSON.stringify(labels);
		const existing = this.#series.get(key);
		if (existing !== undefined) {
			return existing;
		}

		const created = Series.create(labels);
		this.#series.set(key, created);
		return created;
	}
}
