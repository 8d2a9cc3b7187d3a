import {type Message, type MessageOf} from '../wire/index.js';
import {type CatalogueFollower} from './catalogue-follower.js';

/**
 * Handles the messages by which two connected processes synchronize their catalogues. Every hello and
 * heartbeat carries the sender's offset; a process that receives a higher offset than its own pulls the
 * missing records, so changes propagate while the log is unavailable.
 */
export function handleCatalogueMessage(follower: CatalogueFollower, message: CatalogueMessage, reply: (message: Message) => void): void {
	switch (message.type) {
		case 'hello':
		case 'heartbeat': {
			const {offset} = follower.current();
			if (message.catalogueOffset > offset) {
				reply({type: 'pull', from: offset + 1});
			}

			break;
		}

		case 'pull': {
			reply({type: 'records', ...copyRecords(follower, message.from)});
			break;
		}

		case 'records': {
			follower.applyPeerRecords(message);
			break;
		}
	}
}

/** The messages that concern the catalogue. */
export type CatalogueMessage = MessageOf<'hello' | 'heartbeat' | 'pull' | 'records'>;

function copyRecords(follower: CatalogueFollower, from: number): {snapshot: boolean; records: Array<{offset: number; time: number; value: string}>} {
	const {snapshot, records} = follower.recordsFrom(from);
	return {snapshot, records: records.map(record => ({...record}))};
}
