import {type LoopCaller, type LoopKind, VirtualLoop} from './virtual-loop.js';
import {VirtualTime} from './virtual-time.js';

const costs = {accept: 0.3, read: 0.5, begin: 3, refuse: 0.2};
export const question: LoopKind = {name: 'question', urgency: 0, perSecond: 0.15, targetMilliseconds: 150, deadlineMilliseconds: 10_000};
export const chart: LoopKind = {name: 'chart', urgency: 1, perSecond: 0.35, targetMilliseconds: 250, deadlineMilliseconds: 2500};
export const draft: LoopKind = {name: 'draft', urgency: 2, perSecond: 0.5, targetMilliseconds: 600, deadlineMilliseconds: 4000};
const trafficMilliseconds = 12_000;
/** What the first seconds show is the beginning of the burst. */
const from = 4000;
/** The rule: no more than a twelfth of a kind gets nothing while less urgent ones begin. */
export const allowedShare = 1 / 12;

/** What became of the callers of one play. */
export type OverloadPlay = {readonly begun: number; share: (kind: LoopKind, test: (caller: LoopCaller) => boolean) => number};

/** One play; `load` is what comes, as a multiple of what the instance could begin if all came one by one. */
export function playOverload({load, share, seed, hasGate = true}: {load: number; share: number; seed: number; hasGate?: boolean}): OverloadPlay {
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
