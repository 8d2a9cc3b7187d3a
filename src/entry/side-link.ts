import {type CatalogueMessage} from '../platform/index.js';
import {type Body, type Channel, deliver, receive, tryDeliver} from '../concurrency/index.js';
import {createFailure, type EndpointId, FailureKind, type RequestId, type TargetName, Verdict, type ZoneName} from '../model/index.js';
import {isGatewayMessage, type Connection, type Message, type MessageOf, protocolVersion, type StreamMessage} from '../wire/index.js';
import {type RequestEvent} from './request-event.js';
import {type SideIdentity} from './side-identity.js';

/** Receives the events of a link; implemented by the fleet that the link belongs to. */
export type SideLinkOwner = {
	/** The side's identity arrived, or its load or phase changed. */
	sideUpdated(link: SideLink): void;
	/** The connection to the side ended. */
	sideLost(link: SideLink): void;
	/** A message that belongs to no request: hello, catalogue records and heartbeats. */
	peerMessageReceived(link: SideLink, message: CatalogueMessage): void;
	/** Records of requests that crashed endpoints. */
	quarantineReceived(records: MessageOf<'quarantine'>['records']): void;
};

type OpenStream = {readonly request: RequestId; readonly inbox: Channel<RequestEvent>};

/**
 * The connection to one side (the sidecar process of one endpoint), with its open streams. A frame is
 * delivered to a request's inbox only if its stream number and its request id match an open stream; other
 * frames are dropped and counted.
 */
export class SideLink {
	static create(connection: Connection): SideLink {
		return new SideLink(connection);
	}

	identity: SideIdentity | undefined;
	state: MessageOf<'state'> | undefined;
	/** Frames for a stream that is not open; expected after a withdrawal. */
	staleFrames = 0;
	/** Frames whose request id differs from the stream's; always a fault, after which the stream's request is ended. */
	foreignFrames = 0;
	readonly #connection: Connection;
	readonly #streams = new Map<number, OpenStream>();
	#nextStream = 0;

	private constructor(connection: Connection) {
		this.#connection = connection;
	}

	get isOpen(): boolean {
		return this.#connection.isOpen;
	}

	/** Opens a stream for a request; its frames are delivered to `inbox` until `closeStream`. */
	openStream(request: RequestId, inbox: Channel<RequestEvent>): number {
		this.#nextStream += 1;
		this.#streams.set(this.#nextStream, {request, inbox});
		this.#connection.setBusy(true);
		return this.#nextStream;
	}

	/** Closes a stream; frames that arrive for it later are dropped. */
	closeStream(stream: number): void {
		this.#streams.delete(stream);
		this.#connection.setBusy(this.#streams.size > 0);
	}

	/** Sends a heartbeat if one is due; `connections` is the number of connections of the process. */
	sendHeartbeatIfDue(catalogueOffset: number, connections: number): void {
		if (this.#connection.takeHeartbeat(connections)) {
			this.send({type: 'heartbeat', catalogueOffset});
		}
	}

	send(message: Message): void {
		this.#connection.send(message);
	}

	close(reason: string): void {
		this.#connection.close(reason);
	}

	/** Reads until the connection ends, then sends `link-lost` to every open stream. */
	* read(owner: SideLinkOwner): Body<void> {
		for (;;) {
			const messages = yield * receive(this.#connection.incoming);
			if (messages === undefined) {
				break;
			}

			for (const message of messages) {
				this.#handleMessage(message, owner);
			}
		}

		owner.sideLost(this);
		for (const {inbox} of this.#streams.values()) {
			tryDeliver(inbox, {type: 'link-lost', link: this});
		}

		this.#streams.clear();
	}

	#handleMessage(message: Message, owner: SideLinkOwner): void {
		if ('stream' in message) {
			this.#routeFrame(message);
			return;
		}

		if (message.type === 'state') {
			this.state = message;
			owner.sideUpdated(this);
			return;
		}

		if (message.type === 'limit-report' || message.type === 'limit-lease' || isGatewayMessage(message)) {
			this.close(`unexpected message from a side: ${message.type}`);
			return;
		}

		if (message.type === 'quarantine') {
			owner.quarantineReceived(message.records);
			return;
		}

		if (message.type === 'hello') {
			this.#acceptHello(message);
			owner.sideUpdated(this);
		}

		owner.peerMessageReceived(this, message);
	}

	#acceptHello(message: MessageOf<'hello'>): void {
		if (message.role !== 'side' || message.protocol !== protocolVersion || message.endpoint === undefined) {
			this.close('the hello is not from a side of this protocol version');
			return;
		}

		this.identity = {
			instance: message.instance, endpoint: message.endpoint as EndpointId, zone: message.zone as ZoneName, targets: (message.targets ?? []) as TargetName[],
		};
	}

	#routeFrame(message: StreamMessage): void {
		const open = this.#streams.get(message.stream);
		if (open === undefined) {
			this.staleFrames += 1;
			return;
		}

		if (open.request !== message.request) {
			this.foreignFrames += 1;
			this.#endStream(message.stream, open, 'The side sent a frame of another request.');
			return;
		}

		if (!tryDeliver(open.inbox, {type: 'frame', link: this, message})) {
			this.#endStream(message.stream, open, 'The side sent more than it was granted.');
		}
	}

	/** Ends one stream whose frames are at fault. Each frame of the others is checked by itself, so they go on. */
	#endStream(stream: number, {request, inbox}: OpenStream, reason: string): void {
		this.send({type: 'withdraw', stream, request});
		const failure = createFailure(FailureKind.badAnswer, reason, {verdict: Verdict.mayHaveRun});
		this.closeStream(stream);
		deliver(inbox, {type: 'frame', link: this, message: {type: 'fail', stream, request, ...failure}}, ignoreAccepted);
	}
}

/** The failure of a full inbox waits in it for its turn; nothing waits for that. */
function ignoreAccepted(): void {
	// Intentionally empty.
}
