import {execFile} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {type RunFigures} from './figures.js';

/** A run to do, and a finished run with its results. */
export type RunSpecification = {readonly pattern: string; readonly variant: string; readonly seed: number};
export type FinishedRun = RunSpecification & {readonly figures: RunFigures};

const worker = fileURLToPath(new URL('worker.js', import.meta.url));
const timeoutMilliseconds = 120_000;

/** Runs all specifications, `jobs` at a time, each in a process of its own so that no run delays another's timers. */
export async function runAll(wanted: readonly RunSpecification[], jobs: number, onDone: (done: FinishedRun) => void): Promise<readonly FinishedRun[]> {
	const left = [...wanted];
	const done: FinishedRun[] = [];
	await Promise.all(Array.from({length: jobs}, async () => {
		for (let next = left.shift(); next !== undefined; next = left.shift()) {
			const finished = {...next, figures: await runOne(next)};
			done.push(finished);
			onDone(finished);
		}
	}));
	return done;
}

async function runOne({pattern, variant, seed}: RunSpecification): Promise<RunFigures> {
	const stdout = await runWorker([pattern, variant, String(seed)]);
	return JSON.parse(stdout.trim().split('\n').at(-1)!) as RunFigures;
}

async function runWorker(words: readonly string[]): Promise<string> {
	return new Promise((resolve, reject) => {
		execFile(process.execPath, [worker, ...words], {timeout: timeoutMilliseconds, maxBuffer: 10_000_000}, (error, stdout) => {
			if (error) {
				reject(new Error(`The run ${words.join(' ')} failed.`, {cause: error}));
				return;
			}

			resolve(stdout);
		});
	});
}
