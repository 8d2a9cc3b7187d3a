import {type Message, type MessageOf} from '../wire/index.js';
import {type CatalogueFollower} from './catalogue-follower.js';

/**
 * The part of a conversation between two of our processes that spreads the catalogue. Every hello
 * and heartbeat carries the sender's offset; whoever sees a higher one than its own pulls from
 * there, so a change goes on spreading while the log is down.
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
			follower.accept(message);
			break;
		}
	}
}

/** The messages of that conversation. */
export type CatalogueMessage = MessageOf<'hello' | 'heartbeat' | 'pull' | 'records'>;

function copyRecords(follower: CatalogueFollower, from: number): {snapshot: boolean; records: Array<{offset: number; time: number; value: string}>} {
	const {snapshot, records} = follower.recordsFrom(from);
	return {snapshot, records: records.map(record => ({...record}))};
}
