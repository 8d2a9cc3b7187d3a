import tap from 'tap';
import {CrashArchive, CrashLedger, type CrashNews, type RepeatableRequest, type StoredCrashes} from '../../src/gateway/index.js';
import {type ZoneName} from '../../src/model/index.js';
import {type EndpointRecord} from '../../src/routing/index.js';
import {eventually} from './testbed.js';

const silentLogger = {debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined};
const instanceCount = 24;
const endpointCount = 4;
const requestsEach = 5;
/** Names that the crashes of a fleet have: each instance had requests of its own at each endpoint. */
const namesOfAll = instanceCount * endpointCount * requestsEach;
/** What one instance has noticed is stored by itself and by those that forward it. */
const copies = 1 + 3;

type Member = {readonly ledger: CrashLedger; readonly archive: CrashArchive};

/** Instances that tell each other of crashes and follow what the others store; some do not reach the store. */
class Fleet implements Disposable {
	static create(names: readonly string[], isCut: (instance: string) => boolean = () => false): Fleet {
		return new Fleet(names, isCut);
	}

	readonly members = new Map<string, Member>();
	readonly stored = new Map<string, StoredCrashes>();
	/** Names that instances have read from the store since they started. */
	namesRead = 0;

	private constructor(names: readonly string[], isCut: (instance: string) => boolean) {
		for (const instance of names) {
			this.members.set(instance, this.#start(instance, {names, isCut}));
		}
	}

	get namesStored(): number {
		return [...this.stored.values()].reduce((sum, {crashes}) => sum + countNames(crashes), 0);
	}

	[Symbol.dispose](): void {
		for (const {ledger, archive} of this.members.values()) {
			ledger[Symbol.dispose]();
			archive[Symbol.dispose]();
		}
	}

	#start(instance: string, {names, isCut}: {names: readonly string[]; isCut: (instance: string) => boolean}): Member {
		const ledger = CrashLedger.create({
			instance, instances: () => names, logger: silentLogger, isLost: () => false, onEvidence: () => undefined,
			onNews: news => {
				this.#tell(instance, news);
			},
			onOwnNews: kind => {
				this.members.get(instance)?.archive.save(kind);
			},
		});
		const archive = CrashArchive.create({
			instance, ledger, instances: () => names, logger: silentLogger,
			write: async stored => {
				if (isCut(instance)) {
					throw new Error('no answer');
				}

				this.#store(stored, isCut);
			},
		});
		return {ledger, archive};
	}

	#tell(from: string, news: CrashNews): void {
		for (const [instance, {ledger}] of this.members) {
			if (instance !== from) {
				setImmediate(() => {
					ledger.applyNews(news, from);
				});
			}
		}
	}

	#store(stored: StoredCrashes, isCut: (instance: string) => boolean): void {
		this.stored.set(stored.instance, stored);
		for (const [instance, {archive}] of this.members) {
			if (instance !== stored.instance && !isCut(instance)) {
				this.namesRead += countNames(stored.crashes);
				archive.receive([stored]);
			}
		}
	}
}

function countNames(crashes: ReadonlyArray<{readonly fingerprints: readonly string[]}>): number {
	return crashes.reduce((sum, {fingerprints}) => sum + fingerprints.length, 0);
}

function namesOf(count: number): string[] {
	return Array.from({length: count}, (_, number) => `gateway-${number}`);
}

function endpointOf(number: number): EndpointRecord {
	return {id: `endpoint-${number}`, service: 's', address: `127.0.0.1:${number + 1}`, zone: 'z' as ZoneName, isLeaving: false, slots: 1, revision: 1};
}

function requestOf(instance: string, endpoint: number, number: number): RepeatableRequest {
	return {workspace: 'studio-a', method: 'POST', path: `/${instance}/${endpoint}/${number}`, body: undefined, parts: []};
}

/** Each of the instances had requests at endpoints that all crash. */
function crashAll(fleet: Fleet, instances: readonly string[]): void {
	for (const instance of instances) {
		for (let endpoint = 0; endpoint < endpointCount; endpoint++) {
			for (let number = 0; number < requestsEach; number++) {
				fleet.members.get(instance)!.ledger.recordUnanswered(endpointOf(endpoint), requestOf(instance, endpoint, number), {sentAt: 0, sign: 'break', now: performance.now()});
			}
		}
	}
}

function namesKnown({ledger}: Member): number {
	return countNames(ledger.openCrashes(performance.now()));
}

// Each instance stored all that it had been told, and all others read that: what small instances read took their links and their processor, just when endpoints crash.
tap.test('what is stored of crashes grows with what each instance has noticed, not with what all of them know', async t => {
	const names = namesOf(instanceCount);
	using fleet = Fleet.create(names);
	crashAll(fleet, names);
	await eventually(() => [...fleet.members.values()].every(member => namesKnown(member) === namesOfAll) && fleet.stored.size === instanceCount);
	// A crash of each instance's own makes it store what it knows by now.
	for (const [instance, {ledger}] of fleet.members) {
		ledger.recordUnanswered(endpointOf(endpointCount), requestOf(instance, endpointCount, 0), {sentAt: 0, sign: 'break', now: performance.now()});
	}

	const namesInTheEnd = namesOfAll + instanceCount;
	await eventually(() => [...fleet.stored.values()].every(({crashes}) => crashes.length > endpointCount));
	t.ok(fleet.namesStored <= copies * namesInTheEnd, `${fleet.namesStored} names stored of ${namesInTheEnd}`);
	using next = Fleet.create(names);
	for (const {archive} of next.members.values()) {
		archive.restore([...fleet.stored.values()]);
	}

	t.ok([...next.members.values()].every(member => namesKnown(member) === namesInTheEnd), 'all that was known is known after all instances were lost');
});

// What an instance without the store has noticed is known to no one once all instances are lost.
tap.test('others store what an instance has noticed that does not reach the store', async t => {
	const names = namesOf(instanceCount);
	const [cut] = names;
	using fleet = Fleet.create(names, instance => instance === cut);
	crashAll(fleet, [cut!]);
	const namesOfCut = endpointCount * requestsEach;
	await eventually(() => fleet.namesStored >= namesOfCut);
	t.ok(fleet.namesStored <= copies * namesOfCut, `${fleet.namesStored} names stored of ${namesOfCut}`);
	using next = Fleet.create(names);
	next.members.get(names[1]!)!.archive.restore([...fleet.stored.values()]);
	t.equal(namesKnown(next.members.get(names[1]!)!), namesOfCut);
});
