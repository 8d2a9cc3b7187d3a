import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {createInterface, type Interface} from 'node:readline';

/** What a process has used since it started. */
type Usage = {readonly processorSeconds: number; readonly bytes: number; readonly at: number};

/** What a process uses per second, and holds. */
export type Rates = {
	/** Part of one core. */
	readonly core: number;
	/** Bytes read and written a second, over all of its sockets. */
	readonly bytesPerSecond: number;
	readonly memoryBytes: number;
};

const clockTicksPerSecond = 100;
const bytesPerKibibyte = 1024;

/** One of the product's binaries, running by itself, measured from outside by what the kernel counts. */
export class Subject implements AsyncDisposable {
	/** Starts it and waits for its line `Listening.`; the line's fields come back. */
	static async start(binary: string, flags: Readonly<Record<string, string>>): Promise<{subject: Subject; line: Record<string, unknown>}> {
		const words = Object.entries(flags).map(([name, value]) => value === '' ? `--${name}` : `--${name}=${value}`);
		const child = spawn(process.execPath, ['--import', './dist/bench/control/count-bytes.js', `dist/src/bin/${binary}.js`, ...words], {stdio: ['ignore', 'ignore', 'pipe']});
		const subject = new Subject(child);
		const line = await subject.#nextLine('Listening');
		return {subject, line};
	}

	readonly #child: ChildProcess;
	readonly #lines: Interface;

	private constructor(child: ChildProcess) {
		this.#child = child;
		this.#lines = createInterface({input: child.stderr!});
	}

	/** Takes a reading at both ends of a span. */
	async measure(span: () => Promise<void>): Promise<Rates> {
		const before = await this.#usage();
		await span();
		const after = await this.#usage();
		const seconds = (after.at - before.at) / 1000;
		return {
			core: (after.processorSeconds - before.processorSeconds) / seconds,
			bytesPerSecond: (after.bytes - before.bytes) / seconds,
			memoryBytes: numberAfter(this.#read('status'), 'VmRSS:') * bytesPerKibibyte,
		};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		if (this.#child.exitCode === null) {
			this.#child.kill('SIGKILL');
			await once(this.#child, 'exit');
		}
	}

	async #usage(): Promise<Usage> {
		const fields = this.#read('stat').split(') ').at(-1)!.split(' ');
		return {
			processorSeconds: (Number(fields[11]) + Number(fields[12])) / clockTicksPerSecond,
			bytes: await this.#socketBytes(),
			at: performance.now(),
		};
	}

	async #socketBytes(): Promise<number> {
		const line = this.#nextLine('socketBytes');
		this.#child.kill('SIGUSR2');
		const {socketBytes} = await line;
		return Number(socketBytes);
	}

	/** The fields of the next line that holds the word. */
	async #nextLine(word: string): Promise<Record<string, unknown>> {
		return new Promise(resolve => {
			const look = (text: string): void => {
				if (text.includes(word)) {
					this.#lines.off('line', look);
					resolve(JSON.parse(text) as Record<string, unknown>);
				}
			};

			this.#lines.on('line', look);
		});
	}

	#read(file: string): string {
		return readFileSync(`/proc/${this.#child.pid}/${file}`, 'utf8');
	}
}

function numberAfter(text: string, word: string): number {
	const line = text.split('\n').find(candidate => candidate.startsWith(word));
	return Number(line?.slice(word.length).trim().split(' ')[0] ?? 0);
}
