import tap from 'tap';
import {type EngineClient} from '../../src/endpoint/index.js';
import {type EndpointId, type InstanceId} from '../../src/model/index.js';
import {type Scheduler} from '../../src/policy/scheduler/index.js';
import {type EntryLink} from '../../src/side/entry-link.js';
import {Work} from '../../src/side/work.js';
import {type Message, type MessageOf} from '../../src/wire/index.js';

const refusing: Scheduler<undefined> = {
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

// The entry's body comes in the very moment in which the scheduler takes the slot back. The entry
// hears `refuse`, which means not run, so the body must not reach the engine, not even for a step.
tap.test('a body that is refused as it arrives does not run', async t => {
	let runs = 0;
	const client = {
		run() {
			runs++;
		},
	} as unknown as EngineClient;
	const work = Work.create({
		backend: {type: 'engine', client}, scheduler: refusing, instance: 'side' as InstanceId, endpoint: 'engine' as EndpointId, endpointDown: () => undefined,
	});
	const sent: Message[] = [];
	const link = {number: 1, reservations: new Map(), send: (message: Message) => sent.push(message)} as unknown as EntryLink;
	const summary = {id: 'r', idempotent: true} as unknown as MessageOf<'reserve'>['summary'];
	work.reserve(link, {type: 'reserve', stream: 1, request: 'r', summary});
	const start = {type: 'start', stream: 1, request: 'r', credit: 1, more: false} as unknown as MessageOf<'start'>;
	work.start(link, start);
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	t.same(sent.map(({type}) => type), ['offer', 'refuse']);
	t.equal(runs, 0);
});
