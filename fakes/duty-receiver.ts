import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';

/** A fault of one call: it is refused, it gets no response, or it gets none and is carried out later. */
export type ReceiverFault = 'busy' | 'silent' | 'execute-late';

/** A call that was carried out at a time of the monotonic clock, in the order in which that happened. */
export type ReceivedCall = {readonly at: number; readonly path: string; readonly holder: string; readonly token: number; readonly body: unknown; readonly status: number};

export type ChooseReceiverFault = (path: string) => ReceiverFault | undefined;

const noFault: ChooseReceiverFault = () => undefined;
const lateMilliseconds = 1500;

/** A stand-in for the platform's address at which one holder at a time reports and orders; it checks fencing tokens or does not. */
export class FakeDutyReceiver implements AsyncDisposable {
	static async create({checksFences = true}: {readonly checksFences?: boolean} = {}): Promise<FakeDutyReceiver> {
		const receiver = new FakeDutyReceiver(checksFences);
		receiver.#server.listen(0, '127.0.0.1');
		await once(receiver.#server, 'listening');
		return receiver;
	}

	readonly calls: ReceivedCall[] = [];
	/** Chooses the fault of a call by its path. */
	fault: ChooseReceiverFault = noFault;
	readonly #checksFences: boolean;
	/** The highest token of each subject. */
	readonly #tokens = new Map<string, number>();
	readonly #server: Server = createServer((request, response) => {
		void this.#answer(request, response);
	});

	private constructor(checksFences: boolean) {
		this.#checksFences = checksFences;
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body: unknown = JSON.parse(await text(request));
		const path = request.url ?? '/';
		const call = {path, holder: String(request.headers['duty-holder']), token: Number(request.headers['fencing-token']), body};
		switch (this.fault(path)) {
			case 'busy': {
				response.writeHead(429).end();
				return;
			}

			case 'silent': {
				return;
			}

			case 'execute-late': {
				setTimeout(() => {
					this.#execute(call);
				}, lateMilliseconds);
				return;
			}

			case undefined: {
				response.writeHead(this.#execute(call)).end();
			}
		}
	}

	#execute(call: Omit<ReceivedCall, 'status' | 'at'>): number {
		const subject = call.path === '/usage' ? call.path : JSON.stringify([call.path, (call.body as {service?: string}).service, (call.body as {zone?: string}).zone]);
		const highest = this.#tokens.get(subject) ?? 0;
		const status = this.#checksFences && call.token < highest ? 409 : 200;
		this.#tokens.set(subject, Math.max(highest, call.token));
		this.calls.push({...call, status, at: performance.now()});
		return status;
	}
}
