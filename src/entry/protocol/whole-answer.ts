import {type ServerResponse} from 'node:http';
import {createFailure, type Failure, FailureKind, Verdict} from '../../model/index.js';
import {type Answer} from './answer.js';
import {AnswerCollector, type AnswerKind} from './collector.js';
import {sendFailure} from './failure-response.js';
import {HeaderName} from './headers.js';

type WholeOptions = {
	readonly requestId: string;
	readonly kind: AnswerKind;
};

/** Joins an answer's events and writes them as one object. Nothing goes out before the last event. */
export class WholeAnswer implements Answer {
	static create(response: ServerResponse, options: WholeOptions): WholeAnswer {
		return new WholeAnswer(response, options);
	}

	readonly #response: ServerResponse;
	readonly #options: WholeOptions;
	readonly #collector: AnswerCollector;
	#ended = false;

	private constructor(response: ServerResponse, options: WholeOptions) {
		this.#response = response;
		this.#options = options;
		this.#collector = AnswerCollector.create(options.kind);
	}

	get started(): boolean {
		return this.#response.headersSent;
	}

	write(events: readonly string[]): boolean {
		if (this.#ended) {
			return true;
		}

		for (const event of events) {
			if (!this.#collector.add(event)) {
				this.fail(createFailure(FailureKind.badAnswer, 'The engine sent an event that is not of the published shape.', {verdict: Verdict.mayHaveRun}));
				return true;
			}
		}

		return true;
	}

	/** Nothing is written before the end, so there is nothing to wait for. */
	drained(): Promise<void> {
		return Promise.resolve();
	}

	finish(usage?: string): void {
		if (this.#ended || this.#response.destroyed) {
			return;
		}

		this.#ended = true;
		this.#response.writeHead(200, {'Content-Type': 'application/json', [HeaderName.requestId]: this.#options.requestId});
		this.#response.end(JSON.stringify(this.#collector.join(this.#options.requestId, usage)));
	}

	fail(failure: Failure): void {
		if (this.#ended) {
			return;
		}

		this.#ended = true;
		sendFailure(this.#response, failure, this.#options.requestId);
	}
}
