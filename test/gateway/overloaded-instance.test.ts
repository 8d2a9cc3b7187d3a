import tap from 'tap';
import {type LoopCaller, type LoopKind, VirtualLoop} from './virtual-loop.js';
import {VirtualTime} from './virtual-time.js';

const costs = {accept: 0.3, read: 0.5, begin: 3, refuse: 0.2};
const question: LoopKind = {name: 'question', urgency: 0, perSecond: 0.15, targetMilliseconds: 150, deadlineMilliseconds: 10_000};
const chart: LoopKind = {name: 'chart', urgency: 1, perSecond: 0.35, targetMilliseconds: 250, deadlineMilliseconds: 2500};
const draft: LoopKind = {name: 'draft', urgency: 2, perSecond: 0.5, targetMilliseconds: 600, deadlineMilliseconds: 4000};
const trafficMilliseconds = 12_000;
/** What the first seconds show is the beginning of the burst. */
const from = 4000;
/** The rule: no more than a twelfth of a kind gets nothing while less urgent ones begin. */
const allowedShare = 1 / 12;
/** Accepting connections takes at most half of the time that is not spent on running requests. */
const leastThroughput = 0.5;

type Play = {readonly begun: number; share: (kind: LoopKind, test: (caller: LoopCaller) => boolean) => number};

/** `load` is what comes, as a multiple of what the instance could begin if all came one by one. */
function play({load, share, seed, hasGate = true}: {load: number; share: number; seed: number; hasGate?: boolean}): Play {
	using time = VirtualTime.install();
	const perSecond = load * share * 1000 / (costs.accept + costs.read + costs.begin);
	const kinds = [question, chart, draft].map(kind => ({...kind, perSecond: kind.perSecond * perSecond}));
	using loop = VirtualLoop.create({time, seed, kinds, costs, share, hasGate});
	const startedAt = time.now;
	loop.sendFor(trafficMilliseconds);
	time.runFor(trafficMilliseconds);
	const begun = loop.callers.filter(({outcome, decidedAt}) => outcome === 'begun' && decidedAt >= startedAt + from).length;
	time.runFor(10_000);
	const measured = loop.callers.filter(({arrivedAt}) => arrivedAt >= startedAt + from);
	return {begun, share(kind, test) {
		const own = measured.filter(one => one.kind.name === kind.name);
		return own.filter(one => test(one)).length / own.length;
	}};
}

const isUnserved = ({outcome}: LoopCaller): boolean => outcome !== 'begun';

for (const share of [0.12, 0.243, 0.513]) {
	for (const load of [0.5, 1, 2, 3]) {
		// Callers got less the more of them came: the processor went to connections and to refusals of callers that came back at once.
		tap.test(`an instance with ${share} of a core begins on at ${load} times what it can do`, async t => {
			for (const seed of [1, 2, 3]) {
				const without = play({load, share, seed, hasGate: false});
				const {begun} = play({load, share, seed});
				t.ok(begun >= leastThroughput * without.begun, `seed ${seed}: ${begun} begun, ${without.begun} without a gate`);
			}
		});
	}

	// Who waits for the shortest time got nothing, whatever its urgency.
	tap.test(`an instance with ${share} of a core and twice what it can do gives the least urgent nothing first`, async t => {
		for (const seed of [1, 2, 3]) {
			const {share: shareOf} = play({load: 2, share, seed});
			const [questions, charts, drafts] = [question, chart, draft].map(kind => shareOf(kind, isUnserved));
			t.ok(questions! <= allowedShare, `seed ${seed}: ${questions!.toFixed(3)} of the questions are not begun`);
			t.ok(charts! <= allowedShare || drafts === 1, `seed ${seed}: ${charts!.toFixed(3)} of the charts are not begun, ${drafts!.toFixed(3)} of the drafts`);
			const late = shareOf(question, ({arrivedAt, decidedAt}) => decidedAt - arrivedAt > question.targetMilliseconds);
			t.ok(late <= allowedShare, `seed ${seed}: ${late.toFixed(3)} of the questions are begun after their target`);
		}
	});
}
