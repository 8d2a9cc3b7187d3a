import {type z} from 'zod';
import {HttpCaller, type MembershipClient} from '../platform/index.js';

/** The response of one instance, or the reason why there is none. */
export type InstanceResponse<Value>
	= | {readonly type: 'answered'; readonly url: string; readonly value: Value}
		| {readonly type: 'silent'; readonly url: string; readonly reason: string};

const requestTimeoutMilliseconds = 2000;
const maximumConcurrentRequests = 32;

/** Returns the base URLs of the admin ports to query: those given, or those of the membership list. */
export async function findInstances(givenUrls: readonly string[], members: MembershipClient | undefined): Promise<readonly string[]> {
	if (givenUrls.length > 0 || !members) {
		return givenUrls;
	}

	const list = await members.list();
	return list.flatMap(member => member.admin === undefined ? [] : [`http://${member.admin}`]);
}

export type InstanceRequest<Value> = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body?: unknown;
	readonly schema: z.ZodType<Value>;
};

/** Sends a request to every instance, a bounded number at a time. An instance that does not respond is reported with type `silent`. */
export async function queryInstances<Value>(urls: readonly string[], request: InstanceRequest<Value>): Promise<ReadonlyArray<InstanceResponse<Value>>> {
	const queue = [...urls.entries()];
	const responses: Array<InstanceResponse<Value>> = [];
	const worker = async (): Promise<void> => {
		for (let next = queue.shift(); next; next = queue.shift()) {
			const [index, url] = next;
			responses[index] = await send(url, request);
		}
	};

	await Promise.all(Array.from({length: Math.min(maximumConcurrentRequests, urls.length)}, worker));
	return responses;
}

async function send<Value>(url: string, {method, path, body, schema}: InstanceRequest<Value>): Promise<InstanceResponse<Value>> {
	await using caller = HttpCaller.create({baseUrl: url, timeoutMilliseconds: requestTimeoutMilliseconds});
	try {
		const response = await caller.call({method, path, body});
		return {type: 'answered', url, value: schema.parse(response.body)};
	} catch (error) {
		return {type: 'silent', url, reason: error instanceof Error ? error.message : String(error)};
	}
}

/** Returns the values of the instances that responded. */
export function receivedValues<Value>(responses: ReadonlyArray<InstanceResponse<Value>>): readonly Value[] {
	return responses.flatMap(response => response.type === 'answered' ? [response.value] : []);
}

/** Describes each instance that did not respond, in one line. */
export function describeUnresponsive(responses: ReadonlyArray<InstanceResponse<unknown>>): readonly string[] {
	return responses.flatMap(response => response.type === 'silent' ? [`No answer from ${response.url}: ${response.reason}`] : []);
}
