import {execFile} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {type RunFigures} from './figures.js';

/** One run that is wanted, and one that is done. */
export type Wanted = {readonly pattern: string; readonly variant: string; readonly seed: number};
export type Done = Wanted & {readonly figures: RunFigures};

const worker = fileURLToPath(new URL('worker.js', import.meta.url));
const patienceMilliseconds = 120_000;

/** Runs everything wanted, each in a process of its own so that no run slows another's timers, `jobs` at a time. */
export async function runAll(wanted: readonly Wanted[], jobs: number, onDone: (done: Done) => void): Promise<readonly Done[]> {
	const left = [...wanted];
	const done: Done[] = [];
	await Promise.all(Array.from({length: jobs}, async () => {
		for (let next = left.shift(); next !== undefined; next = left.shift()) {
			const finished = {...next, figures: await runOne(next)};
			done.push(finished);
			onDone(finished);
		}
	}));
	return done;
}

async function runOne({pattern, variant, seed}: Wanted): Promise<RunFigures> {
	const stdout = await runWorker([pattern, variant, String(seed)]);
	return JSON.parse(stdout.trim().split('\n').at(-1)!) as RunFigures;
}

async function runWorker(words: readonly string[]): Promise<string> {
	return new Promise((resolve, reject) => {
		execFile(process.execPath, [worker, ...words], {timeout: patienceMilliseconds, maxBuffer: 10_000_000}, (error, stdout) => {
			if (error) {
				reject(new Error(`The run ${words.join(' ')} failed.`, {cause: error}));
				return;
			}

			resolve(stdout);
		});
	});
}
