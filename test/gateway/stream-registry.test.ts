import tap from 'tap';
import {BuildHistory, RoutingState, StreamRegistry} from '../../src/gateway/index.js';
import {type ZoneName} from '../../src/model/index.js';
import {type MessageOf, messageSchema} from '../../src/wire/index.js';
import {eventually} from './testbed.js';

const silentLogger = {debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined};
const stream = {workspace: 'w', service: 'models'};

/** Instances that are linked with each other, and which of them are out of reach. */
class Fleet implements Disposable {
	static create(names: readonly string[], builds: readonly string[]): Fleet {
		const fleet = new Fleet();
		for (const name of names) {
			fleet.#add(name, builds);
		}

		return fleet;
	}

	readonly registries = new Map<string, StreamRegistry>();
	readonly lost = new Set<string>();
	readonly sent: Array<MessageOf<'stream-origins'>> = [];

	of(name: string): StreamRegistry {
		return this.registries.get(name)!;
	}

	[Symbol.dispose](): void {
		for (const registry of this.registries.values()) {
			registry[Symbol.dispose]();
		}
	}

	#add(name: string, builds: readonly string[]): void {
		const routingState = RoutingState.create(silentLogger);
		routingState.applyEndpointChanges(builds.map((build, offset) => ({
			type: 'registered' as const, era: 1, offset, record: {id: build, service: 'models', address: '127.0.0.1:1', zone: 'z' as ZoneName, slots: 1, isLeaving: false, revision: 1, build},
		})), 'store', performance.now());
		const linkedNames = (): readonly string[] => this.lost.has(name) ? [] : [...this.registries.keys()].filter(other => other !== name && !this.lost.has(other));
		const sendTo = (to: string, message: MessageOf<'stream-origins'>): void => {
			this.sent.push(message);
			setImmediate(() => {
				if (!this.lost.has(to)) {
					this.of(to).handleMessage(message, name);
				}
			});
		};

		this.registries.set(name, StreamRegistry.create({
			builds: memoryOf(routingState), logger: silentLogger, onTakeUp: () => undefined,
			peers: () => ({linkedNames: linkedNames(), sendTo}),
		}));
	}
}

/** What an instance remembers of builds with a store that is empty. */
function memoryOf(routingState: RoutingState): BuildHistory {
	return BuildHistory.create({instance: 'a', isFirstStart: true, random: () => 0, instances: () => [], routingState, read: async () => [], write: async () => undefined, readEndpoints: async () => true, logger: silentLogger});
}

const names = ['a', 'b', 'c', 'd', 'e'];

tap.test('any instance finds the build of a stream that another one has sent', async t => {
	using fleet = Fleet.create(names, ['v1', 'v2']);
	fleet.of('a').recordBegun({...stream, request: 's'}, 'v2');
	for (const name of names) {
		t.match(await fleet.of(name).takeUp({...stream, request: 't', resumes: 's'}), {type: 'go-on', build: 'v2'});
	}
});

// An instance is killed, and callers take up elsewhere the streams that it had sent.
tap.test('the build of a stream is known after the instance that sent it is lost, and one more', async t => {
	using fleet = Fleet.create(names, ['v1', 'v2']);
	const requests = Array.from({length: 40}, (_, number) => `s${number}`);
	for (const request of requests) {
		fleet.of('a').recordBegun({...stream, request}, 'v1');
	}

	await eventually(() => names.slice(1).reduce((sum, name) => sum + fleet.of(name).size, 0) === 2 * requests.length);
	fleet.lost.add('a');
	fleet.lost.add('b');
	const found = await Promise.all(requests.map(async request => fleet.of('c').takeUp({...stream, request: 't', resumes: request})));
	t.ok(found.every(({type}) => type === 'go-on'));
	t.ok(fleet.sent.filter(({known}) => known.length > 0).length < 2 * requests.length, 'and streams are told together');
});

tap.test('nobody is told while one build serves', async t => {
	using fleet = Fleet.create(names, ['v1']);
	fleet.of('a').recordBegun({...stream, request: 's'}, 'v1');
	t.match(await fleet.of('b').takeUp({...stream, request: 't', resumes: 's'}), {type: 'go-on', reason: 'known'});
	t.equal(fleet.sent.filter(({wanted, unknown}) => wanted.length === 0 && unknown.length === 0).length, 1, 'but for the answer');
});

// An instance that had not read of a new build yet took a stream of it up at the old one.
tap.test('an instance that knows one build asks those that may know another', async t => {
	using fleet = Fleet.create(names, ['v1']);
	fleet.of('a').recordBegun({...stream, request: 's'}, 'v2');
	t.match(await fleet.of('b').takeUp({...stream, request: 't', resumes: 's'}), {type: 'go-on', build: 'v2'});
});

// A take-up that nobody can answer waited as long as one of a slow instance, while its caller's time went on.
tap.test('a question ends once all have said that they do not know', async t => {
	using fleet = Fleet.create(names, ['v1', 'v2']);
	const from = performance.now();
	const takeUps = ['x', 'x', 'y'].map(async resumes => fleet.of('b').takeUp({...stream, request: 't', resumes}));
	const decisions = await Promise.all(takeUps);
	t.ok(decisions.every(({type}) => type === 'refuse'));
	t.ok(performance.now() - from < 200);
	t.equal(fleet.sent.filter(({wanted}) => wanted.length > 0).length, 2 * (names.length - 1), 'one question a stream');
});

tap.test('an instance that reaches no other one does not guess', async t => {
	using fleet = Fleet.create(names, ['v1', 'v2']);
	fleet.of('a').recordBegun({...stream, request: 's'}, 'v1');
	fleet.lost.add('b');
	t.match(await fleet.of('b').takeUp({...stream, request: 't', resumes: 's'}), {type: 'refuse', reason: 'unknown'});
});

// A caller could name an id of another workspace, or one that it has used twice.
tap.test('streams of other workspaces, and contradictory ones, go on nowhere', async t => {
	using fleet = Fleet.create(names, ['v1', 'v2']);
	fleet.of('a').recordBegun({...stream, request: 's'}, 'v1');
	t.match(await fleet.of('a').takeUp({...stream, workspace: 'other', request: 't', resumes: 's'}), {type: 'refuse', reason: 'unknown'});
	fleet.of('a').recordBegun({...stream, request: 's'}, 'v2');
	t.match(await fleet.of('a').takeUp({...stream, request: 't', resumes: 's'}), {type: 'refuse', reason: 'contradictory'});
	t.match(await fleet.of('a').takeUp({...stream, request: 't', resumes: undefined}), {type: 'refuse', reason: 'unknown'});
});

// A key that is longer than a message may have would end the links to all peers.
tap.test('a stream of a workspace with a long name is told in a valid message', async t => {
	using fleet = Fleet.create(names, ['v1', 'v2']);
	fleet.of('a').recordBegun({...stream, workspace: 'w'.repeat(512), request: 'r'.repeat(128)}, 'v1');
	await eventually(() => fleet.sent.length === 2);
	t.ok(fleet.sent.every(message => messageSchema.safeParse(message).success));
});

// An endpoint of the old build that has just gone may have begun a stream that is taken up now.
tap.test('a build that has lately served still counts', async t => {
	const routingState = RoutingState.create(silentLogger);
	const record = {service: 'models', address: '127.0.0.1:1', zone: 'z' as ZoneName, slots: 1, isLeaving: false, revision: 1};
	routingState.applyEndpointChanges([{type: 'registered', era: 1, offset: 0, record: {...record, id: 'x', build: 'v1'}}, {type: 'registered', era: 1, offset: 1, record: {...record, id: 'y', build: 'v2'}}], 'store', performance.now());
	routingState.applyEndpointChanges([{type: 'removed', era: 1, offset: 2, id: 'x'}], 'store', performance.now());
	using registry = StreamRegistry.create({builds: memoryOf(routingState), logger: silentLogger, onTakeUp: () => undefined, peers: () => ({linkedNames: [], sendTo: () => undefined})});
	t.match(await registry.takeUp({...stream, request: 't', resumes: 's'}), {type: 'refuse', reason: 'unknown'});
});
