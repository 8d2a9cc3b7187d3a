import {once} from 'node:events';
import net from 'node:net';
import {keyOf, planCatalogue} from '../../bench/harness/catalogue.js';
import {LocalFleet, until} from '../../bench/harness/local-fleet.js';
import {type FakeService} from '../../fakes/index.js';
import {type Entry} from '../../src/entry/index.js';

const workspace = 'stickwerk';
const model = 'model';
/** How long a call of the service takes. */
export const workMilliseconds = 300;
const stepMilliseconds = 20;

/** One entry with a service whose calls take a while, and an engine. */
export class Testbed implements AsyncDisposable {
	static async create(): Promise<Testbed> {
		const fleet = await LocalFleet.create({
			entries: 1, endpoints: 1, zones: ['zone-a'], models: [model], random: () => 0.5, logLevel: 'fatal', costs: {stepMilliseconds},
		});
		const service = await fleet.addService('kitchen', 'zone-a');
		service.faults.workMilliseconds = workMilliseconds;
		await fleet.publish([...planCatalogue([model], [workspace]), ...['kitchen', 'pantry'].map(name => ({kind: 'service' as const, name, owner: 'platform', idempotentMethods: ['GET' as const]}))]);
		const testbed = new Testbed(fleet, service);
		await until(() => testbed.entry.fleet.connected.length === 2);
		return testbed;
	}

	readonly service: FakeService;
	readonly #fleet: LocalFleet;

	private constructor(fleet: LocalFleet, service: FakeService) {
		this.#fleet = fleet;
		this.service = service;
	}

	get entry(): Entry<any> {
		return this.#fleet.entries[0]!.entry;
	}

	runsOf(body: string): number {
		return this.service.runsByBody.get(body) ?? 0;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#fleet[Symbol.asyncDispose]();
	}
}

export type Connection = {readonly socket: net.Socket; text: string; isClosed: boolean};

export async function connect({entry}: Testbed): Promise<Connection> {
	const [host, port] = entry.address.split(':');
	const connection: Connection = {socket: net.connect(Number(port), host), text: '', isClosed: false};
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

export function headOf(method: string, path: string): string {
	return `${method} ${path} HTTP/1.1\r\nHost: studio.example\r\nAuthorization: Bearer ${keyOf(workspace)}\r\nContent-Type: application/json\r\n`;
}

/** A call that may run once. */
export function orderOf(body: string): string {
	return `${headOf('POST', '/services/kitchen/tickets')}Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** A call that may run again. */
export function lookupOf(body: string): string {
	return orderOf(body).replace('POST', 'GET');
}

export function streamOf(tokens: number): string {
	const body = JSON.stringify({model, stream: true, messages: [{role: 'user', content: `Behind [[tokens=${tokens}]]`}]});
	return `${headOf('POST', '/v1/chat/completions')}Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** The responses of a connection in their order: the status, and the body that an order or a lookup had. */
export function answersOf({text}: Connection): Array<{status: number; of: string | undefined}> {
	return text.split(/(?=HTTP\/1\.1 \d)/v).filter(part => part !== '').map(part => ({
		status: Number(part.slice(9, 12)), of: /"body":"(?<body>\w+)"/v.exec(part)?.groups?.body,
	}));
}
