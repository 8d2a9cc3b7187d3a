import {build, type Histogram} from 'hdr-histogram-js';
import {callModel, type CallResult} from '../harness/caller.js';
import {keyOf} from '../harness/catalogue.js';
import {type Path, startPath, type Usage, workspace} from './processes.js';

const microsecondsPerMillisecond = 1000;

export type Row = {readonly figure: string; readonly direct: string; readonly through: string; readonly result: string; readonly target: string};

async function call(address: string, prompt: string): Promise<CallResult> {
	const result = await callModel({address, key: keyOf(workspace), model: 'model', prompt});
	if (result.outcome !== 'whole') {
		throw new Error(`A call ended ${result.outcome}: ${result.code ?? result.status}.`);
	}

	return result;
}

/** Sends calls until the path is connected and entry and side have compiled their hot code. */
async function warmUp(path: Path, calls: number): Promise<void> {
	const deadline = performance.now() + 20_000;
	for (;;) {
		const {outcome} = await callModel({address: path.entry.address, key: keyOf(workspace), model: 'model', prompt: 'first [[tokens=1]]'});
		if (outcome === 'whole') {
			break;
		}

		if (performance.now() > deadline) {
			throw new Error('The path was not ready within 20 s.');
		}

		await pause(50);
	}

	for (let index = 0; index < calls; index++) {
		await call(path.entry.address, `warm ${index} [[tokens=3]]`);
	}
}

async function pause(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

function directAddress(path: Path): string {
	return path.engine.address.replace('http://', '');
}

class Times {
	static create(): Times {
		return new Times();
	}

	readonly firstToken = build();
	readonly gap = build();

	add({firstTokenMilliseconds, gaps}: CallResult): void {
		this.firstToken.recordValue(Math.round((firstTokenMilliseconds ?? 0) * microsecondsPerMillisecond));
		for (const gap of gaps) {
			this.gap.recordValue(Math.round(gap * microsecondsPerMillisecond));
		}
	}
}

/** Measures latency with free slots: one call at a time, alternately direct and through the path. */
export async function measureLatency(calls: number): Promise<Row[]> {
	await using path = await startPath({stepMilliseconds: 4});
	await warmUp(path, 300);
	const direct = Times.create();
	const through = Times.create();
	for (let index = 0; index < calls; index++) {
		const prompt = `call ${index} [[tokens=8]]`;
		direct.add(await call(directAddress(path), prompt));
		through.add(await call(path.entry.address, prompt));
	}

	return [
		compare('time to first token p50', direct.firstToken, through.firstToken, {percentile: 50, target: '+1 ms'}),
		compare('time to first token p99', direct.firstToken, through.firstToken, {percentile: 99, target: '+3 ms'}),
		compare('time between tokens p50', direct.gap, through.gap, {percentile: 50, target: 'none set'}),
		compare('time between tokens p99', direct.gap, through.gap, {percentile: 99, target: 'none set'}),
	];
}

function compare(figure: string, direct: Histogram, through: Histogram, {percentile, target}: {percentile: number; target: string}): Row {
	const [base, routed] = [direct, through].map(histogram => histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond) as [number, number];
	return {figure, direct: `${base.toFixed(2)} ms`, through: `${routed.toFixed(2)} ms`, result: `+${(routed - base).toFixed(2)} ms (x${(routed / base).toFixed(2)})`, target};
}

/** Measures processor time per token with many concurrent streams, and the tokens per second that one core of each role can carry. */
export async function measureThroughput(streams: number, tokens: number): Promise<Row[]> {
	await using path = await startPath({stepMilliseconds: 2, stepMillisecondsPerRequest: 0.01, memoryTokens: 1e9});
	await warmUp(path, 300);
	await Promise.all(Array.from({length: streams}, async (_, index) => call(path.entry.address, `warm stream ${index} [[tokens=${tokens}]]`)));
	const before = await usageOf(path);
	const startedAt = performance.now();
	await Promise.all(Array.from({length: streams}, async (_, index) => call(path.entry.address, `stream ${index} [[tokens=${tokens}]]`)));
	const seconds = (performance.now() - startedAt) / 1000;
	const after = await usageOf(path);
	const total = streams * tokens;
	const perCore = (role: 'entry' | 'side') => Math.round(total / (after[role].processorSeconds - before[role].processorSeconds)).toLocaleString('en');
	return [
		{figure: `tokens/s carried, ${streams} streams`, direct: '', through: Math.round(total / seconds).toLocaleString('en'), result: '', target: ''},
		{figure: 'tokens/s for each core of an entry', direct: '', through: perCore('entry'), result: '', target: '100,000'},
		{figure: 'tokens/s for each core of a side', direct: '', through: perCore('side'), result: '', target: 'none set'},
	];
}

/** Measures memory over many sequential streams and over bursts of concurrent ones. */
export async function measureMemory(sequential: number, concurrent: number): Promise<Row[]> {
	await using path = await startPath({stepMilliseconds: 0.2, stepMillisecondsPerRequest: 0.002, memoryTokens: 1e9});
	await warmUp(path, 300);
	const burst = async () => Promise.all(Array.from({length: concurrent}, async (_, index) => call(path.entry.address, `burst ${index} [[tokens=20]]`)));
	const half = sequential / 2;
	await runSequence(path, half);
	const middle = await settledUsage(path);
	await runSequence(path, half);
	const end = await settledUsage(path);
	const sampler = PeakSampler.create(path);
	await burst();
	const peak = await sampler.stop();
	const afterFirst = await settledUsage(path);
	await burst();
	const afterSecond = await settledUsage(path);
	return (['entry', 'side'] as const).flatMap(role => [
		{figure: `${role}: heap after ${half} and ${sequential} sequential streams`, direct: megabytes(middle[role].heapBytes), through: megabytes(end[role].heapBytes), result: `${((end[role].heapBytes - middle[role].heapBytes) / half).toFixed(0)} bytes a stream`, target: 'no growth'},
		{figure: `${role}: heap after one and two bursts of ${concurrent}`, direct: megabytes(afterFirst[role].heapBytes), through: megabytes(afterSecond[role].heapBytes), result: `${((afterSecond[role].heapBytes - afterFirst[role].heapBytes) / concurrent).toFixed(0)} bytes a stream`, target: 'no growth'},
		{figure: `${role}: resident at the peak of a burst`, direct: megabytes(end[role].residentBytes), through: megabytes(peak[role]), result: `${((peak[role] - end[role].residentBytes) / concurrent / 1024).toFixed(1)} kB an open stream`, target: 'none set'},
	]);
}

async function runSequence(path: Path, calls: number): Promise<void> {
	for (let index = 0; index < calls; index++) {
		await call(path.entry.address, `one ${index} [[tokens=1]]`);
	}
}

type Usages = Record<'entry' | 'side', Usage>;

async function usageOf(path: Path): Promise<Usages> {
	return {entry: await path.entry.usage(), side: await path.side.usage()};
}

/** Returns the lowest heap size over two seconds or more, as an estimate of the heap after a garbage collection, which can't be triggered from outside. */
async function settledUsage(path: Path): Promise<Usages> {
	let lowest = await usageOf(path);
	for (let sample = 0; sample < 40; sample++) {
		await pause(50);
		await call(path.entry.address, `settle ${sample} [[tokens=200]]`);
		const now = await usageOf(path);
		lowest = {entry: lower(lowest.entry, now.entry), side: lower(lowest.side, now.side)};
	}

	return lowest;
}

function lower(first: Usage, second: Usage): Usage {
	return second.heapBytes < first.heapBytes ? second : first;
}

class PeakSampler {
	static create(path: Path): PeakSampler {
		return new PeakSampler(path);
	}

	readonly #peak = {entry: 0, side: 0};
	readonly #done: Promise<void>;
	#stopped = false;

	private constructor(path: Path) {
		this.#done = this.#run(path);
	}

	async stop(): Promise<{entry: number; side: number}> {
		this.#stopped = true;
		await this.#done;
		return this.#peak;
	}

	async #run(path: Path): Promise<void> {
		while (!this.#stopped) {
			const {entry, side} = await usageOf(path);
			this.#peak.entry = Math.max(this.#peak.entry, entry.residentBytes);
			this.#peak.side = Math.max(this.#peak.side, side.residentBytes);
			await pause(20);
		}
	}
}

function megabytes(bytes: number): string {
	return `${(bytes / 1_048_576).toFixed(1)} MiB`;
}
