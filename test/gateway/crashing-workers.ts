import {FakePath} from '../../fakes/network-path.js';
import {type FakePlatformWorker, FakePlatformWorker as Worker, type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {type GatewayProcess} from '../../src/bin/gateway-process.js';
import {type Testbed} from './testbed.js';

/** A crashed worker registers again, under a new id, after this time. */
const restartMilliseconds = 800;
/** The store removes a worker that has fallen silent after this time. */
const lapseMilliseconds = 3600;
/** The platform's rule: how many crashes are free, how many runs are allowed afterwards, and from which time on they count. */
export const freeCrashes = 3;
export const allowedRuns = 3;
const noticeMilliseconds = 3000;

export const crashingBody = 'artwork that crashes';

/** Workers behind network paths that crash on one body, and come back as new ones. */
export class CrashingWorkers implements AsyncDisposable {
	/** Replaces the workers of a testbed; `answer` is what they do with the body, by the worker's number. */
	static async create(testbed: Testbed, {service, count, answer}: {service: string; count: number; answer: (number: number) => WorkerAnswer}): Promise<CrashingWorkers> {
		const workers = new CrashingWorkers(testbed, service, answer);
		for (let number = 0; number < count; number++) {
			await workers.#start(`${service}-${number}`, number);
		}

		return workers;
	}

	readonly #testbed: Testbed;
	readonly #service: string;
	readonly #answer: (number: number) => WorkerAnswer;
	readonly #paths: FakePath[] = [];
	readonly #crashedAt: number[] = [];
	#isDisposed = false;

	private constructor(testbed: Testbed, service: string, answer: (number: number) => WorkerAnswer) {
		this.#testbed = testbed;
		this.#service = service;
		this.#answer = answer;
	}

	/** What the workers got with the crashing body, in order. */
	get runs(): WorkerRequest[] {
		return this.#testbed.workers.flatMap(({requests}) => requests).filter(({body}) => body === crashingBody).toSorted((left, right) => left.at - right.at);
	}

	/** Runs that count as late by the platform's rule. */
	get lateRuns(): WorkerRequest[] {
		const {runs} = this;
		return runs.filter(({at}) => at > (runs[freeCrashes - 1]?.at ?? Infinity) + noticeMilliseconds);
	}

	get crashCount(): number {
		return this.#crashedAt.length;
	}

	/** Runs that count as late by the platform's rule where some workers survive the request. */
	get runsAfterCrashes(): WorkerRequest[] {
		return this.runs.filter(({at}) => at > (this.#crashedAt[freeCrashes - 1] ?? Infinity) + noticeMilliseconds);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isDisposed = true;
		await Promise.all(this.#paths.map(async path => path[Symbol.asyncDispose]()));
	}

	async #start(id: string, number: number): Promise<void> {
		const worker = await Worker.create(id, this.#service);
		const path = await FakePath.create(worker.address);
		this.#testbed.workers.push(worker);
		this.#paths.push(path);
		worker.answer = request => request.body === crashingBody ? this.#answer(number) : {type: 'whole', body: 'ok', afterMilliseconds: 5};
		worker.onCrash = ({isSilent}) => {
			this.#crashedAt.push(performance.now());
			path.faults.silent = isSilent;
			this.#after(isSilent ? lapseMilliseconds : 0, async () => this.#remove(worker));
			this.#after(restartMilliseconds, async () => this.#start(`${id}'`, number));
		};

		this.#testbed.store.put('keyed.servers', id, {...worker.beat(), address: path.address});
	}

	async #remove({id}: FakePlatformWorker): Promise<void> {
		this.#testbed.store.put('keyed.servers', id);
	}

	#after(milliseconds: number, action: () => Promise<void>): void {
		setTimeout(() => {
			if (!this.#isDisposed) {
				void action();
			}
		}, milliseconds);
	}
}

/** Sends the crashing body again and again through all gateways in turn; returns the statuses of the responses. */
export async function sendAgainAndAgain(testbed: Testbed, {milliseconds, pauseMilliseconds, path = '/lookup/artwork'}: {milliseconds: number; pauseMilliseconds: number; path?: string}): Promise<number[]> {
	const statuses: Array<Promise<number>> = [];
	const until = performance.now() + milliseconds;
	for (let number = 0; performance.now() < until; number++) {
		statuses.push(testbed.statusOf({method: 'POST', path, body: crashingBody}, nextOf(testbed.gateways, number)));
		await new Promise(resolve => {
			setTimeout(resolve, pauseMilliseconds);
		});
	}

	return Promise.all(statuses);
}

function nextOf(gateways: readonly GatewayProcess[], number: number): GatewayProcess {
	return gateways[number % gateways.length]!;
}
