import {type CatalogueMessage} from '../platform/index.js';
import {type Message, type MessageOf} from '../wire/index.js';
import {type EntryLink} from './entry-link.js';
import {type RunInput} from './reservation.js';

/** Executes the requests that entries reserve, start and stop; implemented by `RequestExecutor`. */
export type EntryRequests = {
	reserve(link: EntryLink, message: MessageOf<'reserve'>): void;
	withdraw(link: EntryLink, stream: number): void;
	start(link: EntryLink, message: MessageOf<'start'>): void;
	forwardInput(link: EntryLink, message: RunInput): void;
};

/** Receives messages that belong to no request. */
export type PeerMessages = {
	catalogueMessage(link: EntryLink, message: CatalogueMessage): void;
	quarantineRecords(records: MessageOf<'quarantine'>['records']): void;
};

/** Passes a message of an entry to its receiver. A message that entries never send closes the connection. */
export function receiveFromEntry(link: EntryLink, message: Message, requests: EntryRequests, peers: PeerMessages): void {
	switch (message.type) {
		case 'reserve': {
			requests.reserve(link, message);
			break;
		}

		case 'withdraw': {
			requests.withdraw(link, message.stream);
			break;
		}

		case 'start': {
			requests.start(link, message);
			break;
		}

		case 'cancel':
		case 'credit':
		case 'body': {
			requests.forwardInput(link, message);
			break;
		}

		case 'hello':
		case 'heartbeat':
		case 'pull':
		case 'records': {
			peers.catalogueMessage(link, message);
			break;
		}

		case 'quarantine': {
			peers.quarantineRecords(message.records);
			break;
		}

		case 'offer':
		case 'refuse':
		case 'chunk':
		case 'head':
		case 'data':
		case 'end':
		case 'fail':
		case 'state':
		case 'limit-report':
		case 'limit-lease':
		case 'gateway-hello':
		case 'routing-version':
		case 'routing-wanted':
		case 'kept':
		case 'engine-classes':
		case 'endpoint-rate-limit':
		case 'rate-shares-wanted':
		case 'rate-shares-lent':
		case 'request-crashes':
		case 'stream-origins':
		case 'routing':
		case 'endpoints':
		case 'usage':
		case 'duty-holder':
		case 'load': {
			link.connection.close(`an entry sent ${message.type}`);
			break;
		}
	}
}
