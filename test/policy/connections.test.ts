import fc from 'fast-check';
import tap from 'tap';
import {type ConnectionEvent, maxOpenRequests} from '../../src/policy/connections/index.js';
import {canFollow, type Checked, checkStep, newChecked} from './connections-model.js';

const enumeratedRequests = 4;
const firstStatus = 400;
const secondStatus = 408;

/** Every event that can follow, with the number of requests bounded. */
function eventsAfter(checked: Checked): ConnectionEvent[] {
	const heads = checked.unsent.flatMap(number => [false, true].map(closes => ({type: 'head', number, closes} as const)));
	const requests = checked.requests < enumeratedRequests
		? [false, true].map(hasSafeMethod => ({type: 'request', number: checked.requests, hasSafeMethod} as const))
		: [];
	const malformed = [firstStatus, secondStatus].map(status => ({type: 'malformed', status} as const));
	const events: ConnectionEvent[] = [...requests, ...heads, ...checked.owed.slice(0, 1).map(number => ({type: 'end', number} as const)), {type: 'stop'}, ...malformed];
	return events.filter(event => canFollow(checked, event));
}

// Each guard of a connection was argued for by itself; an order of events that nobody thought of lost an answer.
tap.test('in every order of events of a connection of four requests each rule holds', async t => {
	const seen = new Set<string>();
	const unseen: Checked[] = [newChecked];
	let steps = 0;
	let ends = 0;
	for (let checked = unseen.pop(); checked !== undefined; checked = unseen.pop()) {
		ends += checked.isEnded ? 1 : 0;
		for (const event of eventsAfter(checked)) {
			steps += 1;
			const next = checkStep(checked, event);
			const key = JSON.stringify(next, (_, value: unknown) => value === undefined ? 'none' : value);
			if (!seen.has(key)) {
				seen.add(key);
				unseen.push(next);
			}
		}
	}

	t.ok(ends > 0, `${seen.size} states, ${steps} steps, ${ends} of them end the connection`);
	t.ok(seen.size > 1000);
});

/** A draw for the next event; one that can't follow is left out. */
const draws = fc.array(fc.record({
	type: fc.constantFrom('request' as const, 'request' as const, 'request' as const, 'head' as const, 'end' as const, 'stop' as const, 'malformed' as const),
	flag: fc.boolean(), index: fc.nat({max: maxOpenRequests}), isRare: fc.integer({min: 0, max: 60}).map(value => value === 0),
}), {minLength: 40, maxLength: 300, size: 'max'});

function eventOf(checked: Checked, {type, flag, index, isRare}: {type: ConnectionEvent['type']; flag: boolean; index: number; isRare: boolean}): ConnectionEvent | undefined {
	switch (type) {
		case 'request': {
			return {type, number: checked.requests, hasSafeMethod: flag};
		}

		case 'head': {
			return checked.unsent.length === 0 ? undefined : {type, number: checked.unsent[index % checked.unsent.length]!, closes: isRare};
		}

		case 'end': {
			return checked.owed.length === 0 ? undefined : {type, number: checked.owed[0]!};
		}

		case 'stop': {
			return isRare ? {type} : undefined;
		}

		case 'malformed': {
			return isRare ? {type, status: flag ? firstStatus : secondStatus} : undefined;
		}
	}
}

// The bound on open requests, and what a refusal does, take more requests than can be enumerated.
tap.test('in drawn orders of events of a long connection each rule holds', async t => {
	let refused = 0;
	fc.assert(fc.property(draws, list => {
		let checked = newChecked;
		for (const draw of list) {
			const event = eventOf(checked, draw);
			if (event !== undefined && canFollow(checked, event)) {
				checked = checkStep(checked, event);
			}
		}

		refused += checked.refused;
	}), {seed: 7, numRuns: 2000});
	t.ok(refused > 0, `${refused} connections had a request refused`);
});
