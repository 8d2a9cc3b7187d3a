import tap from 'tap';
import {FakeEngine} from '../../fakes/index.js';
import {EngineControl} from '../../src/endpoint/index.js';

tap.test('health, load, models and orders', async t => {
	await using engine = await FakeEngine.create({models: ['large']});
	await using control = EngineControl.create({baseUrl: engine.url, timeoutMilliseconds: 2000});
	t.ok(await control.isHealthy());
	t.match(await control.load(), {running: 0});
	t.same(await control.models(), [{id: 'large', version: '1'}]);
	t.same(await control.order({order: 'load-model', name: 'small', version: '2', fence: 5}), {type: 'taken'});
	t.same(await control.order({order: 'load-model', name: 'small', version: '1', fence: 4}), {type: 'fenced'});
	engine.faults.mode = 'reset';
	t.match(await control.order({order: 'load-model', name: 'small', version: '3', fence: 6}), {type: 'failed', mayHaveHappened: true});
	t.notOk(await control.isHealthy());
	await engine.crash();
	t.match(await control.order({order: 'load-model', name: 'small', version: '3', fence: 6}), {type: 'failed', mayHaveHappened: false});
});
