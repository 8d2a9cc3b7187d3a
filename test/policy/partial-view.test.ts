import tap from 'tap';
import {createRandom} from '../../bench/harness/random.js';
import {type ZoneName} from '../../src/model/index.js';
import {choosePlace, type Demand, defaultTuning, inHashOrder, LoadTracker, runId, type PlacementContext} from '../../src/policy/dispatch/index.js';
import {type FleetView} from '../../src/policy/sharing/index.js';

const zone = 'zone-a' as ZoneName;
const slots = 8;
const engines = inHashOrder(Array.from({length: 40}, (_, index) => ({id: `engine-${index}`, zone, slots, isEngine: true})));

function tightDemand(number: number): Demand {
	return {
		service: 'models', urgency: 0, urgencies: {most: 1, least: 2}, targetMilliseconds: 150, parts: [{id: 7, tokens: 170}, {id: 1_000_000 + number, tokens: 540}], isLatencyCritical: true,
		maxPauseMilliseconds: 120, strictestPauseMilliseconds: 120, waitedMilliseconds: 0, elapsedMilliseconds: 0, isOutranked: false,
	};
}

/** Tight streams come in one moment through many instances, none of which has heard of another's. The most that one engine gets. */
function fullest(view: FleetView, {instances, streams}: {instances: number; streams: number}): number {
	const random = createRandom(3);
	const books = Array.from({length: instances}, () => LoadTracker.create());
	const circumstances: PlacementContext = {zone, now: 100, view, propagationMilliseconds: 50, tuning: defaultTuning};
	const placed = new Map<string, number>();
	for (let number = 0; number < streams; number++) {
		const instance = random.below(instances);
		const book = books[instance]!;
		const choice = choosePlace(book, tightDemand(number), engines, circumstances);
		if (choice.type === 'place') {
			placed.set(choice.endpoint, (placed.get(choice.endpoint) ?? 0) + 1);
			book.step({type: 'placed', run: {id: runId(`i${instance}`, number), owner: `i${instance}`, endpoint: choice.endpoint, service: 'models', prefillTokens: choice.prefillTokens, isLatencyCritical: true, parts: []}}, 100);
		}
	}

	return Math.max(...placed.values());
}

// Guards against the first engine with a line of tight streams while the next ones idle.
tap.test('a burst of tight streams through instances that hear little of each other fits the engines\' slots', async t => {
	const burst = {instances: 60, streams: 24};
	t.ok(fullest({links: 3, instances: 60}, burst) <= slots, `${fullest({links: 3, instances: 60}, burst)} at one engine`);
	t.equal(fullest({links: 59, instances: 60}, burst), 24, 'each that takes itself for knowing all sends to the first one');
});

// Guards against long prompts on engines that are left to tight streams of which this instance has not heard.
tap.test('an engine left to tight streams is taken to run some, heard of or not', async t => {
	const choice = (view: FleetView): string => {
		const book = LoadTracker.create();
		for (let number = 0; number < 6; number++) {
			book.step({type: 'placed', run: {id: runId('b', number), owner: 'b', endpoint: engines[1]!.id, service: 'models', prefillTokens: 0, isLatencyCritical: true, parts: []}}, 0);
			book.step({type: 'first-event', id: runId('b', number)}, 1);
		}

		const long: Demand = {...tightDemand(1), isLatencyCritical: false, parts: [{id: 5, tokens: 6000}, {id: 6, tokens: 2900}], targetMilliseconds: 800, maxPauseMilliseconds: 500};
		const made = choosePlace(book, long, engines.slice(0, 4), {zone, now: 100, view, propagationMilliseconds: 50, tuning: defaultTuning});
		return made.endpoint;
	};

	t.equal(choice({links: 59, instances: 60}), choice({links: 59, instances: 60}));
	t.notOk([engines[0]!.id, engines[1]!.id].includes(choice({links: 30, instances: 60})), 'twelve are taken to run, on the first two engines');
});

// Guards against engines with twice as many drafts as slots because each instance hears of a third of them.
tap.test('drafts through instances that hear a third of each other fill the engines\' slots, and wait then', async t => {
	const overfull = (view: FleetView): number => {
		const random = createRandom(5);
		const instances = 30;
		const books = Array.from({length: instances}, () => LoadTracker.create());
		const placed = new Map<string, number>();
		for (let number = 0; number < 640; number++) {
			const own = random.below(instances);
			const draft: Demand = {
				...tightDemand(number), isLatencyCritical: false, urgency: 2, parts: [{id: random.below(500), tokens: 0}, {id: 1_000_000 + number, tokens: 20}], targetMilliseconds: 800, maxPauseMilliseconds: 500,
			};
			const now = 1000 + (number * 100);
			const choice = choosePlace(books[own]!, draft, engines, {zone, now, view, propagationMilliseconds: 50, tuning: defaultTuning});
			if (choice.type === 'wait') {
				continue;
			}

			placed.set(choice.endpoint, (placed.get(choice.endpoint) ?? 0) + 1);
			const run = {id: runId(`i${own}`, number), owner: `i${own}`, endpoint: choice.endpoint, service: 'models', prefillTokens: choice.prefillTokens, isLatencyCritical: false, parts: []};
			for (const [instance, book] of books.entries()) {
				if (instance === own || (instance + own) % 3 === 0) {
					book.step({type: 'placed', run}, now);
					book.step({type: 'first-event', id: run.id}, now + 1);
				}
			}
		}

		return [...placed.values()].reduce((sum, count) => sum + Math.max(0, count - slots), 0);
	};

	const all = engines.length * slots;
	const [known, taken] = [overfull({links: 10, instances: 30}), overfull({links: 29, instances: 30})];
	t.ok(known < all / 4, `${known} above the slots of all, ${all}`);
	t.ok(taken > all / 2, `${taken} where each takes itself for knowing all`);
});
