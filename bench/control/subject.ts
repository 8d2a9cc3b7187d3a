import {spawn, type ChildProcess} from 'node:child_process';
import {on, once} from 'node:events';
import {readFileSync} from 'node:fs';
import process from 'node:process';

/** What a process has used since it started. */
type Usage = {readonly processorSeconds: number; readonly bytes: number; readonly calls: number; readonly at: number};

/** What a process uses per second, and holds. */
export type Rates = {
	/** Part of one core. */
	readonly core: number;
	/** Bytes read and written a second, over all of its sockets. */
	readonly bytesPerSecond: number;
	/** Reads and writes a second; several messages may share one. */
	readonly callsPerSecond: number;
	readonly memoryBytes: number;
};

const clockTicksPerSecond = 100;
const bytesPerKibibyte = 1024;

/** One of the product's binaries, running by itself, measured from outside by what the kernel counts. */
export class Subject implements AsyncDisposable {
	/** Starts it and waits for its line `Listening.`; the line's fields come back. */
	static async start(binary: string, flags: Readonly<Record<string, string>>): Promise<{subject: Subject; line: Record<string, unknown>}> {
		const words = Object.entries(flags).map(([name, value]) => value === '' ? `--${name}` : `--${name}=${value}`);
		const child = spawn(process.execPath, [`dist/src/bin/${binary}.js`, ...words], {stdio: ['ignore', 'ignore', 'pipe']});
		for await (const [chunk] of on(child.stderr, 'data', {close: ['close']})) {
			const line = String(chunk).split('\n').find(text => text.includes('Listening'));
			if (line !== undefined) {
				child.stderr.resume();
				return {subject: new Subject(child), line: JSON.parse(line) as Record<string, unknown>};
			}
		}

		throw new Error(`${binary} ended before it listened.`);
	}

	readonly #child: ChildProcess;

	private constructor(child: ChildProcess) {
		this.#child = child;
	}

	/** Takes a reading at both ends of a span. */
	async measure(span: () => Promise<void>): Promise<Rates> {
		const before = this.#usage();
		await span();
		const after = this.#usage();
		const seconds = (after.at - before.at) / 1000;
		return {
			core: (after.processorSeconds - before.processorSeconds) / seconds,
			bytesPerSecond: (after.bytes - before.bytes) / seconds,
			callsPerSecond: (after.calls - before.calls) / seconds,
			memoryBytes: numberAfter(this.#read('status'), 'VmRSS:') * bytesPerKibibyte,
		};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		if (this.#child.exitCode === null) {
			this.#child.kill('SIGKILL');
			await once(this.#child, 'exit');
		}
	}

	#usage(): Usage {
		const fields = this.#read('stat').split(') ').at(-1)!.split(' ');
		const io = this.#read('io');
		return {
			processorSeconds: (Number(fields[11]) + Number(fields[12])) / clockTicksPerSecond,
			bytes: numberAfter(io, 'rchar:') + numberAfter(io, 'wchar:'),
			calls: numberAfter(io, 'syscr:') + numberAfter(io, 'syscw:'),
			at: performance.now(),
		};
	}

	#read(file: string): string {
		return readFileSync(`/proc/${this.#child.pid}/${file}`, 'utf8');
	}
}

function numberAfter(text: string, word: string): number {
	const line = text.split('\n').find(candidate => candidate.startsWith(word));
	return Number(line?.slice(word.length).trim().split(' ')[0] ?? 0);
}
