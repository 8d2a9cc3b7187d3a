import {setTimeout as delay} from 'node:timers/promises';
import tap from 'tap';
import {callModel, type CallResult} from '../../bench/harness/caller.js';
import {keyOf, planCatalogue} from '../../bench/harness/catalogue.js';
import {LocalFleet} from '../../bench/harness/local-fleet.js';

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

/** Callers that go on sending until they are told to stop; each call's outcome is kept. */
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

	/** As the platform's balancer does, it sends only to entries that are ready. */
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

// Callers see nothing but whole answers. An entry stops as planned under load: it fails its readiness
// check, so the balancer goes elsewhere, finishes every stream that it has, and only then closes.
tap.test('a planned stop of an entry under load cuts no request', async t => {
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

// Callers see nothing but whole answers. An endpoint leaves under load while the membership list is a
// minute behind and goes on calling it live. Its side's own word outranks the list: what ran there ends,
// and its engine starts nothing more once the entries have heard.
tap.test('a leaving endpoint gets no new work, though the membership list is a minute behind', async t => {
	await using fleet = await createFleet(3);
	fleet.members.faults.lagMilliseconds = 60_000;
	fleet.members.faults.phantoms = [...fleet.endpoints].map(({instance, side, name, zone}) => ({
		instance, role: 'side' as const, address: side.address, zone, state: 'live' as const, endpoint: name, targets: [model],
	}));
	const load = SteadyLoad.create(fleet);
	while (load.sent < 40) {
		await delay(pauseMilliseconds);
	}

	const [leaving] = fleet.endpoints;
	await leaving!.side.drain();
	const runsWhenDrained = leaving!.engine.runsByRequest.size;
	t.ok(runsWhenDrained > 0);
	const drainedAt = load.sent;
	while (load.sent < drainedAt + 60) {
		await delay(pauseMilliseconds);
	}

	t.equal(leaving!.engine.runsByRequest.size, runsWhenDrained);
	t.same(outcomes(await load.finish()), ['whole']);
});

// Callers see whole answers. Side and entry leave at the same time, while another engine crashes.
tap.test('planned stops at the moment of a crash cut nothing', async t => {
	await using fleet = await createFleet(4);
	const load = SteadyLoad.create(fleet);
	while (load.sent < 40) {
		await delay(pauseMilliseconds);
	}

	await Promise.all([fleet.stopEndpoint(fleet.endpoints[0]!), fleet.stopEntry(fleet.entries[0]!), fleet.endpoints[1]!.engine.crash()]);
	t.same(outcomes(await load.finish()), ['whole']);
});
