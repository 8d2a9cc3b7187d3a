import {request as httpRequest} from 'node:http';

/** A kind of request, with what its callers want of it. */
export type Kind = {
	readonly name: string;
	/** Its part of all requests. */
	readonly share: number;
	readonly bodyBytes: number;
	/** From the caller's first try to the first byte of the answer. */
	readonly targetMilliseconds: number;
	/** The caller leaves then. */
	readonly deadlineMilliseconds: number;
};

/** What a caller got in the end, and what it met on the way. */
export type CallerResult = {
	readonly kind: Kind;
	readonly startedAt: number;
	readonly outcome: 'in-target' | 'late' | 'refused' | 'failed';
	readonly tries: number;
	/** Of its refusals: the part of its time that was left, by its own clock. */
	readonly leftShares: readonly number[];
};

type Answer = {readonly type: 'whole'; readonly firstByteAt: number} | {readonly type: 'refused'; readonly retryAfterMilliseconds: number} | {readonly type: 'failed'};

/** Sends a request on a connection of its own, and once more after a refusal, at the time that the refusal names. */
export async function call(port: number, kind: Kind, id: string): Promise<CallerResult> {
	const startedAt = performance.now();
	const leftShares: number[] = [];
	const leftMilliseconds = (): number => startedAt + kind.deadlineMilliseconds - performance.now();
	for (let tries = 1; ; tries++) {
		const answer = await tryOnce(port, kind, {id: `${id}-${tries}`, leftMilliseconds: leftMilliseconds()});
		if (answer.type === 'whole') {
			return {kind, startedAt, tries, leftShares, outcome: answer.firstByteAt - startedAt <= kind.targetMilliseconds ? 'in-target' : 'late'};
		}

		if (answer.type === 'failed') {
			return {kind, startedAt, tries, leftShares, outcome: 'failed'};
		}

		leftShares.push(leftMilliseconds() / kind.deadlineMilliseconds);
		if (tries > 1 || leftMilliseconds() <= answer.retryAfterMilliseconds) {
			return {kind, startedAt, tries, leftShares, outcome: 'refused'};
		}

		await sleep(answer.retryAfterMilliseconds);
	}
}

async function tryOnce(port: number, {name, bodyBytes}: Kind, {id, leftMilliseconds}: {id: string; leftMilliseconds: number}): Promise<Answer> {
	return new Promise(resolve => {
		const sent = httpRequest({
			host: '127.0.0.1', port, method: 'POST', path: `/${name}/1`, agent: false,
			headers: {host: 'studio.example', 'request-id': id, authorization: 'Bearer key-a', 'deadline-ms': String(Math.max(1, Math.floor(leftMilliseconds)))},
		});
		const timer = setTimeout(() => {
			sent.destroy();
		}, leftMilliseconds);
		let answer: Answer = {type: 'failed'};
		sent.once('response', response => {
			const firstByteAt = performance.now();
			response.resume();
			response.on('error', () => undefined);
			response.once('end', () => {
				answer = answerOf(response.statusCode, response.headers['retry-after'], firstByteAt);
			});
		});
		sent.on('error', () => undefined);
		sent.once('close', () => {
			clearTimeout(timer);
			resolve(answer);
		});
		sent.end('x'.repeat(bodyBytes));
	});
}

function answerOf(status: number | undefined, retryAfter: string | undefined, firstByteAt: number): Answer {
	if (status === 200) {
		return {type: 'whole', firstByteAt};
	}

	return status === 503 ? {type: 'refused', retryAfterMilliseconds: Number(retryAfter ?? 0) * 1000} : {type: 'failed'};
}

export async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
