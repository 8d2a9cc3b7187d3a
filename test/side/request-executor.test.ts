import tap from 'tap';
import {type EngineClient} from '../../src/endpoint/index.js';
import {type EndpointId, type InstanceId} from '../../src/model/index.js';
import {type Scheduler} from '../../src/policy/scheduler/index.js';
import {type EntryLink} from '../../src/side/entry-link.js';
import {RequestExecutor} from '../../src/side/request-executor.js';
import {type Message, type MessageOf} from '../../src/wire/index.js';

const refusingScheduler: Scheduler<undefined> = {
	create: () => undefined,
	step(state, event) {
		if (event.type === 'arrived') {
			return {state, actions: [{type: 'offer', id: event.id}]};
		}

		const refuses = event.type === 'started';
		return {state, actions: refuses ? [{type: 'refuse', id: event.id, kind: 'queue_timeout', message: 'Lapsed.', retryAfterMilliseconds: 0}] : []};
	},
	view: () => ({slots: 1, running: 0, waiting: [0, 0, 0], tokenMilliseconds: 0, leaving: false}),
};

// The body arrives at the moment in which the scheduler withdraws the slot. The entry receives
// `refuse`, which means that the request did not run, so the body must not reach the engine at all.
tap.test('a request that is refused as its body arrives does not run', async t => {
	let runs = 0;
	const client = {
		run() {
			runs++;
		},
	} as unknown as EngineClient;
	const executor = RequestExecutor.create({
		backend: {type: 'engine', client}, scheduler: refusingScheduler, instance: 'side' as InstanceId, endpoint: 'engine' as EndpointId, onEndpointDown: () => undefined,
	});
	const sent: Message[] = [];
	const link = {number: 1, reservations: new Map(), send: (message: Message) => sent.push(message)} as unknown as EntryLink;
	const summary = {id: 'r', idempotent: true} as unknown as MessageOf<'reserve'>['summary'];
	executor.reserve(link, {type: 'reserve', stream: 1, request: 'r', summary});
	const start = {type: 'start', stream: 1, request: 'r', credit: 1, more: false} as unknown as MessageOf<'start'>;
	executor.start(link, start);
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	t.same(sent.map(({type}) => type), ['offer', 'refuse']);
	t.equal(runs, 0);
});
