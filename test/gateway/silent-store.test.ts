import tap from 'tap';
import {createRandom} from '../../bench/harness/random.js';
import {VirtualFollowers} from './virtual-followers.js';
import {type StoreFailure} from './virtual-store.js';
import {VirtualTime} from './virtual-time.js';

/** Milliseconds in which the operator's change is to be in force everywhere, where so many instances run. */
const deployments = [{instances: 1, applyMilliseconds: 2000}, {instances: 2, applyMilliseconds: 2000}, {instances: 7, applyMilliseconds: 2000}, {instances: 33, applyMilliseconds: 3000}, {instances: 68, applyMilliseconds: 3000}] as const;
/** Each case at so many moments; many instances take long to play. */
const moments = {few: 6, many: 3};
const manyInstances = 68;
const quietMilliseconds = 12_000;
const lookMilliseconds = 20;

type Silence = {
	readonly instances: number;
	readonly applyMilliseconds: number;
	readonly failure: StoreFailure | 'mute';
	/** From the failure to the store's return. */
	readonly milliseconds: number;
	readonly seed: number;
	/** Whether a change is read shortly before, which ends all readings at one moment. */
	readonly isInStep?: boolean;
	readonly isNewEra?: boolean;
	readonly arrives?: (from: number, to: number) => boolean;
};

/** Milliseconds from the store's return, which accepts the change, until it is in force at every instance. */
async function spread({instances, applyMilliseconds, failure, milliseconds, seed, isInStep = false, isNewEra = false, arrives}: Silence): Promise<number> {
	using time = VirtualTime.install();
	const random = createRandom(seed);
	await using followers = new VirtualFollowers({time, instances, applyMilliseconds, seed, ...(arrives !== undefined && {arrives})});
	const {store} = followers;
	await time.settleFor(quietMilliseconds + (random.uniform() * quietMilliseconds));
	if (isInStep) {
		store.write(2);
		await time.settleFor(random.uniform() * 1000);
	}

	if (failure === 'mute') {
		store.muteConnections();
	} else {
		store.fail(failure);
	}

	await time.settleFor(milliseconds);
	store.write(3);
	store.recover(isNewEra);
	const from = time.now;
	while (followers.versions.some(version => version !== 3) && time.now - from < quietMilliseconds) {
		await time.settleFor(lookMilliseconds);
	}

	return time.now - from;
}

async function longest(silence: Omit<Silence, 'seed'>): Promise<number> {
	let most = 0;
	for (let seed = 1; seed <= (silence.instances < manyInstances ? moments.few : moments.many); seed++) {
		most = Math.max(most, await spread({...silence, seed}));
	}

	return Math.round(most);
}

// Guards against readings sent into a silent store with a long wait: callers get 404 for a route that was accepted seconds ago.
for (const deployment of deployments) {
	for (const milliseconds of [1000, 3000, 6000, 12_000]) {
		tap.test(`${deployment.instances} instances, the store silent for ${milliseconds} ms: its change is in force in time`, async t => {
			const most = await longest({...deployment, milliseconds, failure: 'silent'});
			t.ok(most <= deployment.applyMilliseconds, `${most} ms`);
		});

		tap.test(`${deployment.instances} instances, the store refusing for ${milliseconds} ms: its change is in force in time`, async t => {
			const most = await longest({...deployment, milliseconds, failure: 'refusing'});
			t.ok(most <= deployment.applyMilliseconds, `${most} ms`);
		});
	}

	tap.test(`${deployment.instances} instances whose readings began at one moment`, async t => {
		const most = await longest({...deployment, milliseconds: 6000, failure: 'silent', isInStep: true});
		t.ok(most <= deployment.applyMilliseconds, `${most} ms`);
	});

	tap.test(`${deployment.instances} instances, every connection silent for good while new ones work`, async t => {
		const most = await longest({...deployment, milliseconds: 100, failure: 'mute'});
		t.ok(most <= deployment.applyMilliseconds, `${most} ms`);
	});

	tap.test(`${deployment.instances} instances, the store back with a new era`, async t => {
		const most = await longest({...deployment, milliseconds: 3000, failure: 'silent', isNewEra: true});
		t.ok(most <= deployment.applyMilliseconds, `${most} ms`);
	});

	tap.test(`${deployment.instances} instances, every third link cut one way`, async t => {
		const most = await longest({...deployment, milliseconds: 6000, failure: 'silent', arrives: (from, to) => (from + (2 * to)) % 3 !== 0});
		t.ok(most <= deployment.applyMilliseconds, `${most} ms`);
	});
}
