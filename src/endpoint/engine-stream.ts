import {type IncomingMessage} from 'node:http';
import {createParser} from 'eventsource-parser';
import {type Failure} from '../model/index.js';
import {ResponseChecker, createBadResponseFailure} from './response-checker.js';
import {type EngineEvent} from './engine-event.js';
import {EventQueue} from './event-queue.js';
import {createConnectionFailure} from './open-call.js';

export type EngineStreamSettings = {
	readonly response: IncomingMessage;
	readonly requestId: string;
	/** The expected index of the first token. */
	readonly firstIndex: number;
	readonly idleTimeoutMilliseconds: number;
	readonly signal?: AbortSignal;
};

/** Yields the checked events of a response, one array for each turn of the event loop; the last event is `done` or `failed`. */
export async function * readEngineStream(settings: EngineStreamSettings): AsyncGenerator<EngineEvent[]> {
	const {response, idleTimeoutMilliseconds} = settings;
	const queue = EventQueue.create();
	listen(settings, queue);
	try {
		for (;;) {
			const result = await queue.take(idleTimeoutMilliseconds);
			switch (result.type) {
				case 'events': {
					yield result.events;
					response.resume();
					break;
				}

				case 'silent': {
					yield [{type: 'failed', failure: createBadResponseFailure(`The engine sent nothing for ${idleTimeoutMilliseconds} ms.`)}];
					return;
				}

				case 'ended': {
					return;
				}
			}
		}
	} finally {
		// A complete response has been read to its end, and its connection is reused. Otherwise closing the connection cancels the call.
		if (!response.complete) {
			response.destroy();
		}
	}
}

function listen({response, requestId, firstIndex, signal}: EngineStreamSettings, queue: EventQueue): void {
	const checker = ResponseChecker.create(requestId, firstIndex);
	const fail = (failure: Failure): void => {
		queue.push({type: 'failed', failure});
		queue.end();
	};

	const parser = createParser({
		onEvent({data}) {
			const event = queue.isEnded ? undefined : checker.check(data);
			if (event === undefined) {
				return;
			}

			queue.push(event);
			if (event.type === 'done' || event.type === 'failed') {
				queue.end();
			}
		},
	});
	response.setEncoding('utf8');
	response.on('data', (text: string) => {
		parser.feed(text);
		if (queue.isFull && !queue.isEnded) {
			response.pause();
		}
	});
	response.on('end', () => {
		fail(createBadResponseFailure('The engine ended its response early.'));
	});
	response.on('error', error => {
		fail(createConnectionFailure(error, true, signal));
	});
	response.on('close', () => {
		fail(createConnectionFailure(new Error('closed'), true, signal));
	});
}
