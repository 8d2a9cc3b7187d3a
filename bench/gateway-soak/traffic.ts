/** The traffic of the courses: requests to all gateways in turn. */
import {type Random} from '../harness/random.js';
import {type ExchangeRecord, sendRequest, type SoakRequest} from './caller.js';
import {type GatewayChild} from './child.js';
import {type Range} from './course-world.js';

export type Traffic = {
	readonly milliseconds: number;
	/** Between two requests, whichever gateways they go to. */
	readonly pauseMilliseconds: number;
	/** The request of a number, but for the port of its gateway. */
	readonly request: (number: number) => Omit<SoakRequest, 'port'>;
};

/** Sends requests for a time; resolves once all have ended. */
export async function sendInTurn(gateways: readonly GatewayChild[], {milliseconds, pauseMilliseconds, request}: Traffic): Promise<ExchangeRecord[]> {
	const records: Array<Promise<ExchangeRecord>> = [];
	const until = performance.now() + milliseconds;
	for (let number = 0; performance.now() < until; number++) {
		records.push(sendRequest({...request(number), port: gateways[number % gateways.length]!.callerPort}));
		await sleep(pauseMilliseconds);
	}

	return Promise.all(records);
}

/** Number of the gateway that a request was sent to, by its id `NAME-NUMBER`. */
export function gatewayOfId(id: string, gateways: number): number {
	return Number(id.split('-')[1]) % gateways;
}

export function between(random: Random, {low, high}: Range): number {
	return low + (random.uniform() * (high - low));
}

export async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
