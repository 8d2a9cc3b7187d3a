import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {Agent, request as httpRequest, type IncomingHttpHeaders} from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {type GatewayAdapter} from '../../src/bin/gateway-adapter.js';
import {GatewayProcess} from '../../src/bin/gateway-process.js';
import {parseGatewaySettings} from '../../src/settings/gateway/index.js';
import {createLogger} from '../../src/telemetry/index.js';
import {platformAdapter} from '../../platform/adapter.js';
import {desiredState} from '../../fakes/platform-state.js';
import {FakePlatformStore} from '../../fakes/platform-store.js';
import {type ChooseAnswer, FakePlatformWorker} from '../../fakes/platform-worker.js';

/** A response as its caller received it. */
export type CallerResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
	/** False if the connection broke before the end. */
	readonly isComplete: boolean;
	readonly milliseconds: number;
};

export type TestRequest = {
	readonly path?: string;
	readonly method?: string;
	readonly id?: string;
	readonly key?: string;
	readonly body?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly disconnectAfterMilliseconds?: number;
};

/** Retries for each request, so that a failed one is retried although an instance that has just started has no share of the slack. */
const retryRatio = 2;

/** A store, workers and gateways, all on loopback. */
export class Testbed implements AsyncDisposable {
	static async create({services = ['orders', 'models'], workersEach = 2}: {services?: readonly string[]; workersEach?: number} = {}): Promise<Testbed> {
		const testbed = new Testbed(await FakePlatformStore.create());
		for (const service of services) {
			for (let number = 0; number < workersEach; number++) {
				const worker = await FakePlatformWorker.create(`${service}-${number}`, service);
				testbed.workers.push(worker);
				testbed.store.put('keyed.servers', worker.id, worker.beat());
			}
		}

		testbed.store.put('keyed.op', 'config', desiredState(1));
		return testbed;
	}

	readonly store: FakePlatformStore;
	readonly workers: FakePlatformWorker[] = [];
	readonly logLines: Array<Record<string, unknown>> = [];
	readonly gateways: GatewayProcess[] = [];
	readonly #callerAgent = new Agent({keepAlive: true});
	/** Names of instances that have started; one that starts again does not take part in the first start of all. */
	readonly #startedNames = new Set<string>();
	#requestCount = 0;

	private constructor(store: FakePlatformStore) {
		this.store = store;
	}

	/** Starts a gateway and waits until it is ready. */
	async startGateway(overrides: Readonly<Record<string, unknown>> = {}, adapter: GatewayAdapter = platformAdapter): Promise<GatewayProcess> {
		const gateway = await this.createGateway(overrides, adapter);
		await eventually(() => gateway.gateway.isReady);
		return gateway;
	}

	/** Starts a gateway without waiting for its readiness; `overrides` replaces settings. */
	async createGateway(overrides: Readonly<Record<string, unknown>> = {}, adapter: GatewayAdapter = platformAdapter): Promise<GatewayProcess> {
		const {instance = `gateway-${this.gateways.length}`} = overrides as {readonly instance?: string};
		const settings = parseGatewaySettings(JSON.stringify({
			instance, isFirstStart: !this.#startedNames.has(instance), availabilityZone: 'zone-a', callerAddress: '127.0.0.1:0', adminAddress: '127.0.0.1:0',
			peerAddress: `127.0.0.1:${await freePort()}`, storeAddress: this.store.address, memoryMegabytes: 200, retryRatio, ...overrides,
		}));
		this.#startedNames.add(instance);
		const output = {
			write: (line: string) => {
				this.logLines.push(JSON.parse(line) as Record<string, unknown>);
			},
		};
		const gateway = await GatewayProcess.create({settings, adapter, logger: createLogger({name: 'gateway', level: 'info', output})});
		this.gateways.push(gateway);
		return gateway;
	}

	/** Starts another worker and registers it. */
	async addWorker(id: string, service: string): Promise<FakePlatformWorker> {
		const worker = await FakePlatformWorker.create(id, service);
		this.workers.push(worker);
		this.store.put('keyed.servers', worker.id, worker.beat());
		return worker;
	}

	ofService(service: string): FakePlatformWorker[] {
		return this.workers.filter(worker => worker.service === service);
	}

	/** Sets how all workers of a service respond. */
	respondWith(service: string, chooseAnswer: ChooseAnswer): void {
		for (const worker of this.ofService(service)) {
			worker.answer = chooseAnswer;
		}
	}

	/** Sends a request and returns the status of its response. */
	async statusOf(request?: TestRequest, gateway?: GatewayProcess): Promise<number> {
		const {status} = await this.send(request, gateway);
		return status;
	}

	/** Number of attempts that reached a worker for a request, by the caller's request id. */
	attemptCount(id: string): number {
		let count = 0;
		for (const worker of this.workers) {
			count += worker.requests.filter(request => request.id === id).length;
		}

		return count;
	}

	send({path = '/lookup/1', method = 'GET', id, key = 'key-a', body, headers = {}, disconnectAfterMilliseconds}: TestRequest = {}, gateway = this.gateways[0]!): Promise<CallerResponse> {
		this.#requestCount += 1;
		const startedAt = performance.now();
		const [host, port] = gateway.gateway.address.split(':');
		return new Promise(resolve => {
			const clientRequest = httpRequest({
				host, port, method, path, agent: this.#callerAgent,
				headers: {host: 'studio.example', 'request-id': id ?? `r${this.#requestCount}`, authorization: `Bearer ${key}`, 'deadline-ms': '1500', ...headers},
			});
			const finish = (received: Omit<CallerResponse, 'milliseconds'>): void => {
				resolve({...received, milliseconds: performance.now() - startedAt});
			};

			clientRequest.once('response', response => {
				const parts: Uint8Array[] = [];
				response.on('data', (part: Uint8Array) => {
					parts.push(part);
				});
				response.on('close', () => {
					finish({status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(parts).toString(), isComplete: response.complete});
				});
				response.on('error', () => undefined);
			});
			clientRequest.on('error', () => {
				finish({status: 0, headers: {}, body: '', isComplete: false});
			});
			clientRequest.end(body);
			if (disconnectAfterMilliseconds !== undefined) {
				setTimeout(() => {
					clientRequest.destroy();
				}, disconnectAfterMilliseconds);
			}
		});
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#callerAgent.destroy();
		await Promise.all(this.gateways.map(async gateway => gateway[Symbol.asyncDispose]()));
		await Promise.all(this.workers.map(async worker => worker[Symbol.asyncDispose]()));
		await this.store[Symbol.asyncDispose]();
	}
}

/** Waits until a condition holds, and fails after a generous timeout. */
export async function eventually(holds: () => boolean, milliseconds = 10_000): Promise<void> {
	const deadline = performance.now() + milliseconds;
	while (!holds()) {
		if (performance.now() > deadline) {
			throw new Error('Timed out waiting for a condition.');
		}

		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}
}

export async function freePort(): Promise<number> {
	const server = net.createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}
