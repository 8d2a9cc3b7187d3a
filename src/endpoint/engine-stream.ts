import {type IncomingMessage} from 'node:http';
import {createParser} from 'eventsource-parser';
import {type Failure} from '../model/index.js';
import {AnswerChecker, badAnswer} from './answer-checker.js';
import {type EngineEvent} from './engine-event.js';
import {EventQueue} from './event-queue.js';
import {lostCall} from './open-call.js';

export type EngineStreamSettings = {
	readonly response: IncomingMessage;
	readonly requestId: string;
	/** The number of the first token that is due. */
	readonly first: number;
	readonly silenceMilliseconds: number;
	readonly signal?: AbortSignal;
};

/** Yields the checked events of an answer, one array a turn; the last event is `done` or `failed`. */
export async function * readEngineStream(settings: EngineStreamSettings): AsyncGenerator<EngineEvent[]> {
	const {response, silenceMilliseconds} = settings;
	const queue = EventQueue.create();
	listen(settings, queue);
	try {
		for (;;) {
			const turn = await queue.take(silenceMilliseconds);
			switch (turn.type) {
				case 'events': {
					yield turn.events;
					response.resume();
					break;
				}

				case 'silent': {
					yield [{type: 'failed', failure: badAnswer(`The engine sent nothing for ${silenceMilliseconds} ms.`)}];
					return;
				}

				case 'ended': {
					return;
				}
			}
		}
	} finally {
		// A whole answer has been read to its end, and its connection is used again. Any other is cut: that cancels it.
		if (!response.complete) {
			response.destroy();
		}
	}
}

function listen({response, requestId, first, signal}: EngineStreamSettings, queue: EventQueue): void {
	const checker = AnswerChecker.create(requestId, first);
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
		fail(badAnswer('The engine ended its answer early.'));
	});
	response.on('error', error => {
		fail(lostCall(error, true, signal));
	});
	response.on('close', () => {
		fail(lostCall(new Error('closed'), true, signal));
	});
}
