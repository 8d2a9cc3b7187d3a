/** Requests in progress at endpoints that restart under their ids. */
import {FakePath} from '../../fakes/network-path.js';
import {FakePlatformWorker, type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {plannedState} from './planned-play.js';
import {type CallerResponse, eventually, Testbed} from './testbed.js';

/** Long enough that a connection counts as older than the restart. */
export const ageMilliseconds = 2200;
export const events = 70;
const deadlineMilliseconds = 12_000;

const ids = ['chart', 'question', 'release'] as const;
type Answers = Readonly<Record<(typeof ids)[number], CallerResponse>>;

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** Streams and an order at endpoints that are reached by a path, so that an address can be assigned again. */
export class RestartPlay implements AsyncDisposable {
	static async create(answer: (request: WorkerRequest) => WorkerAnswer): Promise<RestartPlay> {
		const testbed = await Testbed.create({services: [], workersEach: 0});
		const play = new RestartPlay(testbed);
		for (const service of ['models', 'orders']) {
			const worker = await play.#addWorker(`${service}-0`, service);
			worker.answer = answer;
			const path = await FakePath.create(worker.address);
			play.paths.set(service, path);
			testbed.store.put('keyed.servers', worker.id, worker.beat({address: path.address, born: 1000}));
		}

		const routes = (plannedState(2).routes as Array<Record<string, unknown>>).map(route => ({...route, timeoutMs: 20_000}));
		testbed.store.put('keyed.op', 'config', plannedState(2, {routes}));
		const {routingState} = await testbed.startGateway();
		await eventually(() => routingState.table?.version === 2 && routingState.directory.entries.get('orders-0')?.record.bornAt === 1000);
		return play;
	}

	readonly testbed: Testbed;
	readonly paths = new Map<string, FakePath>();
	readonly later: FakePlatformWorker[] = [];

	private constructor(testbed: Testbed) {
		this.testbed = testbed;
	}

	/** Sends the requests, and waits until their connections are old. */
	async begin(): Promise<{readonly answers: Promise<Answers>}> {
		const sent = ids.map(async id => this.testbed.send({path: `/${id}/1`, method: 'POST', id, body: 'draw', headers: {'deadline-ms': String(deadlineMilliseconds)}}));
		await eventually(() => ids.every(id => this.testbed.attemptCount(id) === 1));
		await sleep(ageMilliseconds);
		return {answers: Promise.all(sent).then(([chart, question, release]) => ({chart: chart!, question: question!, release: release!}))};
	}

	/** Adds an endpoint at which streams may go on: a request is sent to each id once. */
	async addReplacement(): Promise<void> {
		const worker = await this.testbed.addWorker('models-1', 'models');
		worker.answer = () => ({type: 'events', count: events});
		await eventually(() => this.testbed.gateways[0]!.routingState.directory.entries.has(worker.id));
	}

	/** Starts the next incarnations, at the addresses of the earlier ones or elsewhere, and waits until they are known. */
	async restart({isAtSameAddress, isRemovedBefore = false}: {readonly isAtSameAddress: boolean; readonly isRemovedBefore?: boolean}): Promise<void> {
		const {store, gateways: [gateway]} = this.testbed;
		for (const [service, path] of this.paths) {
			const id = `${service}-0`;
			if (isRemovedBefore) {
				store.put('keyed.servers', id);
				await eventually(() => gateway!.routingState.directory.entries.get(id)?.endedAt !== undefined);
			}

			const worker = await FakePlatformWorker.create(id, service);
			worker.answer = () => ({type: 'events', count: events});
			this.later.push(worker);
			if (isAtSameAddress) {
				path.redirect(worker.address);
			}

			store.put('keyed.servers', id, worker.beat({...(isAtSameAddress && {address: path.address}), born: 2000, seq: 2}));
			await eventually(() => gateway!.routingState.directory.entries.get(id)?.record.bornAt === 2000);
		}
	}

	/** Ids of requests that were cut off at the earlier incarnations. */
	get abandoned(): readonly string[] {
		return this.testbed.workers.flatMap(({abandoned}) => abandoned);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.testbed[Symbol.asyncDispose]();
		await Promise.all(this.later.map(async worker => worker[Symbol.asyncDispose]()));
		await Promise.all([...this.paths.values()].map(async path => path[Symbol.asyncDispose]()));
	}

	async #addWorker(id: string, service: string): Promise<FakePlatformWorker> {
		const worker = await FakePlatformWorker.create(id, service);
		this.testbed.workers.push(worker);
		return worker;
	}
}
