import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Body, receive, spawn} from '../../src/concurrency/index.js';
import {EngineClient} from '../../src/endpoint/index.js';
import {type EndpointId, type InstanceId, type TargetName, type ZoneName} from '../../src/model/index.js';
import {createSettings, createTieredScheduler} from '../../src/policy/scheduler/index.js';
import {Side, type SideOptions} from '../../src/side/index.js';
import {createLogger, forPart} from '../../src/telemetry/index.js';
import {type Connection, dial, type Message, type MessageOf, protocolVersion} from '../../src/wire/index.js';

const security = {type: 'plaintext'} as const;

/** Answers one request to the engine, whose id is `request`. */
export type Engine = (request: string, response: ServerResponse) => void;

/** A side between an engine and entries that the test plays. */
export class SidePlay implements AsyncDisposable {
	static async create(engine: Engine, quarantine?: SideOptions<unknown>['quarantine']): Promise<SidePlay> {
		const server = createServer((request: IncomingMessage, response) => {
			request.resume();
			response.writeHead(200, {'content-type': 'text/event-stream'});
			engine(String(request.headers['x-request-id']), response);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const client = EngineClient.create({baseUrl: `http://127.0.0.1:${(server.address() as AddressInfo).port}`});
		const side = await Side.create({
			instance: 'side' as InstanceId, endpoint: 'engine' as EndpointId, zone: 'zone-a' as ZoneName, targets: ['model'] as TargetName[], host: '127.0.0.1', port: 0, security,
			backend: {type: 'engine', client}, scheduler: createTieredScheduler(createSettings()), logger: forPart(createLogger({name: 'side', level: 'fatal'}), 'Side'), catalogueOffset: () => 0, quarantine,
		});
		return new SidePlay(side, [client, {
			async [Symbol.asyncDispose]() {
				server.closeAllConnections();
				server.close();
			},
		}]);
	}

	readonly side: Side;
	readonly #parts: AsyncDisposable[];

	private constructor(side: Side, parts: AsyncDisposable[]) {
		this.side = side;
		this.#parts = parts;
	}

	/** Connects an entry. */
	async connect(): Promise<EntryPlay> {
		const connection = await dial(this.side.address, security);
		connection.send({type: 'hello', protocol: protocolVersion, role: 'entry', instance: 'entry', zone: 'zone-a', catalogueOffset: 0});
		const entry = new EntryPlay(connection);
		this.#parts.unshift(connection);
		return entry;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.side[Symbol.asyncDispose]();
		for (const part of this.#parts) {
			await part[Symbol.asyncDispose]();
		}
	}
}

/** An entry that starts each request once it is offered a slot, and keeps what it receives. */
export class EntryPlay {
	readonly connection: Connection;
	readonly received: Message[] = [];
	#streams = 0;
	readonly #credits = new Map<string, number>();

	constructor(connection: Connection) {
		this.connection = connection;
		void spawn('entry play', () => this.#read());
	}

	/** Reserves a slot; the request starts when it is offered, with a credit of this many events. Returns its stream. */
	reserve(request: string, credit = 1000): number {
		this.#streams += 1;
		this.#credits.set(request, credit);
		this.connection.send({type: 'reserve', stream: this.#streams, request, summary: {
			id: request, workspace: 'w', weight: 1, className: 'c', tier: 1, target: 'model', idempotent: true, firstTokenMilliseconds: 1000, queueMilliseconds: 5000,
			promptTokens: 1, fingerprint: request, prefix: 'p',
		}});
		return this.#streams;
	}

	/** What has been received for a request, of one type. */
	framesOf<Type extends 'chunk' | 'end' | 'fail' | 'refuse'>(request: string, type: Type): Array<MessageOf<Type>> {
		return this.received.filter((message): message is MessageOf<Type> => message.type === type && 'request' in message && message.request === request);
	}

	* #read(): Body<void> {
		for (let messages = yield * receive(this.connection.incoming); messages !== undefined; messages = yield * receive(this.connection.incoming)) {
			this.received.push(...messages);
			for (const message of messages) {
				if (message.type === 'offer') {
					this.connection.send({
						type: 'start', stream: message.stream, request: message.request, method: 'POST', path: '/v1/completions', headers: {}, body: new Uint8Array(), more: false,
						resumeTokens: 0, resumeText: '', credit: this.#credits.get(message.request)!,
					});
				}
			}
		}
	}
}

export function token(request: string, index: number, text = ''): string {
	return `data: ${JSON.stringify({id: request, token_index: index, text})}\n\n`;
}

export function ending(request: string, tokens: number): string {
	return `data: ${JSON.stringify({id: request, usage: {completion_tokens: tokens}})}\n\ndata: [DONE]\n\n`;
}
