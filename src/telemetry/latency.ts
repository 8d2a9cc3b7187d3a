import {Float64Histogram} from 'hdr-histogram-js';
import type {Metric} from 'prom-client';
import {type Labels} from './metrics.js';

const microsecondsPerMillisecond = 1000;
const microsecondsPerSecond = 1_000_000;
/** Above ten minutes a duration tells nothing more: no class may wait longer for its first token. */
const longestMicroseconds = 600 * microsecondsPerSecond;
/** Two digits keep a series at about 25 kB and its quantiles within one per cent. */
const significantDigits = 2;

/** Upper bounds in seconds, in steps of 1, 2 and 5: fine enough to place the targets of usual classes. */
const bucketSeconds = [
	0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60, 120, 300, 600,
] as const;

/** Takes the durations of one series. */
export type LatencyRecorder = {
	record(milliseconds: number): void;
};

type Sample = {readonly metricName: string; readonly labels: Record<string, string | number>; readonly value: number};

/** One combination of labels. The histogram counts microseconds. */
class Series implements LatencyRecorder {
	static create(labels: Labels): Series {
		return new Series(labels);
	}

	readonly labels: Labels;
	readonly #histogram = new Float64Histogram(1, longestMicroseconds, significantDigits);
	#sumMicroseconds = 0;

	private constructor(labels: Labels) {
		this.labels = labels;
	}

	record(milliseconds: number): void {
		const microseconds = Math.min(Math.max(Math.round(milliseconds * microsecondsPerMillisecond), 0), longestMicroseconds);
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

/** Durations by labels, kept as HDR histograms and shown as Prometheus histograms in seconds. */
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

	/** The recorder of one combination of labels; keep it where durations are frequent. */
	for(labels: Labels): LatencyRecorder {
		return this.#find(labels);
	}

	/** The duration, in milliseconds, that this part of the recorded ones didn't exceed; 0 without any. */
	quantile(quantile: number, labels: Labels = {}): number {
		const series = this.#find(labels);
		return series.count === 0 ? 0 : series.quantileMilliseconds(quantile);
	}

	/** What the registry reads when it renders. */
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

	#find(labels: Labels): Series {
		const key = JSON.stringify(labels);
		const held = this.#series.get(key);
		if (held !== undefined) {
			return held;
		}

		const made = Series.create(labels);
		this.#series.set(key, made);
		return made;
	}
}
