import {once} from 'node:events';
import net from 'node:net';
import {desiredState} from '../../fakes/platform-state.js';
import {type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {eventually, Testbed} from './testbed.js';

/** How long an endpoint works, and the whole of a stream takes: longer than a change takes to be in force. */
export const workMilliseconds = 1200;
const gapMilliseconds = 100;
/** More than the connection of a caller that does not read can hold. */
const longBody = 'x'.repeat(8 * 1024 * 1024);
const bodyBytes = 2000;

/** A connection of a caller with what it has received. */
export type PlannedConnection = {readonly socket: net.Socket; text: string; isClosed: boolean};

/** What a caller got for one request. */
export type PlannedAnswer = {readonly status: number; readonly isWhole: boolean; readonly runs: number};

/** A request that was brought into a state before the change, and that goes on after it. */
export type PlannedRequest = {readonly name: string; readonly id: string; readonly goOn: () => void; readonly connection: PlannedConnection; readonly isLast: boolean};

export const plannedRoute = {
	host: 'studio.example', timeoutMs: 8000, targetLatencyMs: 300, priority: 1, maxAttempts: 2, public: false, sticky: false, resumable: false,
};

export type PlannedRoute = Readonly<Record<string, unknown>>;

export const plannedRoutes: readonly PlannedRoute[] = [
	{...plannedRoute, name: 'lookup', pathPrefix: '/lookup/', kind: 'safe', service: 'orders', targetLatencyMs: 2000},
	{...plannedRoute, name: 'doubt', pathPrefix: '/doubt/', kind: 'safe', service: 'orders'},
	{...plannedRoute, name: 'release', pathPrefix: '/release/', kind: 'unsafe', service: 'orders', maxAttempts: 1, targetLatencyMs: 2000},
	{...plannedRoute, name: 'scarce', pathPrefix: '/scarce/', kind: 'unsafe', service: 'scarce', maxAttempts: 1, targetLatencyMs: 2000},
	{...plannedRoute, name: 'chart', pathPrefix: '/chart/', kind: 'streaming', service: 'models', resumable: true, gapAimMs: 400},
	{...plannedRoute, name: 'question', pathPrefix: '/question/', kind: 'streaming', service: 'models', maxAttempts: 1, gapAimMs: 400},
];

export const plannedServices = [{name: 'orders', maxConnections: 100}, {name: 'models', maxConnections: 100}, {name: 'scarce', maxConnections: 100}, {name: 'other', maxConnections: 100}];

/** A desired state with the routes and services of this play. */
export function plannedState(version: number, more: Readonly<Record<string, unknown>> = {}): Record<string, unknown> {
	return desiredState(version, {routes: plannedRoutes, services: plannedServices, ...more});
}

/** A gateway with a request in each state that a planned change can meet, each on a connection of its own. */
export class PlannedPlay implements AsyncDisposable {
	static async create({stopSeconds = 8, workMilliseconds: milliseconds = workMilliseconds}: {stopSeconds?: number; workMilliseconds?: number} = {}): Promise<PlannedPlay> {
		const testbed = await Testbed.create({services: ['orders', 'models', 'other'], workersEach: 2});
		const scarce = await testbed.addWorker('scarce-0', 'scarce');
		testbed.store.put('keyed.servers', scarce.id, scarce.beat({slots: 1, seq: 2}));
		testbed.store.put('keyed.op', 'config', plannedState(2));
		const play = new PlannedPlay(testbed, milliseconds);
		for (const worker of testbed.workers) {
			worker.answer = request => play.#answer(request);
		}

		const gateway = await testbed.startGateway({stopSeconds});
		await play.version(2);
		await eventually(() => gateway.routingState.directory.entries.get('scarce-0')?.record.slots === 1);
		return play;
	}

	readonly testbed: Testbed;
	readonly #silenced = new Set<string>();

	readonly #workMilliseconds: number;

	private constructor(testbed: Testbed, milliseconds: number) {
		this.testbed = testbed;
		this.#workMilliseconds = milliseconds;
	}

	/** Waits until a version is in force. */
	async version(version: number): Promise<void> {
		await eventually(() => this.testbed.gateways[0]!.routingState.table?.version === version);
	}

	/** Publishes a version and waits until it is in force. */
	async publish(version: number, more: Readonly<Record<string, unknown>> = {}): Promise<void> {
		this.testbed.store.put('keyed.op', 'config', plannedState(version, more));
		await this.version(version);
	}

	/** Brings one request into each state. */
	async begin(): Promise<readonly PlannedRequest[]> {
		const requests = await Promise.all([
			this.#beginHalf('head half read', 'half-head', text => text.indexOf('Authorization')),
			this.#beginHalf('body half read', 'half-body', text => text.length - (bodyBytes / 2)),
			this.#beginBehind(),
			this.#beginWaiting(),
			this.#beginSent('sent without an answer', 'sent-order', '/release/1'),
			this.#beginSent('sent without an answer, may run again', 'sent-lookup', '/lookup/1'),
			this.#beginStream('stream that may be resumed has begun', 'chart', '/chart/1'),
			this.#beginStream('stream that may not be resumed has begun', 'question', '/question/1'),
			this.#beginLong(),
			this.#beginSilent(),
		]);
		await eventually(() => this.testbed.attemptCount('first') === 1);
		return requests;
	}

	/** Lets all requests go on, and waits for what their callers get. */
	async finish(requests: readonly PlannedRequest[]): Promise<ReadonlyMap<string, PlannedAnswer>> {
		for (const {goOn} of requests) {
			goOn();
		}

		await eventually(() => requests.every(request => isAnswered(request)));
		return new Map(requests.map(request => [request.name, this.#answerOf(request)]));
	}

	/** Waits until the gateway holds nothing of any request; fails if it keeps something. */
	async released(): Promise<void> {
		const {gateway} = this.testbed.gateways[0]!;
		await eventually(() => gateway.openRequests === 0 && gateway.heldBytes.bodies === 0 && gateway.heldBytes.responses === 0);
	}

	/** Ids of requests that were cut off at their endpoint, without the one that was failed over. */
	get abandoned(): readonly string[] {
		return this.testbed.workers.flatMap(({abandoned}) => abandoned).filter(id => id !== 'silent');
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.testbed[Symbol.asyncDispose]();
	}

	async connect(): Promise<PlannedConnection> {
		const [host, port] = this.testbed.gateways[0]!.gateway.address.split(':');
		const connection: PlannedConnection = {socket: net.connect(Number(port), host), text: '', isClosed: false};
		connection.socket.on('data', (bytes: Uint8Array) => {
			connection.text += String(bytes);
		});
		connection.socket.on('error', () => undefined);
		connection.socket.once('close', () => {
			connection.isClosed = true;
		});
		await once(connection.socket, 'connect');
		return connection;
	}

	#answer({id, headers}: WorkerRequest): WorkerAnswer {
		if (id === 'chart' || id === 'question') {
			return {type: 'events', count: this.#workMilliseconds / gapMilliseconds, gapMilliseconds};
		}

		if (id === 'silent' && !this.#silenced.has(id)) {
			this.#silenced.add(id);
			return {type: 'silent'};
		}

		const isQuick = ['silent', 'half-head', 'half-body', 'behind', 'waiting', 'long'].includes(id);
		return {type: 'whole', body: id === 'long' ? longBody : `done for ${String(headers.tenant)}`, afterMilliseconds: isQuick ? 0 : this.#workMilliseconds};
	}

	async #beginHalf(name: string, id: string, splitAt: (text: string) => number): Promise<PlannedRequest> {
		const connection = await this.connect();
		const text = orderOf(id, '/release/1', 'y'.repeat(bodyBytes));
		connection.socket.write(text.slice(0, splitAt(text)));
		const goOn = (): void => {
			connection.socket.write(text.slice(splitAt(text)));
		};

		return {name, id, connection, goOn, isLast: true};
	}

	async #beginBehind(): Promise<PlannedRequest> {
		const connection = await this.connect();
		connection.socket.write(orderOf('first', '/release/1') + orderOf('behind', '/release/1'));
		return {name: 'waiting for its turn on its connection', id: 'behind', connection, goOn: noAction, isLast: false};
	}

	async #beginWaiting(): Promise<PlannedRequest> {
		const before = await this.connect();
		before.socket.write(orderOf('before', '/scarce/1'));
		await eventually(() => this.testbed.attemptCount('before') === 1);
		const connection = await this.connect();
		connection.socket.write(orderOf('waiting', '/scarce/1'));
		return {name: 'waiting for a place', id: 'waiting', connection, goOn: noAction, isLast: true};
	}

	async #beginSent(name: string, id: string, path: string): Promise<PlannedRequest> {
		const connection = await this.connect();
		connection.socket.write(orderOf(id, path));
		await eventually(() => this.testbed.attemptCount(id) === 1);
		return {name, id, connection, goOn: noAction, isLast: true};
	}

	async #beginStream(name: string, id: string, path: string): Promise<PlannedRequest> {
		const request = await this.#beginSent(name, id, path);
		await eventually(() => request.connection.text.includes('id: 1\n'));
		return request;
	}

	/** A response whose caller does not read on. */
	async #beginLong(): Promise<PlannedRequest> {
		const request = await this.#beginSent('answer read slowly', 'long', '/lookup/1');
		await eventually(() => request.connection.text.length > 0);
		request.connection.socket.pause();
		const goOn = (): void => {
			request.connection.socket.resume();
		};

		return {...request, goOn};
	}

	async #beginSilent(): Promise<PlannedRequest> {
		return this.#beginSent('silent endpoint about to be failed over', 'silent', '/doubt/1');
	}

	#answerOf({id, connection: {text}, isLast}: PlannedRequest): PlannedAnswer {
		const answer = isLast ? text : text.slice(text.lastIndexOf('HTTP/1.1 '));
		return {status: Number(answer.slice(9, 12)), isWhole: isWhole(answer), runs: this.testbed.attemptCount(id)};
	}
}

/** All routes with other values for some fields. */
export function routesWith(fields: Readonly<Record<string, unknown>>): ReadonlyArray<Readonly<Record<string, unknown>>> {
	return plannedRoutes.map(route => ({...route, ...fields}));
}

export type PlannedChange = {
	readonly name: string;
	readonly apply: (play: PlannedPlay) => Promise<void>;
	/** The status of the request whose headers end after the change, if it is not served. */
	readonly refusal?: number;
};

/** One version that follows the one under which the requests were sent. */
export function version(name: string, state: Readonly<Record<string, unknown>>, refusal?: number): PlannedChange {
	return {name, apply: async play => play.publish(3, state), ...(refusal !== undefined && {refusal})};
}

const served: PlannedAnswer = {status: 200, isWhole: true, runs: 1};

/** What callers get if nothing is lost: all are served by the version in force at their arrival; only that whose headers end after the change may be refused. */
export function expectedAnswers(requests: readonly PlannedRequest[], refusal?: number): ReadonlyMap<string, PlannedAnswer> {
	return new Map(requests.map(({name, id}) => {
		const isRefused = id === 'half-head' && refusal !== undefined;
		return [name, isRefused ? {status: refusal, isWhole: true, runs: 0} : {...served, runs: id === 'silent' ? 2 : 1}];
	}));
}

function noAction(): void {
	// The request needs nothing of its caller any more.
}

export function orderOf(id: string, path: string, body = 'hi'): string {
	return `POST ${path} HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: ${id}\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: 8000\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

function isAnswered({connection: {text, isClosed}, isLast}: PlannedRequest): boolean {
	const answers = text.split(/(?=HTTP\/1\.1 \d)/v).filter(part => part !== '');
	return isClosed || (answers.length === (isLast ? 1 : 2) && answers.every(answer => isWhole(answer)));
}

/** Whether a response is complete by its own framing. */
function isWhole(answer: string): boolean {
	const headEnd = answer.indexOf('\r\n\r\n');
	const length = /^content-length: (?<length>\d+)/imv.exec(answer.slice(0, headEnd))?.groups?.length;
	return headEnd !== -1 && (length === undefined ? answer.endsWith('\r\n0\r\n\r\n') : answer.length - headEnd - 4 === Number(length));
}
