import tap from 'tap';
import {answer, largestShare, requestsOf, runUneven, shareInTime, summary} from './uneven-engines.js';
import {VirtualTime} from './virtual-time.js';

// Guards against all instances sending to the engine that looks fastest before they hear of each other.
tap.test('reports that come 0.3 s late give no herd onto fast engines', async t => {
	const alike = requestsOf({reportMilliseconds: 300, tuning: {learnsEngines: false}, seed: 3});
	const learned = requestsOf({reportMilliseconds: 300, seed: 3});
	t.ok(shareInTime(learned, answer) > 0.9, `${shareInTime(learned, answer)} in time, ${shareInTime(alike, answer)} if all are taken for alike`);
	t.ok(shareInTime(learned, summary) > 0.98, `${shareInTime(learned, summary)} of the long prompts in time`);
	t.ok(largestShare(learned, summary) < 0.3, `${largestShare(learned, summary)} of the long prompts on one of twelve engines`);
});

// Guards against an engine that gets what an earlier one of the same id could do: it may run on another machine.
tap.test('an endpoint that starts anew under its id is unknown', async t => {
	using time = VirtualTime.install();
	const {fleet} = runUneven(time, {seed: 1});
	using _ = fleet;
	const {loadTracker} = fleet.dispatchers[0]!;
	const speed = loadTracker.prefillSpeed('models');
	t.not(loadTracker.engineSpeed('engine-2', 'models', time.now).tokensPerMillisecond, speed.tokensPerMillisecond);
	fleet.restart('engine-2', 500);
	t.not(loadTracker.engineSpeed('engine-2', 'models', time.now).tokensPerMillisecond, speed.tokensPerMillisecond, 'a record that says for the first time when it has started is none of a restart');
	fleet.restart('engine-2', 1000);
	t.equal(loadTracker.engineSpeed('engine-2', 'models', time.now).tokensPerMillisecond, speed.tokensPerMillisecond);
	t.not(loadTracker.engineSpeed('engine-5', 'models', time.now).tokensPerMillisecond, speed.tokensPerMillisecond, 'the others are known');
});
