import fc from 'fast-check';
import tap from 'tap';
import {v7 as uuidv7} from 'uuid';
import {
	createResponseCache, createClaims, findResponse, foldClaims, holderOf, cacheResponse,
	keyWindowMilliseconds, maxResponseCacheBytes, parseClaimKey, type Claims,
} from '../../src/policy/claims/index.js';

const start = 1_800_000_000_000;
type Step = {readonly type: 'claim' | 'release' | 'finish'; readonly key: string; readonly claim: string};
const step: fc.Arbitrary<Step> = fc.record({
	type: fc.constantFrom('claim' as const, 'claim' as const, 'release' as const, 'finish' as const),
	key: fc.constantFrom('k1', 'k2'),
	claim: fc.constantFrom('c1', 'c2', 'c3', 'c4'),
}).map(one => ({...one, claim: `${one.key}-${one.claim}`}));

function recordOf(steps: readonly Step[], offset: number, time = start): {offset: number; time: number; value: unknown} {
	const items = steps.map(one => ({...one, keyTime: start, request: `request-${one.claim}`, fingerprint: 'f'}));
	return {offset, time, value: {batch: `b${offset}`, instance: 'entry', items}};
}

function holders(state: Claims): Array<string | undefined> {
	return ['k1', 'k2'].map(id => holderOf(state, {id, time: start})?.claim);
}

function onlyReleasesChange({before, state, one, released}: {before: ReadonlyArray<string | undefined>; state: Claims; one: Step; released: ReadonlySet<string>}): boolean {
	return holders(state).every((holder, key) => {
		const kept = holder === before[key] || before[key] === undefined || (one.type === 'release' && one.claim === before[key]);
		const finished = holder !== undefined && holderOf(state, {id: `k${key + 1}`, time: start})!.finished;
		return kept && (holder === undefined || !released.has(holder) || finished);
	});
}

tap.test('only its holder\'s release frees a key, and a released claim never holds a key again', async () => {
	// Appends arrive late, twice or not at all, in any order. Two callers must never both see that they won.
	fc.assert(fc.property(fc.array(fc.array(step, {minLength: 1, maxLength: 3}), {maxLength: 20}), batches => {
		let state = createClaims();
		const released = new Set<string>();
		return batches.every((steps, offset) => steps.every((one, index) => {
			const before = holders(state);
			state = foldClaims(state, [recordOf([one], (offset * 3) + index)]);
			if (one.type === 'release') {
				released.add(one.claim);
			}

			return onlyReleasesChange({before, state, one, released});
		}));
	}), {seed: 11, numRuns: 1000});
});

tap.test('readers with different page sizes, and with records read twice, find the same winners', async () => {
	fc.assert(fc.property(fc.array(fc.array(step, {minLength: 1, maxLength: 4}), {maxLength: 20}), fc.integer({min: 1, max: 7}), (batches, page) => {
		const records = batches.map((steps, offset) => recordOf(steps, offset));
		const unpaged = foldClaims(createClaims(), records);
		let paged = createClaims();
		for (let from = 0; from < records.length; from += page) {
			paged = foldClaims(paged, records.slice(Math.max(0, from - 2), from + page));
		}

		return JSON.stringify(holders(unpaged)) === JSON.stringify(holders(paged)) && unpaged.next === paged.next;
	}), {seed: 12});
});

tap.test('a repeated append changes nothing', async () => {
	fc.assert(fc.property(fc.array(step, {minLength: 1, maxLength: 12}), fc.nat(), (steps, seed) => {
		const once = foldClaims(createClaims(), steps.map((one, offset) => recordOf([one], offset)));
		const last = steps.at(-1)!;
		const again = foldClaims(once, [recordOf([last], steps.length + (seed % 3))]);
		return JSON.stringify(holders(once)) === JSON.stringify(holders(again));
	}), {seed: 13});
});

tap.test('a claim with a log time outside the key\'s window is void, and old keys are dropped', async t => {
	const late = foldClaims(createClaims(), [recordOf([{type: 'claim', key: 'k1', claim: 'c1'}], 0, start + keyWindowMilliseconds)]);
	t.same(holders(late), [undefined, undefined]);
	const inTime = foldClaims(createClaims(), [recordOf([{type: 'claim', key: 'k1', claim: 'c1'}], 0)]);
	t.same(holders(inTime), ['c1', undefined]);
	const later = foldClaims(inTime, [{offset: 1, time: start + (2 * keyWindowMilliseconds), value: 'not a batch'}]);
	t.equal(later.minutes.size, 0);
	t.equal(later.ignored, 1);
});

tap.test('a key is a UUIDv7 within its workspace', async t => {
	t.match(parseClaimKey('hotel' as never, 'ticket-12'), {type: 'refused', failure: {verdict: 'not-run'}});
	const text = uuidv7({msecs: start});
	const parsed = parseClaimKey('hotel' as never, text.toUpperCase());
	t.match(parsed, {type: 'key', key: {id: `hotel/${text}`, time: start}});
});

tap.test('cached responses stay within the size limit and the lifetime', async t => {
	const response = (bytes: number) => ({status: 200, headers: {}, body: new Uint8Array(bytes)});
	let state = cacheResponse(createResponseCache(), 'c1', response(10), 0);
	state = cacheResponse(state, 'c2', response(maxResponseCacheBytes - 5), 1);
	t.equal(findResponse(state, 'c1', 2), undefined);
	t.equal(findResponse(state, 'c2', 2)?.status, 200);
	t.equal(findResponse(state, 'c2', 10 * 60_000), undefined);
	t.equal(state.bytes, maxResponseCacheBytes - 5);
});
