import {Buffer} from 'node:buffer';
import tap from 'tap';
import {FakeEngine, FakeService} from '../../fakes/index.js';
import {EngineClient, ServiceClient} from '../../src/endpoint/index.js';
import {type EndpointId, type InstanceId} from '../../src/model/index.js';
import {createTieredScheduler} from '../../src/policy/scheduler/index.js';
import {type EntryLink} from '../../src/side/entry-link.js';
import {RequestExecutor} from '../../src/side/request-executor.js';
import {type Backend} from '../../src/side/request-executor-options.js';
import {type Message, type MessageOf} from '../../src/wire/index.js';
import {createSummary} from '../policy/scheduler/arbitraries.js';

/** The stand-ins state this backoff with each refusal. */
const backoffMilliseconds = 1000;
/** Requests that were sent before the first refusal arrived don't count. */
const inFlightMilliseconds = 200;
const intervalMilliseconds = 30;

type Start = Pick<MessageOf<'start'>, 'method' | 'path' | 'headers' | 'body'>;

/** An entry that answers each offer at once, as fast as its requests come. */
class EagerEntry {
	static create(backend: Backend, start: Start): EagerEntry {
		return new EagerEntry(backend, start);
	}

	readonly sent: Message[] = [];
	readonly #executor: RequestExecutor;
	readonly #link: EntryLink;
	#nextStream = 0;

	private constructor(backend: Backend, start: Start) {
		this.#executor = RequestExecutor.create({
			backend, scheduler: createTieredScheduler(), instance: 'side' as InstanceId, endpoint: 'endpoint' as EndpointId, onEndpointDown: () => undefined,
		});
		const send = (message: Message): void => {
			this.sent.push(message);
			if (message.type === 'offer') {
				setImmediate(() => {
					const {stream, request} = message;
					this.#executor.start(this.#link, {...start, type: 'start', stream, request, credit: 100, more: false, resumeTokens: 0, resumeText: ''});
				});
			}
		};

		this.#link = {number: 1, reservations: new Map(), send} as unknown as EntryLink;
	}

	reserve(queueMilliseconds: number): void {
		this.#nextStream += 1;
		const request = `request-${this.#nextStream}`;
		const summary = createSummary({id: request, queueMilliseconds});
		this.#executor.reserve(this.#link, {type: 'reserve', stream: this.#nextStream, request, summary});
	}

	tick(): void {
		this.#executor.apply({type: 'tick'});
	}
}

type Sample = {readonly at: number; readonly arrivals: number};

/** Sends requests until a second after the first backoff has ended, and samples how many have reached the endpoint. */
async function sampleArrivals(entry: EagerEntry, countArrivals: () => number): Promise<{within: number; after: number}> {
	const samples: Sample[] = [];
	let statedAt: number | undefined;
	while (statedAt === undefined || performance.now() < statedAt + (2 * backoffMilliseconds)) {
		entry.reserve(10_000);
		entry.tick();
		statedAt ??= entry.sent.some(({type}) => type === 'fail' || type === 'head') ? performance.now() : undefined;
		samples.push({at: performance.now(), arrivals: countArrivals()});
		await new Promise(resolve => {
			setTimeout(resolve, intervalMilliseconds);
		});
	}

	const start = statedAt;
	const first = samples.find(({at}) => at > start + inFlightMilliseconds)!;
	const last = samples.findLast(({at}) => at < start + backoffMilliseconds - intervalMilliseconds)!;
	return {within: last.arrivals - first.arrivals, after: samples.at(-1)!.arrivals - last.arrivals};
}

// Guards against an engine that asks for a pause and gets the next request at once, each of which it refuses.
tap.test('an engine that asks for a backoff gets no request until it is over', async t => {
	const refusals = 1000;
	await using engine = await FakeEngine.create({faults: {refuseRequests: refusals}});
	await using client = EngineClient.create({baseUrl: engine.url});
	const body = Buffer.from(JSON.stringify({model: 'model', messages: [{role: 'user', content: 'soup'}], stream: true, max_tokens: 1}));
	const entry = EagerEntry.create({type: 'engine', client}, {method: 'POST', path: '/v1/chat/completions', headers: {}, body});
	const {within, after} = await sampleArrivals(entry, () => refusals - engine.faults.refuseRequests);
	t.equal(within, 0);
	t.ok(after > 0, 'it is used again after the backoff');
});

// Guards against the same of a plain service, whose refusal is a response like any other to its caller.
tap.test('a service that asks for a backoff gets no request until it is over', async t => {
	const refusals = 1000;
	await using service = await FakeService.create({faults: {refuseCalls: refusals}});
	await using client = ServiceClient.create({baseUrl: service.url});
	const entry = EagerEntry.create({type: 'service', client}, {method: 'POST', path: '/tickets', headers: {}, body: Buffer.from('soup')});
	const {within, after} = await sampleArrivals(entry, () => refusals - service.faults.refuseCalls);
	t.equal(within, 0);
	t.ok(after > 0, 'it is used again after the backoff');
	t.ok(entry.sent.some(message => message.type === 'head' && message.status === 429), 'callers get the refusal');
});
