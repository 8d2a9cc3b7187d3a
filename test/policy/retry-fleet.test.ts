/** Retries of a fleet in virtual time: instances that start, end, come anew and lose each other, each with its own share and its own belief about the others. */
import fc from 'fast-check';
import tap from 'tap';
import {RetryShare} from '../../src/policy/dispatch/index.js';
import {countPossibleInstances, type InstanceEvent, noPossibleInstances, type PossibleInstances, stepPossibleInstances} from '../../src/policy/sharing/index.js';

const allowance = {ratio: 0.2, slack: 54, windowMilliseconds: 10_000};
const shutdownMilliseconds = 18_000;
const courseMilliseconds = 40_000;
const requestEveryMilliseconds = 80;
/** An instance has read the announcements of the others by this time after its start. */
const readMilliseconds = 600;
/** A new instance is linked with the others after this time. */
const linkMilliseconds = 1000;

type FleetEvent = {
	readonly type: 'restart' | 'cut' | 'scale-out' | 'retire';
	readonly at: number;
	readonly forMilliseconds: number;
	/** Number of instances that it concerns, and the first of them. */
	readonly count: number;
	readonly first: number;
};

type Member = {readonly name: string; share: RetryShare; others: PossibleInstances; isUp: boolean; knowsSince: number};

class Fleet {
	readonly requests: number[] = [];
	readonly retries: number[] = [];
	readonly #members: Member[];
	readonly #agenda: Array<{readonly at: number; readonly act: (now: number) => void}> = [];

	constructor(instances: number) {
		this.#members = Array.from({length: instances}, (_, number) => createMember(`i${number}`, -Infinity));
		for (const member of this.#members) {
			this.#introduce(member, 0);
		}
	}

	schedule(event: FleetEvent): void {
		this.#agenda.push({
			at: event.at,
			act: now => {
				this.#begin(event, now);
			},
		});
	}

	/** Every request fails and asks for a retry. */
	run(): void {
		for (let now = 0, number = 0; now < courseMilliseconds; now += requestEveryMilliseconds, number++) {
			for (const {act} of this.#takeDue(now)) {
				act(now);
			}

			this.requests.push(now);
			const member = this.#members[number % this.#members.length]!;
			if (member.isUp) {
				this.#fail(member, now);
			}
		}
	}

	#fail(member: Member, now: number): void {
		member.share.countRequest('orders', now);
		const instances = countPossibleInstances(member.others, shutdownMilliseconds, now);
		const {isGranted} = member.share.reserve({service: 'orders', urgencyPosition: 0}, now < member.knowsSince ? {type: 'unknown'} : {type: 'known', instances}, now);
		if (isGranted) {
			member.share.recordSent('orders', now);
			this.retries.push(now);
		}
	}

	#takeDue(now: number): ReadonlyArray<{readonly act: (now: number) => void}> {
		const due = this.#agenda.filter(({at}) => at <= now);
		this.#agenda.splice(0, this.#agenda.length, ...this.#agenda.filter(({at}) => at > now));
		return due;
	}

	#begin({type, forMilliseconds, count, first}: FleetEvent, now: number): void {
		const concerned = Array.from({length: Math.min(count, this.#members.length)}, (_, number) => this.#members[(first + number) % this.#members.length]!);
		switch (type) {
			case 'restart': {
				this.#end(concerned, now);
				this.#agenda.push({at: now + forMilliseconds, act: time => {
					this.#start(concerned, time);
				}});
				return;
			}

			case 'cut': {
				for (const member of concerned) {
					this.#tellAll(member, 'lost', now);
				}

				this.#agenda.push({at: now + forMilliseconds, act: time => {
					for (const member of concerned) {
						this.#tellAll(member, 'linked', time);
					}
				}});
				return;
			}

			case 'scale-out': {
				const added = createMember(`n${now}`, now);
				this.#members.push(added);
				this.#start([added], now);
				return;
			}

			case 'retire': {
				for (const member of concerned) {
					this.#tellAll(member, 'withdrawn', now);
				}

				this.#agenda.push({at: now + Math.min(forMilliseconds, 8000), act: time => {
					this.#end(concerned, time);
				}});
			}
		}
	}

	#end(members: readonly Member[], now: number): void {
		for (const member of members) {
			member.isUp = false;
			this.#tellAll(member, 'lost', now);
		}
	}

	#start(members: readonly Member[], now: number): void {
		for (const member of members) {
			Object.assign(member, createMember(member.name, now));
			this.#introduce(member, now);
			this.#agenda.push({at: now + linkMilliseconds, act: time => {
				this.#tellAll(member, 'linked', time);
			}});
		}
	}

	/** The announcements of the others, as a snapshot names them. */
	#introduce(member: Member, now: number): void {
		for (const {name} of this.#members.filter(other => other !== member)) {
			member.others = stepPossibleInstances(member.others, {type: 'announced', instance: name}, now);
		}
	}

	/** Lets all others and the member itself learn of a change between them. */
	#tellAll(member: Member, type: InstanceEvent['type'], now: number): void {
		for (const other of this.#members.filter(one => one !== member)) {
			other.others = stepPossibleInstances(other.others, {type, instance: member.name}, now);
			if (type !== 'withdrawn') {
				member.others = stepPossibleInstances(member.others, {type, instance: other.name}, now);
			}
		}
	}
}

function createMember(name: string, startedAt: number): Member {
	return {name, share: RetryShare.create({allowance, startedAt}), others: noPossibleInstances, isUp: true, knowsSince: startedAt + readMilliseconds};
}

function countWithin(times: readonly number[], until: number): number {
	return times.filter(at => at > until - allowance.windowMilliseconds && at <= until).length;
}

function isWithinAllowance({requests, retries}: Fleet): boolean {
	return retries.every((until, index) => {
		const counted = Math.max(...[0, 0.5, 1].map(windows => countWithin(requests, until - (windows * allowance.windowMilliseconds))));
		return index % 7 > 0 || countWithin(retries, until) <= (allowance.ratio * counted) + allowance.slack;
	});
}

const event: fc.Arbitrary<FleetEvent> = fc.record({
	type: fc.constantFrom<FleetEvent['type']>('restart', 'cut', 'scale-out', 'retire'),
	at: fc.nat(courseMilliseconds), forMilliseconds: fc.integer({min: 100, max: 4000}), count: fc.constantFrom(1, 3, 24), first: fc.nat(23),
});

// Guards against every way in which the shares of all instances together can exceed what they share.
tap.test('a fleet whose instances start, end, come anew and lose each other stays within the allowance', async t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 24}), fc.array(event, {maxLength: 16, size: 'max'}), (instances, events) => {
		const fleet = new Fleet(instances);
		for (const one of events) {
			fleet.schedule(one);
		}

		fleet.run();
		return isWithinAllowance(fleet);
	}), {seed: 49, numRuns: 400});
});
