import {type z} from 'zod';
import {HttpCaller, type MembershipClient} from '../platform/index.js';

/** One instance's answer, or why there is none. */
export type Answer<Value>
	= | {readonly type: 'answered'; readonly url: string; readonly value: Value}
		| {readonly type: 'silent'; readonly url: string; readonly reason: string};

const askTimeoutMilliseconds = 2000;
const askedAtOnce = 32;

/** The admin addresses to ask: those named, or else those of the membership list. */
export async function findInstances(named: readonly string[], members: MembershipClient | undefined): Promise<readonly string[]> {
	if (named.length > 0 || !members) {
		return named;
	}

	const list = await members.list();
	return list.flatMap(member => member.admin === undefined ? [] : [`http://${member.admin}`]);
}

export type Question<Value> = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body?: unknown;
	readonly schema: z.ZodType<Value>;
};

/** Asks every instance, a bounded number at a time; an instance that does not answer is told as silent. */
export async function askInstances<Value>(urls: readonly string[], question: Question<Value>): Promise<ReadonlyArray<Answer<Value>>> {
	const waiting = [...urls.entries()];
	const answers: Array<Answer<Value>> = [];
	const worker = async (): Promise<void> => {
		for (let next = waiting.shift(); next; next = waiting.shift()) {
			const [index, url] = next;
			answers[index] = await ask(url, question);
		}
	};

	await Promise.all(Array.from({length: Math.min(askedAtOnce, urls.length)}, worker));
	return answers;
}

async function ask<Value>(url: string, {method, path, body, schema}: Question<Value>): Promise<Answer<Value>> {
	await using caller = HttpCaller.create({baseUrl: url, timeoutMilliseconds: askTimeoutMilliseconds});
	try {
		const answer = await caller.call({method, path, body});
		return {type: 'answered', url, value: schema.parse(answer.body)};
	} catch (error) {
		return {type: 'silent', url, reason: error instanceof Error ? error.message : String(error)};
	}
}

/** The answers that came. */
export function answered<Value>(answers: ReadonlyArray<Answer<Value>>): readonly Value[] {
	return answers.flatMap(answer => answer.type === 'answered' ? [answer.value] : []);
}

/** One line for each instance that did not answer. */
export function describeSilent(answers: ReadonlyArray<Answer<unknown>>): readonly string[] {
	return answers.flatMap(answer => answer.type === 'silent' ? [`No answer from ${answer.url}: ${answer.reason}`] : []);
}
