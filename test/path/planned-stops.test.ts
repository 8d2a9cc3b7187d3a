import {setTimeout as delay} from 'node:timers/promises';
import tap from 'tap';
import {callModel, type CallResult} from '../../bench/harness/caller.js';
import {keyOf, planCatalogue} from '../../bench/harness/catalogue.js';
import {LocalFleet, until} from '../../bench/harness/local-fleet.js';
import {createSettings, createTieredScheduler, type TieredState, type Scheduler} from '../../src/policy/scheduler/index.js';

const model = 'model';
const workspace = 'stickwerk';
const pauseMilliseconds = 10;

async function createFleet(endpoints: number): Promise<LocalFleet> {
	const fleet = await LocalFleet.create({
		entries: 3, endpoints, zones: ['zone-a', 'zone-b', 'zone-c'], models: [model], random: () => 0.5, logLevel: 'fatal', costs: {stepMilliseconds: 2},
	});
	await fleet.publish(planCatalogue([model], [workspace]));
	await fleet.connected();
	return fleet;
}

/** Sends calls at a steady rate until it is stopped, and keeps the result of each. */
class SteadyLoad {
	static create(fleet: LocalFleet): SteadyLoad {
		const load = new SteadyLoad(fleet);
		load.#sending = load.#send();
		return load;
	}

	readonly #fleet: LocalFleet;
	readonly #calls: Array<Promise<CallResult>> = [];
	#sending: Promise<void> = Promise.resolve();
	#stopped = false;

	private constructor(fleet: LocalFleet) {
		this.#fleet = fleet;
	}

	get sent(): number {
		return this.#calls.length;
	}

	async finish(): Promise<CallResult[]> {
		this.#stopped = true;
		await this.#sending;
		return Promise.all(this.#calls);
	}

	/** Sends only to entries that are ready, as the platform's load balancer does. */
	async #send(): Promise<void> {
		while (!this.#stopped) {
			const ready = this.#fleet.entries.filter(({entry}) => entry.isReady);
			const {entry} = ready[this.sent % ready.length]!;
			this.#calls.push(callModel({address: entry.address, key: keyOf(workspace), className: 'order', model, prompt: `Call ${this.sent} [[tokens=${20 + (this.sent % 60)}]]`}));
			await delay(pauseMilliseconds);
		}
	}
}

function outcomes(results: readonly CallResult[]): string[] {
	return [...new Set(results.map(({outcome, code}) => `${outcome} ${code ?? ''}`.trim()))];
}

// All callers get complete responses. An entry shuts down gracefully under load: it fails its readiness
// check, so that the load balancer uses other entries, finishes all its streams, and only then closes.
tap.test('a graceful shutdown of an entry under load interrupts no request', async t => {
	await using fleet = await createFleet(3);
	const load = SteadyLoad.create(fleet);
	while (load.sent < 40) {
		await delay(pauseMilliseconds);
	}

	await fleet.stopEntry(fleet.entries[0]!);
	const stoppedAt = load.sent;
	while (load.sent < stoppedAt + 20) {
		await delay(pauseMilliseconds);
	}

	t.same(outcomes(await load.finish()), ['whole']);
});

// All callers get complete responses. An endpoint drains under load while the membership list is a minute
// out of date and still shows it as live. The state that its side reports takes precedence over the list:
// running requests finish, and its engine starts no request once the entries have received the report.
tap.test('a draining endpoint gets no new requests, although the membership list is a minute out of date', async t => {
	await using fleet = await createFleet(3);
	fleet.members.faults.lagMilliseconds = 60_000;
	fleet.members.faults.phantoms = [...fleet.endpoints].map(({instance, side, name, zone}) => ({
		instance, role: 'side' as const, address: side.address, zone, state: 'live' as const, endpoint: name, targets: [model],
	}));
	const load = SteadyLoad.create(fleet);
	while (load.sent < 40) {
		await delay(pauseMilliseconds);
	}

	const [draining] = fleet.endpoints;
	await draining!.side.drain();
	const runsWhenDrained = draining!.engine.runsByRequest.size;
	t.ok(runsWhenDrained > 0);
	const drainedAt = load.sent;
	while (load.sent < drainedAt + 60) {
		await delay(pauseMilliseconds);
	}

	t.equal(draining!.engine.runsByRequest.size, runsWhenDrained);
	t.same(outcomes(await load.finish()), ['whole']);
});

// All callers get complete responses. A side and an entry shut down at the same time, while another engine crashes.
tap.test('graceful shutdowns during a crash interrupt no request', async t => {
	await using fleet = await createFleet(4);
	const load = SteadyLoad.create(fleet);
	while (load.sent < 40) {
		await delay(pauseMilliseconds);
	}

	await Promise.all([fleet.stopEndpoint(fleet.endpoints[0]!), fleet.stopEntry(fleet.entries[0]!), fleet.endpoints[1]!.engine.crash()]);
	t.same(outcomes(await load.finish()), ['whole']);
});

// An error in the refusal of the queue ended the stop of a side at once, and the requests that ran were cut off.
tap.test('an error in one part of the stop of a side does not end what runs', async t => {
	const scheduler = createTieredScheduler(createSettings());
	const failing: Scheduler<TieredState> = {
		...scheduler,
		step(state, event, now) {
			if (event.type === 'leaving') {
				throw new Error('the queue is in disorder');
			}

			return scheduler.step(state, event, now);
		},
	};
	await using fleet = await LocalFleet.create({
		entries: 1, endpoints: 1, zones: ['zone-a'], models: [model], random: () => 0.5, logLevel: 'fatal', costs: {stepMilliseconds: 5}, scheduler: () => failing,
	});
	await fleet.publish(planCatalogue([model], [workspace]));
	await fleet.connected();
	const call = callModel({address: fleet.entries[0]!.entry.address, key: keyOf(workspace), className: 'order', model, prompt: 'Runs on [[tokens=100]]'});
	const [endpoint] = fleet.endpoints;
	await until(() => endpoint!.engine.running === 1);
	await fleet.stopEndpoint(endpoint!);
	const {outcome} = await call;
	t.equal(outcome, 'whole');
});
