import tap from 'tap';
import {createRandom} from '../../bench/harness/random.js';
import {VirtualFollowers} from './virtual-followers.js';
import {type StoreFailure} from './virtual-store.js';
import {VirtualTime} from './virtual-time.js';

/** Time within which the operator's change must be in force everywhere, by the number of instances. */
const deployments = [
	{instances: 1, applyMilliseconds: 2000},
	{instances: 2, applyMilliseconds: 2000},
	{instances: 7, applyMilliseconds: 2000},
	{instances: 33, applyMilliseconds: 3000},
	{instances: 68, applyMilliseconds: 3000},
] as const;
/** Number of seeds for each case; runs with many instances take long. */
const seedCounts = {few: 6, many: 3};
const largeFleet = 68;
const settleMilliseconds = 12_000;
const checkIntervalMilliseconds = 20;

type StoreOutage = {
	readonly instances: number;
	readonly applyMilliseconds: number;
	readonly failure: StoreFailure | 'stalled-connections';
	/** Time from the failure to the store's recovery. */
	readonly milliseconds: number;
	readonly seed: number;
	/** Whether a change is read shortly before, which ends all long polls at the same moment. */
	readonly arePollsAligned?: boolean;
	readonly isNewEra?: boolean;
	readonly isDelivered?: (from: number, to: number) => boolean;
};

/** Returns the time from the store's recovery, when it accepts a change, until the change is in force at every instance. */
async function measurePropagation({instances, applyMilliseconds, failure, milliseconds, seed, arePollsAligned = false, isNewEra = false, isDelivered}: StoreOutage): Promise<number> {
	using time = VirtualTime.install();
	const random = createRandom(seed);
	await using followers = new VirtualFollowers({time, instances, applyMilliseconds, seed, ...(isDelivered !== undefined && {isDelivered})});
	const {store} = followers;
	await time.settleFor(settleMilliseconds + (random.uniform() * settleMilliseconds));
	if (arePollsAligned) {
		store.write(2);
		await time.settleFor(random.uniform() * 1000);
	}

	if (failure === 'stalled-connections') {
		store.stallConnections();
	} else {
		store.fail(failure);
	}

	await time.settleFor(milliseconds);
	store.write(3);
	store.recover(isNewEra);
	const from = time.now;
	while (followers.versions.some(version => version !== 3) && time.now - from < settleMilliseconds) {
		await time.settleFor(checkIntervalMilliseconds);
	}

	return time.now - from;
}

async function longestPropagation(outage: Omit<StoreOutage, 'seed'>): Promise<number> {
	let longestMilliseconds = 0;
	for (let seed = 1; seed <= (outage.instances < largeFleet ? seedCounts.few : seedCounts.many); seed++) {
		longestMilliseconds = Math.max(longestMilliseconds, await measurePropagation({...outage, seed}));
	}

	return Math.round(longestMilliseconds);
}

// A long poll sent to a store that does not respond delays the next change: callers get 404 for a route that was accepted seconds ago.
for (const deployment of deployments) {
	for (const milliseconds of [1000, 3000, 6000, 12_000]) {
		tap.test(`${deployment.instances} instances, the store silent for ${milliseconds} ms: a change is in force in time`, async t => {
			const longestMilliseconds = await longestPropagation({...deployment, milliseconds, failure: 'silent'});
			t.ok(longestMilliseconds <= deployment.applyMilliseconds, `${longestMilliseconds} ms`);
		});

		tap.test(`${deployment.instances} instances, the store refusing for ${milliseconds} ms: a change is in force in time`, async t => {
			const longestMilliseconds = await longestPropagation({...deployment, milliseconds, failure: 'refusing'});
			t.ok(longestMilliseconds <= deployment.applyMilliseconds, `${longestMilliseconds} ms`);
		});
	}

	tap.test(`${deployment.instances} instances whose long polls start at the same moment`, async t => {
		const longestMilliseconds = await longestPropagation({...deployment, milliseconds: 6000, failure: 'silent', arePollsAligned: true});
		t.ok(longestMilliseconds <= deployment.applyMilliseconds, `${longestMilliseconds} ms`);
	});

	tap.test(`${deployment.instances} instances, every connection stalled forever while new ones work`, async t => {
		const longestMilliseconds = await longestPropagation({...deployment, milliseconds: 100, failure: 'stalled-connections'});
		t.ok(longestMilliseconds <= deployment.applyMilliseconds, `${longestMilliseconds} ms`);
	});

	tap.test(`${deployment.instances} instances, the store restored from a backup in a new era`, async t => {
		const longestMilliseconds = await longestPropagation({...deployment, milliseconds: 3000, failure: 'silent', isNewEra: true});
		t.ok(longestMilliseconds <= deployment.applyMilliseconds, `${longestMilliseconds} ms`);
	});

	tap.test(`${deployment.instances} instances, every third link cut in one direction`, async t => {
		const longestMilliseconds = await longestPropagation({...deployment, milliseconds: 6000, failure: 'silent', isDelivered: (from, to) => (from + (2 * to)) % 3 !== 0});
		t.ok(longestMilliseconds <= deployment.applyMilliseconds, `${longestMilliseconds} ms`);
	});
}
