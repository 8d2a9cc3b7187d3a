import {FakeEngine} from '../../fakes/index.js';
import {EngineClient} from '../../src/endpoint/index.js';
import {createRandom, type Random} from '../harness/random.js';
import {costs, endpointCount, fullBatch, model, usualTokens} from './plan.js';

const warmUpMilliseconds = 500;

/**
 * Measures the tokens per second that the same engines deliver at full load: the largest number of concurrent
 * requests that meets the tightest target, each followed immediately by the next, without queue, router or refusal.
 */
export async function measureFull(milliseconds: number, seed: number): Promise<number> {
	const random = createRandom(seed);
	const engines = await Promise.all(Array.from({length: endpointCount}, async () => FakeEngine.create({models: [model], costs})));
	const clients = engines.map(engine => EngineClient.create({baseUrl: engine.url}));
	const until = performance.now() + warmUpMilliseconds + milliseconds;
	const loops = clients.flatMap(client => Array.from({length: fullBatch}, async () => keepBusy(client, until, random)));
	await pause(warmUpMilliseconds);
	const before = produced(engines);
	const from = performance.now();
	await pause(milliseconds);
	const rate = (produced(engines) - before) * 1000 / (performance.now() - from);
	await Promise.all(loops);
	await Promise.all([...clients, ...engines].map(async resource => resource[Symbol.asyncDispose]()));
	return rate;
}

async function keepBusy(client: EngineClient, until: number, random: Random): Promise<void> {
	const lengths = Object.values(usualTokens);
	while (performance.now() < until) {
		const prompt = `Request ${random.below(1e9)}: [[tokens=${1 + Math.floor(random.exponential(random.pick(lengths)))}]]`;
		const body = new TextEncoder().encode(JSON.stringify({model, stream: true, messages: [{role: 'user', content: prompt}]}));
		const run = client.run({
			requestId: `full-${random.below(1e9)}`, method: 'POST', path: '/v1/chat/completions', headers: {}, body, resumeTokens: 0, resumeText: '', priority: 0,
		});
		for await (const events of run) {
			if (events.some(({type}) => type === 'failed')) {
				break;
			}
		}
	}
}

function produced(engines: readonly FakeEngine[]): number {
	let tokens = 0;
	for (const engine of engines) {
		tokens += engine.tokensProduced;
	}

	return tokens;
}

async function pause(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
