import {type CatalogueMessage} from '../platform/index.js';
import {type Body, type Channel, receive, tryDeliver} from '../concurrency/index.js';
import {type EndpointId, type RequestId, type TargetName, type ZoneName} from '../model/index.js';
import {isGatewayMessage, type Connection, type Message, type MessageOf, protocolVersion, type StreamMessage} from '../wire/index.js';
import {type RequestEvent} from './request-event.js';

/** What a link tells the fleet it belongs to. */
export type SideLinkOwner = {
	/** The side said who it is, or its load or phase changed. */
	sideSeen(link: SideLink): void;
	sideLost(link: SideLink): void;
	/** A message about no request: catalogue records and heartbeats. */
	peerMessage(link: SideLink, message: CatalogueMessage): void;
	/** Records of crashes by requests. */
	quarantineHeard(records: MessageOf<'quarantine'>['records']): void;
};

type OpenStream = {readonly request: RequestId; readonly inbox: Channel<RequestEvent>};

/** What the side says of itself. */
export type SideIdentity = {readonly instance: string; readonly endpoint: EndpointId; readonly zone: ZoneName; readonly targets: readonly TargetName[]};

/**
 * The connection to one side, with its open streams. A frame reaches a request's inbox only if both
 * its stream number and its request id are those of the stream; anything else is dropped and counted.
 */
export class SideLink {
	static create(connection: Connection): SideLink {
		return new SideLink(connection);
	}

	identity: SideIdentity | undefined;
	state: MessageOf<'state'> | undefined;
	/** Frames for a stream that is not open: usual after a withdrawal. */
	staleFrames = 0;
	/** Frames whose request id is not the stream's: always a fault. */
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

	/** Opens a stream for a request; its frames go to `inbox` until `closeStream`. */
	openStream(request: RequestId, inbox: Channel<RequestEvent>): number {
		this.#nextStream += 1;
		this.#streams.set(this.#nextStream, {request, inbox});
		this.#connection.setBusy(true);
		return this.#nextStream;
	}

	/** Nothing that comes for this stream from now on reaches anyone. */
	closeStream(stream: number): void {
		this.#streams.delete(stream);
		this.#connection.setBusy(this.#streams.size > 0);
	}

	/** Sends a heartbeat if one is due on one of so many connections. */
	beat(catalogueOffset: number, connections: number): void {
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

	/** Reads until the connection ends; every open stream is then told so. */
	* read(owner: SideLinkOwner): Body<void> {
		for (;;) {
			const messages = yield * receive(this.#connection.incoming);
			if (messages === undefined) {
				break;
			}

			for (const message of messages) {
				this.#accept(message, owner);
			}
		}

		owner.sideLost(this);
		for (const {inbox} of this.#streams.values()) {
			tryDeliver(inbox, {type: 'link-lost', link: this});
		}

		this.#streams.clear();
	}

	#accept(message: Message, owner: SideLinkOwner): void {
		if ('stream' in message) {
			this.#route(message);
			return;
		}

		if (message.type === 'state') {
			this.state = message;
			owner.sideSeen(this);
			return;
		}

		if (message.type === 'limit-report' || message.type === 'limit-lease' || isGatewayMessage(message)) {
			this.close(`a side sent ${message.type}`);
			return;
		}

		if (message.type === 'quarantine') {
			owner.quarantineHeard(message.records);
			return;
		}

		if (message.type === 'hello') {
			this.#greet(message);
			owner.sideSeen(this);
		}

		owner.peerMessage(this, message);
	}

	#greet(message: MessageOf<'hello'>): void {
		if (message.role !== 'side' || message.protocol !== protocolVersion || message.endpoint === undefined) {
			this.close('no hello from a side of this protocol version');
			return;
		}

		this.identity = {
			instance: message.instance, endpoint: message.endpoint as EndpointId, zone: message.zone as ZoneName, targets: (message.targets ?? []) as TargetName[],
		};
	}

	#route(message: StreamMessage): void {
		const open = this.#streams.get(message.stream);
		if (open === undefined) {
			this.staleFrames += 1;
			return;
		}

		if (open.request !== message.request) {
			this.foreignFrames += 1;
			this.close('a frame for another request');
			return;
		}

		if (!tryDeliver(open.inbox, {type: 'frame', link: this, message})) {
			this.close('more frames than the credit allows');
		}
	}
}
