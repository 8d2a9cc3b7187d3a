import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {createInterface, type Interface} from 'node:readline';

/** Resources that a process has used since its start. */
type Usage = {readonly processorSeconds: number; readonly bytes: number; readonly at: number};

/** Resource use of a process: rates over a time span, and memory at its end. */
export type Rates = {
	/** Processor time as a fraction of one core. */
	readonly core: number;
	/** Bytes read and written per second over all sockets. */
	readonly bytesPerSecond: number;
	readonly memoryBytes: number;
};

const clockTicksPerSecond = 100;
const bytesPerKibibyte = 1024;

/** One of the product's binaries as a process of its own, measured from outside. */
export class Subject implements AsyncDisposable {
	/** Starts the binary, waits for its log line `Listening.` and returns the line's fields. */
	static async start(binary: string, flags: Readonly<Record<string, string>>): Promise<{subject: Subject; line: Record<string, unknown>}> {
		const flagWords = Object.entries(flags).map(([name, value]) => value === '' ? `--${name}` : `--${name}=${value}`);
		const child = spawn(process.execPath, ['--import', './dist/bench/control/count-bytes.js', `dist/src/bin/${binary}.js`, ...flagWords], {stdio: ['ignore', 'ignore', 'pipe']});
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

	/** Measures the resource use during `span`. */
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

	/** Returns the fields of the next log line that contains the word. */
	async #nextLine(word: string): Promise<Record<string, unknown>> {
		return new Promise(resolve => {
			const onLine = (text: string): void => {
				if (text.includes(word)) {
					this.#lines.off('line', onLine);
					resolve(JSON.parse(text) as Record<string, unknown>);
				}
			};

			this.#lines.on('line', onLine);
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
