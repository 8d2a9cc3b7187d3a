/** Requests in progress at endpoints of which news comes, with endpoints that go on and with some that are gone. */
import {FakePath} from '../../fakes/network-path.js';
import {type FakePlatformWorker, type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {type GatewayProcess} from '../../src/bin/gateway-process.js';
import {type EndpointChange, type EndpointRecord} from '../../src/routing/index.js';
import {plannedServices, plannedState, routesWith} from './planned-play.js';
import {type CallerResponse, eventually, Testbed} from './testbed.js';

const gapMilliseconds = 50;
export const events = 60;
const pieceBytes = 60_000;
/** More than an instance holds back of a body. */
const pieces = 50;
/** The least time that a caller leaves here: longer than any silence after which an endpoint is left. */
export const deadlineMilliseconds = 6000;

export const requestIds = ['chart', 'question', 'release', 'chunks', 'length'] as const;
export type RequestId = (typeof requestIds)[number];
export type Answers = Readonly<Record<RequestId, CallerResponse>>;

const pathsById: Readonly<Record<RequestId, string>> = {chart: '/chart/1', question: '/question/1', release: '/release/1', chunks: '/lookup/1', length: '/lookup/2'};
const services = ['models', 'orders'] as const;

function answerOf({id, path}: WorkerRequest): WorkerAnswer {
	switch (id) {
		case 'begun':
		case 'chart':
		case 'question': {
			return {type: 'events', count: events, gapMilliseconds};
		}

		case 'chunks':
		case 'length': {
			return {type: 'pieces', count: pieces, bytes: pieceBytes, gapMilliseconds, hasLength: id === 'length'};
		}

		case 'release': {
			return {type: 'whole', body: 'posted', afterMilliseconds: events * gapMilliseconds};
		}

		default: {
			return id.startsWith('broken') ? {type: 'reset'} : otherAnswer(path);
		}
	}
}

function otherAnswer(path: string): WorkerAnswer {
	return path.startsWith('/chart/') ? {type: 'events', count: 1, gapMilliseconds} : {type: 'whole', body: 'ok', afterMilliseconds: gapMilliseconds};
}

/** One endpoint of each service, behind a path, with a request of each kind in progress. */
export class NewsPlay implements AsyncDisposable {
	static async create(): Promise<NewsPlay> {
		const testbed = await Testbed.create({services: [], workersEach: 0});
		const play = new NewsPlay(testbed);
		for (const service of services) {
			const worker = await testbed.addWorker(`${service}-0`, service);
			worker.answer = answerOf;
			const path = await FakePath.create(worker.address);
			play.paths.set(worker.id, path);
			testbed.store.put('keyed.servers', worker.id, worker.beat({address: path.address, seq: 2}));
		}

		await play.#publish(2, {});
		const gateway = await testbed.startGateway({retryRatio: 9});
		await eventually(() => gateway.routingState.table?.version === 2 && services.every(service => gateway.routingState.directory.entries.get(`${service}-0`)?.record.address === play.paths.get(`${service}-0`)!.address));
		return play;
	}

	readonly testbed: Testbed;
	readonly paths = new Map<string, FakePath>();
	#version = 2;
	#offset = 1_000_000;

	private constructor(testbed: Testbed) {
		this.testbed = testbed;
	}

	get gateway(): GatewayProcess {
		return this.testbed.gateways[0]!;
	}

	get workers(): readonly FakePlatformWorker[] {
		return this.testbed.workers.filter(({id}) => id.endsWith('-0'));
	}

	get era(): number {
		return this.gateway.routingState.directory.era;
	}

	/** Records of the endpoints with requests, as the gateway knows them. */
	get records(): readonly EndpointRecord[] {
		return this.workers.flatMap(({id}) => this.gateway.routingState.directory.entries.get(id)?.record ?? []);
	}

	/** Sends the requests, and waits until each has begun at its endpoint and the caller has a part of each stream. */
	async begin(): Promise<{readonly answers: Promise<Answers>}> {
		const sent = requestIds.map(async id => this.testbed.send({path: pathsById[id], method: 'POST', id, body: 'draw', headers: {'deadline-ms': String(deadlineMilliseconds)}}));
		await eventually(() => requestIds.every(id => this.testbed.attemptCount(id) === 1));
		await sleep(gapMilliseconds * 5);
		return {answers: Promise.all(sent).then(responses => Object.fromEntries(requestIds.map((id, index) => [id, responses[index]!])) as Answers)};
	}

	/** Adds an endpoint of each service to which a request may go on. */
	async addReplacements(): Promise<void> {
		for (const service of services) {
			const worker = await this.testbed.addWorker(`${service}-new`, service);
			worker.answer = answerOf;
			await eventually(() => this.gateway.routingState.directory.entries.has(worker.id));
		}
	}

	/** Tells the gateway changes of each endpoint, as if by the store or by another instance. */
	tell(source: 'store' | 'peer', ...changes: ReadonlyArray<'removed' | Partial<EndpointRecord>>): void {
		for (const change of changes) {
			this.#offset += 1;
			const {era} = this;
			const told = this.records.map((record): EndpointChange => change === 'removed'
				? {type: 'removed', era, offset: this.#offset, id: record.id}
				: {type: 'registered', era, offset: this.#offset, record: {...record, revision: record.revision + 1, ...change}});
			this.gateway.routingState.applyEndpointChanges(told, source === 'store' ? 'store' : 'instance other', performance.now());
		}
	}

	/** Publishes a version and waits until it is in force. */
	async publish(more: Readonly<Record<string, unknown>>): Promise<void> {
		this.#version += 1;
		await this.#publish(this.#version, more);
		await eventually(() => this.gateway.routingState.table?.version === this.#version);
	}

	/** Registers the endpoints again with other fields. */
	async register(more: Readonly<Record<string, unknown>>): Promise<void> {
		for (const worker of this.workers) {
			this.testbed.store.put('keyed.servers', worker.id, worker.beat({address: this.paths.get(worker.id)!.address, seq: 20, ...more}));
		}

		await eventually(() => this.records.every(({revision}) => revision === 20));
	}

	/** What a snapshot of the store names: all endpoints but those with requests. */
	get othersRegistered(): readonly EndpointChange[] {
		return [...this.gateway.routingState.directory.entries.values()].filter(({record}) => !record.id.endsWith('-0')).map(({record}) => ({type: 'registered', era: this.era, offset: this.#offset, record}));
	}

	/** Ids of requests that were cut off at their endpoints. */
	get abandoned(): readonly string[] {
		return this.workers.flatMap(({abandoned}) => abandoned).filter(id => requestIds.includes(id as RequestId));
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.testbed[Symbol.asyncDispose]();
		await Promise.all([...this.paths.values()].map(async path => path[Symbol.asyncDispose]()));
	}

	async #publish(version: number, more: Readonly<Record<string, unknown>>): Promise<void> {
		this.testbed.store.put('keyed.op', 'config', plannedState(version, {routes: routesWith({timeoutMs: 20_000}), services: plannedServices, ...more}));
	}
}

export async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** What a caller got in a few words: whole or cut, and how much. */
export function summaryOf({status, body, isComplete}: CallerResponse): string {
	const ids = [...body.matchAll(/^id: (?<id>\d+)$/gmv)].map(({groups}) => Number(groups!.id));
	const isInOrder = ids.every((id, index) => id === index + 1);
	const size = ids.length > 0 ? `${ids.length} events${isInOrder ? '' : ' out of order'}` : `${body.length} bytes`;
	return `${status} ${isComplete ? 'whole' : 'cut'}, ${size}`;
}

const wholeStream = `200 whole, ${events} events`;
const wholeBody = `200 whole, ${pieces * pieceBytes} bytes`;

/** What callers get of endpoints that go on with their work. */
export const wholeAnswers: Readonly<Record<RequestId, string>> = {chart: wholeStream, question: wholeStream, release: '200 whole, 6 bytes', chunks: wholeBody, length: wholeBody};

export function summariesOf(answers: Answers): Readonly<Record<string, string>> {
	return Object.fromEntries(requestIds.map(id => [id, summaryOf(answers[id])]));
}
