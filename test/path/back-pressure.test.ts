import http, {type IncomingMessage} from 'node:http';
import {once} from 'node:events';
import tap from 'tap';
import {callModel} from '../../bench/harness/caller.js';
import {keyOf, planCatalogue} from '../../bench/harness/catalogue.js';
import {LocalFleet, until} from '../../bench/harness/local-fleet.js';
import {type EngineCosts, expectedAnswer} from '../../fakes/index.js';

const model = 'model';
const key = keyOf('stickwerk');

async function createFleet(costs: Partial<EngineCosts>): Promise<LocalFleet> {
	const fleet = await LocalFleet.create({
		entries: 1, endpoints: 1, zones: ['zone-a'], models: [model], random: () => 0.5, logLevel: 'fatal', costs,
	});
	await fleet.publish(planCatalogue([model], ['stickwerk']));
	await fleet.connected();
	return fleet;
}

async function open(fleet: LocalFleet, body: string): Promise<IncomingMessage> {
	const [host, port] = fleet.entries[0]!.entry.address.split(':') as [string, string];
	const request = http.request({host, port, method: 'POST', path: '/v1/chat/completions', agent: false, headers: {authorization: `Bearer ${key}`}});
	request.end(body);
	const [response] = await once(request, 'response') as [IncomingMessage];
	return response;
}

const bodyOf = (prompt: string) => JSON.stringify({model, stream: true, messages: [{role: 'user', content: prompt}]});

// One caller requests a very long response and reads nothing. Once the buffers of its connection
// and one credit window are full, its stream stops. Another caller of the same engine is served
// meanwhile. When the first caller reads again, it gets every token of its response.
tap.test('a slow caller stalls only its own stream, in bounded memory', async t => {
	await using fleet = await createFleet({stepMilliseconds: 0.02, stepMillisecondsPerRequest: 0, memoryTokens: 1_000_000});
	const {side} = fleet.endpoints[0]!;
	const total = 100_000;
	const body = bodyOf(`A long chart [[tokens=${total}]]`);
	const slow = await open(fleet, body);
	slow.pause();
	await untilStalled(() => side.counts.tokens);
	const passed = side.counts.tokens;
	t.ok(passed < total, `stalled after ${passed} tokens`);
	const other = await callModel({address: fleet.entries[0]!.entry.address, key, model, prompt: 'A short one [[tokens=50]]'});
	t.equal(other.outcome, 'whole');
	t.equal(side.counts.tokens, passed + 50, 'the slow stream has not moved');

	let text = '';
	for await (const part of slow.setEncoding('utf8')) {
		text += part as string;
	}

	const events = text.split('\n\n').filter(line => line.startsWith('data: {')).map(line => JSON.parse(line.slice(6)) as {choices: Array<{delta: {content?: string}}>});
	t.equal(events.map(event => event.choices[0]?.delta.content ?? '').join(''), expectedAnswer(body));
	t.ok(text.endsWith('data: [DONE]\n\n'));
});

// The caller reads its first token and disconnects. The entry cancels the request at the side, the side
// closes the connection to the engine, and the engine drops the request within a step or two.
tap.test('a caller that disconnects cancels its idempotent request at the engine', async t => {
	await using fleet = await createFleet({stepMilliseconds: 250});
	const {engine, side} = fleet.endpoints[0]!;
	const response = await open(fleet, bodyOf('A cancelled one [[tokens=1000]]'));
	await once(response, 'data');
	const before = engine.tokensProduced;
	response.destroy();
	await until(() => engine.running === 0);
	t.ok(engine.tokensProduced - before <= 3, `${engine.tokensProduced - before} more tokens`);
	await until(() => side.counts.cancelled === 1);
	t.equal(fleet.entries[0]!.entry.activeRequests, 0);
});

/** Waits until a value above 0 has not changed for half a second. */
async function untilStalled(read: () => number): Promise<void> {
	let last = -1;
	let since = performance.now();
	await until(() => {
		const now = read();
		if (now !== last || now === 0) {
			last = now;
			since = performance.now();
		}

		return performance.now() - since > 500;
	});
}
