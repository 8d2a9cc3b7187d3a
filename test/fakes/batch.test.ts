import tap from 'tap';
import {Batch, defaultCosts, type Job} from '../../fakes/engine/batch.js';
import {readTask} from '../../fakes/engine/answer.js';

function job(id: string, prompt: string, priority = 0): Job {
	return {id, task: readTask(JSON.stringify({model: 'm', prompt})), priority, next: 0, prefillLeft: 0};
}

tap.test('a step takes longer with a larger batch and with more prompt tokens to prefill', async t => {
	const batch = Batch.create(defaultCosts);
	batch.add(job('a', 'short [[tokens=9]]'));
	const alone = batch.step().milliseconds;
	for (let index = 0; index < 20; index++) {
		batch.add(job(`b${index}`, `x${index}${'y'.repeat(200)} [[tokens=9]]`));
	}

	const crowded = batch.step();
	t.ok(crowded.milliseconds > alone);
	t.ok(crowded.produced.length < 21, 'prompts are prefilled over several steps');
});

tap.test('a cached prompt prefix is not prefilled again', async t => {
	const batch = Batch.create(defaultCosts);
	const prefix = 'menu '.repeat(200);
	batch.add(job('a', `${prefix}one [[tokens=1]]`));
	batch.step();
	const before = batch.prefilledTokens;
	batch.add(job('b', `${prefix}two [[tokens=1]]`));
	batch.step();
	t.ok(batch.prefilledTokens - before < before / 4);
});

tap.test('memory bounds the batch, and the lowest priority is evicted first', async t => {
	const batch = Batch.create({...defaultCosts, memoryTokens: 60, prefixCacheTokens: 0});
	const high = job('high', 'a [[tokens=90]]', 0);
	const low = job('low', 'b [[tokens=90]]', 2);
	batch.add(low);
	batch.add(high);
	while (batch.evictions === 0) {
		batch.step();
	}

	t.ok(batch.running.has(high));
	t.same(batch.waiting.map(waiting => waiting.id), ['low']);
});
