import tap from 'tap';
import {channel, tryReceive} from '../../src/concurrency/index.js';
import {type ExchangeEvent} from '../../src/gateway/requests/exchange-options.js';
import {type PlacementSubmission} from '../../src/gateway/requests/placement-submission.js';
import {SuccessorSearch} from '../../src/gateway/requests/successor-search.js';
import {type Decision} from '../../src/gateway/placement/index.js';

const next = {excluded: new Set<string>(), build: undefined, isIdempotent: true};
const placed = {type: 'placed', runId: 7} as unknown as Decision;
const refused = {type: 'refused'} as unknown as Decision;

/** A search, what it asked of the dispatcher, and how the dispatcher decides. */
function createSearch(): {readonly search: SuccessorSearch; readonly asked: string[]; readonly decide: (decision: Decision) => void; readonly hasTold: () => boolean} {
	const asked: string[] = [];
	const inbox = channel<ExchangeEvent>(4);
	let decide: (decision: Decision) => void = () => undefined;
	const submission = {
		submit(id: string, _: unknown, onDecision: (decision: Decision) => void) {
			asked.push(`submit ${id}`);
			decide = onDecision;
		},
		cancel(id: string) {
			asked.push(`cancel ${id}`);
		},
		release({runId}: {readonly runId: number}) {
			asked.push(`release ${runId}`);
		},
	} as unknown as PlacementSubmission;
	const search = SuccessorSearch.create({submission, inbox});
	return {search, asked, hasTold: () => tryReceive(inbox) !== undefined, decide(decision) {
		decide(decision);
	}};
}

// Without this, an endpoint's slot would stay taken by a stream that its own endpoint went on with.
tap.test('a place that nobody takes is released once', async t => {
	const {search, asked, decide, hasTold} = createSearch();
	search.begin('a', next);
	decide(placed);
	t.ok(hasTold());
	t.equal(search.progress, 'placed');
	search.cancel();
	search.cancel();
	t.equal(search.progress, 'none');
	t.same(asked, ['submit a', 'release 7']);
});

// Without this, a request that is over would stay in the line, and get a place.
tap.test('a search that ends while it waits leaves the line once', async t => {
	const {search, asked} = createSearch();
	search.begin('a', next);
	search.cancel();
	search.cancel();
	t.same(asked, ['submit a', 'cancel a']);
});

// Without this, the place of the next attempt would be released under it.
tap.test('a place that is taken is not released', async t => {
	const {search, asked, decide} = createSearch();
	search.begin('a', next);
	t.equal(search.take(), undefined);
	decide(placed);
	t.equal(search.take()?.decision, placed as never);
	t.equal(search.take(), undefined, 'it is handed over once');
	search.cancel();
	t.same(asked, ['submit a']);
});

tap.test('a search that is refused holds nothing, and the request is told', async t => {
	const {search, asked, decide, hasTold} = createSearch();
	search.begin('a', next);
	decide(refused);
	t.ok(hasTold());
	t.equal(search.progress, 'refused');
	t.equal(search.take(), undefined);
	search.cancel();
	t.same(asked, ['submit a']);
});
