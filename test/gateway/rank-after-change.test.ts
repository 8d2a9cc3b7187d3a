import tap from 'tap';
import {confirmation, draft, ticket} from './request-kinds.js';
import {VirtualFleet} from './virtual-fleet.js';
import {VirtualTime} from './virtual-time.js';

// Drafts are queued, and the operator adds a workspace of another urgency. All confirmations that arrived afterwards got 503 at once
// with "reason":"too-late", while the queued drafts were served: priorities were ranks among the urgency pairs of one routing table,
// so a draft's rank 2 of the old table preceded a confirmation's rank 3 of the new one, though nothing had changed for either.
tap.test('a new workspace does not put waiting drafts before confirmations', async t => {
	using time = VirtualTime.install();
	using fleet = VirtualFleet.create({
		time, kinds: [ticket, confirmation, {...draft, urgency: 3}, {...draft, name: 'notice', urgency: 2}],
		instances: 1, engines: 1, slots: 64, tokensPerMillisecond: 57, workspaceUrgencies: [1], seed: 1,
	});
	const drafts = Array.from({length: 40}, () => fleet.send('draft', 0));
	time.runFor(100);
	const waiting = drafts.filter(({decision}) => decision === undefined);
	t.ok(waiting.length > 10, 'drafts are queued');
	fleet.publishTable(2, [1, 0]);
	const urgent = Array.from({length: 24}, () => fleet.send('confirmation', 0)).filter(({workspaceUrgency}) => workspaceUrgency === 1);
	t.equal(urgent.length, 12);
	time.runFor(1800);
	const last = Math.max(...urgent.map(({placedAt}) => placedAt ?? Infinity));
	const before = waiting.filter(({placedAt}) => placedAt !== undefined && placedAt < last);
	t.ok(Number.isFinite(last), 'the confirmations are placed');
	t.ok(before.length <= 1, `${before.length} drafts were placed before them`);
});
