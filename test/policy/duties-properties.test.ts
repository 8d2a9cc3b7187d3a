import fc from 'fast-check';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import tap from 'tap';
import {type DutySettings} from '../../src/policy/duties/index.js';
import {type Executed, Fate, VirtualWorld} from './duties-model.js';

const windowMilliseconds = 5000;
const leaseMilliseconds = 3000;
const machines = ['a', 'b', 'c'];

function settingsOf(checksFences: boolean): DutySettings {
	return {leaseMilliseconds, checksFences, windowMilliseconds, lateMilliseconds: 10_000};
}

const tickMilliseconds = 50;
const ticks = 800;
/** An instance tells its usage, and the holder names itself, each time that this many ticks have passed. */
const ticksBetweenMessages = 10;

/** Whom a fault strikes: an instance, or the one that holds the duties at that moment. */
const instance = fc.oneof(fc.constant('holder' as const), fc.nat(machines.length - 1));
const durationTicks = fc.integer({min: 5, max: 150});
const fault = fc.record({
	tick: fc.nat(ticks - 1),
	event: fc.oneof(
		fc.record({type: fc.constant('restart' as const), instance}),
		fc.record({type: fc.constant('stop' as const), instance}),
		fc.record({type: fc.constant('freeze' as const), instance, durationTicks}),
		fc.record({type: fc.constant('cut' as const), instance, durationTicks}),
		fc.record({type: fc.constant('store-down' as const), instance, durationTicks}),
		fc.record({type: fc.constant('receiver-down' as const), instance, durationTicks}),
		fc.record({type: fc.constant('suspend' as const), instance, milliseconds: fc.integer({min: 200, max: 6000})}),
		fc.record({type: fc.constant('jump' as const), instance, milliseconds: fc.integer({min: -3000, max: 3000})}),
		fc.record({type: fc.constant('restore' as const), ageTicks: fc.integer({min: 1, max: 100})}),
	),
});
type Fault = typeof fault extends fc.Arbitrary<infer Value> ? Value : never;
const course = fc.record({faults: fc.array(fault, {maxLength: 14, size: 'max'}), errorShare: fc.constantFrom(0, 0.05, 0.2), seed: fc.integer()});

/** Until which tick each instance is frozen, cut off from the others, or refused by the store or by the receiver. */
type Disturbances = {readonly frozen: number[]; readonly cut: number[]; readonly refused: number[]; readonly unreported: number[]};

function applyFault(world: VirtualWorld, {tick, event}: Fault, {frozen, cut, refused, unreported}: Disturbances): void {
	const struck = 'instance' in event ? indexOf(world, event.instance) : 0;
	switch (event.type) {
		case 'restart': {
			world.restart(struck);
			return;
		}

		case 'stop': {
			world.instances[struck]!.apply({type: 'stopping'});
			return;
		}

		case 'freeze': {
			frozen[struck] = tick + event.durationTicks;
			return;
		}

		case 'cut': {
			cut[struck] = tick + event.durationTicks;
			return;
		}

		case 'store-down': {
			refused[struck] = tick + event.durationTicks;
			return;
		}

		case 'receiver-down': {
			unreported[struck] = tick + event.durationTicks;
			return;
		}

		case 'suspend': {
			world.now += event.milliseconds;
			world.instances[struck]!.suspended += event.milliseconds;
			return;
		}

		case 'jump': {
			world.instances[struck]!.timeAhead += event.milliseconds;
			return;
		}

		case 'restore': {
			world.log.restore();
		}
	}
}

function indexOf({instances}: VirtualWorld, victim: number | 'holder'): number {
	return victim === 'holder' ? Math.max(0, instances.findIndex(({state}) => state.tenure !== undefined)) : victim;
}

/** Plays a course: each instance makes its calls tick by tick, and the faults strike at their ticks. */
function play(checksFences: boolean, {faults, errorShare, seed}: typeof course extends fc.Arbitrary<infer Value> ? Value : never): VirtualWorld {
	const world = VirtualWorld.create(settingsOf(checksFences), machines);
	const random = xoroshiro128plus(seed);
	const draw = (): number => uniformFloat64(random);
	const fate = (): Fate => draw() < errorShare ? [Fate.lost, Fate.late, Fate.refused][Math.floor(draw() * 3)]! : Fate.answered;
	const disturbances: Disturbances = {frozen: [0, 0, 0], cut: [0, 0, 0], refused: [0, 0, 0], unreported: [0, 0, 0]};
	const backups = new Set(faults.flatMap(({tick, event}) => event.type === 'restore' ? [tick - event.ageTicks] : []));
	for (let tick = 0; tick < ticks; tick++) {
		world.now += tickMilliseconds;
		if (backups.has(tick)) {
			world.log.backUp();
		}

		for (const strike of faults.filter(candidate => candidate.tick === tick)) {
			applyFault(world, strike, disturbances);
		}

		if (draw() < 0.05) {
			world.runLate();
		}

		for (const [index, own] of world.instances.entries()) {
			if (disturbances.frozen[index]! <= tick) {
				own.stepStore(disturbances.refused[index]! > tick ? Fate.refused : fate());
				own.stepReport(disturbances.unreported[index]! > tick ? Fate.refused : fate());
				exchangeMessages(world, index, tick, disturbances);
			}
		}
	}

	return world;
}

function exchangeMessages(world: VirtualWorld, index: number, tick: number, {frozen, cut}: Disturbances): void {
	if (tick % ticksBetweenMessages !== 0 || cut[index]! > tick) {
		return;
	}

	const own = world.instances[index]!;
	const window = Math.floor(world.now / windowMilliseconds);
	for (const [otherIndex, other] of world.instances.entries()) {
		if (cut[otherIndex]! <= tick && frozen[otherIndex]! <= tick) {
			own.announceHolder(other);
			if (other.state.tenure !== undefined) {
				own.sendUsage(other, [window - 1, window], (tick * 10) + index);
			}
		}
	}
}

/** Windows with two different accepted reports. */
function contradictions(executed: readonly Executed[]): number[] {
	const accepted = executed.filter(call => call.accepted);
	return accepted.filter(call => accepted.some(other => other.window === call.window && other.counts !== call.counts)).map(({window}) => window);
}

function sharedTokens(executed: readonly Executed[]): number[] {
	return executed.filter(call => executed.some(other => other.token === call.token && other.machine !== call.machine)).map(({token}) => token);
}

/** Calls with a lower token than an earlier one, apart from those that were carried out late. */
function fallingTokens(executed: readonly Executed[]): number[] {
	const timely = executed.filter(call => !call.isLate);
	return timely.filter((call, index) => timely.slice(0, index).some(earlier => earlier.token > call.token)).map(({token}) => token);
}

/** Calls of a machine after another machine's, within a lease of an own earlier call. */
function returnsWithinLease(executed: readonly Executed[], leaseMilliseconds: number): string[] {
	const timely = executed.filter(call => !call.isLate);
	return timely.filter((call, index) => timely.slice(0, index).some((own, ownIndex) => own.machine === call.machine && call.at - own.at < leaseMilliseconds
		&& timely.slice(ownIndex, index).some(other => other.machine !== call.machine))).map(({machine}) => machine);
}

// Guards against two reports of one window, a token with two holders, and duties that go back and forth within a lease, in courses of
// deaths, suspensions, clock jumps, lost and late calls, and restores of the store.
for (const checksFences of [true, false]) {
	tap.test(`no course of faults breaks a rule of the duties, ${checksFences ? 'with' : 'without'} a check of the fencing token`, async t => {
		let reports = 0;
		let holders = 0;
		fc.assert(fc.property(course, faults => {
			const world = play(checksFences, faults);
			const {executed} = world.receiver;
			reports += new Set(executed.map(({window}) => window)).size;
			holders += new Set(executed.map(({token}) => token)).size;
			return contradictions(executed).length === 0 && sharedTokens(executed).length === 0 && returnsWithinLease(executed, leaseMilliseconds).length === 0
				&& (checksFences || fallingTokens(executed).length === 0);
		}), {seed: 4, numRuns: 600});
		t.ok(reports > 600, `${reports} windows were reported`);
		t.ok(holders > 300, `by ${holders} tenures`);
	});
}
