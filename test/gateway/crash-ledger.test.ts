import {createHash} from 'node:crypto';
import tap from 'tap';
import {CrashLedger, initialMessages, type RepeatableRequest, RoutingState} from '../../src/gateway/index.js';
import {fingerprintOfPart, type PendingRecord, quarantineMilliseconds, type QuarantineRecord, quarantineRecordSchema, type RunRecord} from '../../src/policy/quarantine/index.js';
import {type EndpointRecord} from '../../src/routing/index.js';
import {type ZoneName} from '../../src/model/index.js';

const silentLogger = {debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined};
const request: RepeatableRequest = {workspace: 'studio-a', method: 'POST', path: '/chart/1', body: new TextEncoder().encode('artwork'), parts: []};
/** Longer than a broken connection stays open to refutation. */
const confirmedMilliseconds = 1100;

function endpoint(id: string, bornAt?: number): EndpointRecord {
	return {id, service: 'models', address: '127.0.0.1:1', zone: 'z' as ZoneName, isLeaving: false, slots: 4, revision: 1, ...(bornAt !== undefined && {bornAt})};
}

function createLedger(instance = 'a', instances: readonly string[] = []): {ledger: CrashLedger; sent: QuarantineRecord[]; sentPending: PendingRecord[]; sentRuns: RunRecord[]} {
	const sent: QuarantineRecord[] = [];
	const sentPending: PendingRecord[] = [];
	const sentRuns: RunRecord[] = [];
	const ledger = CrashLedger.create({
		instance,
		instances: () => instances,
		logger: silentLogger,
		isLost: () => false,
		onNews({records, pending, runs}) {
			sentRuns.push(...runs);
			sent.push(...records);
			sentPending.push(...pending);
		},
		onOwnNews: () => undefined,
		onEvidence: () => undefined,
	});
	return {ledger, sent, sentPending, sentRuns};
}

async function untilConfirmed(): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, confirmedMilliseconds);
	});
}

function crashRecord(endpointId: string, fingerprints: readonly string[], time: number): QuarantineRecord {
	return {type: 'crashed', crash: endpointId, endpoint: endpointId, fingerprints: [...fingerprints], time};
}

tap.test('three endpoints that crash with a request quarantine it for ten minutes', async t => {
	const {ledger, sent} = createLedger();
	const now = performance.now();
	for (const id of ['a', 'b', 'c']) {
		ledger.recordUnanswered(endpoint(id), request, {sentAt: 0, sign: 'break', now});
	}

	t.equal(ledger.quarantineOf(request, now), undefined, 'a break can still be refuted');
	await untilConfirmed();
	t.match(ledger.quarantineOf(request, now + 2000), {crashes: 3, remainingMilliseconds: quarantineMilliseconds - 2000});
	t.equal(sent.length, 3, 'and peers are told');
	t.equal(ledger.quarantineOf({...request, body: new TextEncoder().encode('other')}, now), undefined);
	t.equal(ledger.quarantineOf({...request, path: '/chart/2'}, now), undefined);
	t.equal(ledger.quarantineOf({...request, workspace: 'studio-b'}, now), undefined);
	t.equal(ledger.quarantineOf(request, now + quarantineMilliseconds), undefined, 'it may be tried again');
});

// A lost response or a reset connection is no crash; the request of a caller that met three of them would be refused.
tap.test('a break is no crash if the endpoint responds to a later request', async t => {
	const {ledger, sent} = createLedger();
	const now = performance.now();
	for (const id of ['a', 'b', 'c']) {
		ledger.recordUnanswered(endpoint(id), request, {sentAt: 0, sign: 'break', now});
		ledger.monitor.recordResponse(endpoint(id), now + 50, now + 60);
	}

	await untilConfirmed();
	t.same(sent, []);
});

// A crashed endpoint's last responses arrive after the break.
tap.test('responses to earlier requests, or of another incarnation, refute no crash', async t => {
	const {ledger, sent} = createLedger();
	const now = performance.now();
	for (const id of ['a', 'b', 'c']) {
		ledger.recordUnanswered(endpoint(id, 1), request, {sentAt: 0, sign: 'break', now});
		ledger.monitor.recordResponse(endpoint(id, 1), now - 50, now + 60);
		ledger.monitor.recordResponse(endpoint(id, 2), now + 50, now + 60);
	}

	await untilConfirmed();
	t.equal(sent.length, 3);
});

tap.test('several breaks at one incarnation of an endpoint are one crash', async t => {
	const {ledger, sent} = createLedger();
	for (let number = 0; number < 5; number++) {
		ledger.recordUnanswered(endpoint('a'), request, {sentAt: 0, sign: 'break', now: performance.now()});
	}

	await untilConfirmed();
	t.equal(sent.length, 1);
	t.equal(ledger.quarantineOf(request, performance.now()), undefined);
	ledger.applyNews({records: sent.map(record => ({...record, time: record.time + 3})), pending: []}, 'instance b');
	t.equal(sent.length, 1, 'what another instance saw of it is not passed on again');
});

// It ran beside the request that crashed the endpoints, and is served by others.
tap.test('runs that outweigh the crashes free a request, at the peers too', async t => {
	const {ledger, sent, sentRuns} = createLedger();
	const other = createLedger('b');
	const now = performance.now();
	ledger.recordUnanswered(endpoint('a'), request, {sentAt: 0, sign: 'break', now});
	await untilConfirmed();
	const [crash] = sent;
	const fingerprints = crash?.type === 'crashed' ? crash.fingerprints : [];
	const more = [crashRecord('b', fingerprints, now + 2000), crashRecord('c', fingerprints, now + 4000)];
	for (const one of [ledger, other.ledger]) {
		one.applyNews({records: [...sent, ...more]}, 'instance x');
		t.not(one.quarantineOf(request, now + 1), undefined);
	}

	for (let run = 1; run < 30; run++) {
		ledger.recordCompleted(request, now + 4000 + run);
		t.match(ledger.quarantineOf(request, now + 5000), {type: 'quarantined', runs: run}, 'a request that some endpoints survive goes on crashing the others');
	}

	ledger.recordCompleted(request, now + 5000);
	t.equal(ledger.quarantineOf(request, now + 5001), undefined);
	for (let run = 30; run < 60; run++) {
		ledger.recordCompleted(request, now + 5000);
	}

	t.ok(sentRuns.length < 10, 'counts are told as they double');
	other.ledger.applyNews({runs: sentRuns}, 'instance y');
	t.equal(other.ledger.quarantineOf(request, now + 5001), undefined);
	const newcomer = createLedger('c');
	newcomer.ledger.applyNews(other.ledger.openNews(now + 5001), 'instance b');
	t.equal(newcomer.ledger.crashCount, 3);
	t.equal(newcomer.ledger.quarantineOf(request, now + 5001), undefined, 'and a new peer is told of both');
});

// Three requests ended all endpoints of a service again and again, and a request that many callers send was told to come back ten minutes later.
tap.test('crashes that a request which never runs explains do not count against one that runs', async t => {
	const {ledger, sent} = createLedger();
	const now = performance.now();
	ledger.recordUnanswered(endpoint('a'), request, {sentAt: 0, sign: 'break', now});
	await untilConfirmed();
	const fingerprints = sent[0]?.type === 'crashed' ? sent[0].fingerprints : [];
	const times = [now, now + 2000, now + 4000];
	ledger.applyNews({records: ['b', 'c', 'd'].map((id, index) => crashRecord(id, fingerprints, times[index]!))}, 'instance x');
	ledger.recordCompleted(request, now + 4000);
	t.match(ledger.quarantineOf(request, now + 5000), {type: 'quarantined', remainingMilliseconds: 2000}, 'it runs, so it may soon be outweighed');
	ledger.applyNews({records: ['a', 'b', 'c', 'd'].map((id, index) => crashRecord(id, ['crashing'], times[index] ?? now))}, 'instance x');
	t.equal(ledger.quarantineOf(request, now + 5000), undefined, 'the other request explains them');
	ledger.applyNews({runs: [{fingerprint: 'crashing', instance: 'x', runs: 1}]}, 'instance x');
	t.match(ledger.quarantineOf(request, now + 5000), {type: 'quarantined'}, 'unless that one runs too');
});

// Many callers send one request, and three of its endpoints fail together: it was refused for ten minutes, and nothing could clear it any more.
tap.test('crashes of endpoints that fail together do not count against a request that ran elsewhere just before', async t => {
	const {ledger, sentRuns} = createLedger();
	const [unused, other] = [createLedger(), createLedger()];
	const now = performance.now();
	for (const id of ['a', 'b', 'c']) {
		unused.ledger.recordUnanswered(endpoint(id), request, {sentAt: 0, sign: 'break', now});
	}

	await untilConfirmed();
	const pending = ['d', 'e', 'f'].map(crash => ({type: 'pending' as const, crash, fingerprints: unused.sent.flatMap(record => record.type === 'crashed' ? record.fingerprints : []), time: now}));
	ledger.recordCompleted(request, now - 1000);
	other.ledger.recordCompleted(request, now - 5000);
	for (const one of [ledger, other.ledger]) {
		one.applyNews({records: unused.sent, pending}, 'instance x');
	}

	t.equal(ledger.quarantineOf(request, now + 1), undefined);
	t.match(sentRuns.at(-1), {instance: 'a', runs: 1}, 'and peers are told');
	t.match(other.ledger.quarantineOf(request, now + 1), {type: 'quarantined'}, 'a run of long before says nothing');
});

tap.test('a request is refused for a moment while three crashes are not certain', async t => {
	const {ledger} = createLedger();
	const now = performance.now();
	for (const id of ['a', 'b', 'c']) {
		ledger.recordUnanswered(endpoint(id), request, {sentAt: now - 700, sign: 'silence', now});
	}

	await untilConfirmed();
	t.match(ledger.quarantineOf(request, performance.now()), {type: 'suspected', crashes: 3, remainingMilliseconds: 2000});
	ledger.recordCompleted(request, performance.now());
	t.equal(ledger.quarantineOf(request, performance.now()), undefined, 'unless it runs to its end');
});

// Under overload endpoints seem silent for a moment all the time; each instance told each neighbour of each of them.
tap.test('other instances are told of a request that is suspected twice, and of the end of what they were told', async t => {
	const {ledger, sentPending} = createLedger();
	const now = performance.now();
	ledger.recordUnanswered(endpoint('a'), request, {sentAt: now - 700, sign: 'silence', now});
	await untilConfirmed();
	t.same(sentPending, [], 'not of the first suspicion');
	ledger.monitor.recordResponse(endpoint('a'), now, performance.now());
	t.same(sentPending, [], 'nor of its end');
	for (const id of ['b', 'c']) {
		ledger.recordUnanswered(endpoint(id), request, {sentAt: now - 700, sign: 'silence', now: performance.now()});
	}

	await untilConfirmed();
	t.same(sentPending.map(({type, crash}) => `${type} ${crash}`).toSorted(), ['pending b', 'pending c']);
	ledger.monitor.recordResponse(endpoint('b'), performance.now(), performance.now() + 10);
	t.match(sentPending.at(-1), {type: 'dismissed', crash: 'b'});
});

tap.test('what another instance suspects is passed on, and its end too', async t => {
	const {ledger, sentPending} = createLedger();
	const record: PendingRecord = {type: 'pending', crash: 'x', fingerprints: ['f'], time: performance.now()};
	ledger.applyNews({records: [], pending: [record]}, 'instance x');
	ledger.applyNews({records: [], pending: [record]}, 'instance y');
	t.equal(sentPending.length, 1);
	ledger.applyNews({records: [], pending: [{...record, type: 'dismissed', time: record.time + 100}]}, 'instance x');
	t.equal(sentPending.length, 2);
});

// A record with more names than a message may have would end the links to all peers.
tap.test('a crash under thousands of requests is told in a record of bounded size', async t => {
	const {ledger, sent} = createLedger();
	for (let number = 0; number < 1500; number++) {
		ledger.recordUnanswered(endpoint('a'), {...request, path: `/chart/${number}`}, {sentAt: 0, sign: 'break', now: performance.now()});
	}

	await untilConfirmed();
	ledger.applyNews({records: [crashRecord('a', Array.from({length: 1000}, (_, number) => `other-${number}`), performance.now())], pending: []}, 'instance b');
	for (const record of [...sent, ...ledger.openCrashes(performance.now())]) {
		t.ok(quarantineRecordSchema.safeParse(record).success);
	}
});

// Instances that do not reach each other learned of crashes in silence after seconds, and each request was sent on to a second endpoint meanwhile.
tap.test('a request with a part that three crashes name is not sent on after a failure, and a new one is still tried', async t => {
	const {ledger} = createLedger();
	const now = performance.now();
	const parts = ['bad'];
	ledger.applyNews({records: ['a', 'b', 'c'].map((id, index) => crashRecord(id, [`r${index}`, 'part bad'], now + index))}, 'instance x');
	t.ok(ledger.isSuspect({...request, parts}, now + 10));
	t.equal(ledger.quarantineOf({...request, parts}, now + 10), undefined);
	t.notOk(ledger.isSuspect(request, now + 10), 'others are sent on');
	ledger.recordCompleted({...request, parts}, now + 10);
	t.notOk(ledger.isSuspect({...request, parts}, now + 10), 'so is one whose part has run');
	ledger.applyNews({records: ['d', 'e'].map(id => crashRecord(id, ['part worse'], now)), pending: []}, 'instance x');
	t.notOk(ledger.isSuspect({...request, parts: ['worse']}, now + 10));
});

// Endpoints ended faster than long answers were complete, and the first part of all prompts, which had no run, was blamed with the one that ended them.
tap.test('a part that was written on for a while is not blamed beside one that crashes endpoints', async t => {
	const {ledger, sentRuns} = createLedger();
	const now = performance.now();
	const sound = {...request, parts: ['common']};
	ledger.recordBegun(sound, now - 100);
	const records = Array.from({length: 7}, (_, number) => crashRecord(`e${number}`, [`r${number}`, 'part bad', 'part common'], now + (number * 1100)));
	ledger.applyNews({records}, 'instance x');
	t.equal(ledger.quarantineOf(sound, now + 8000), undefined);
	t.match(sentRuns.find(({fingerprint}) => fingerprint === 'part common'), {instance: 'a', runs: 1}, 'and peers are told');
	t.match(ledger.quarantineOf({...request, parts: ['common', 'bad']}, now + 8000), {type: 'quarantined', fingerprint: 'part bad'});
	const alone = createLedger();
	alone.ledger.recordBegun({...request, parts: ['bad']}, now - 100);
	alone.ledger.applyNews({records: records.map((_, number) => crashRecord(`e${number}`, [`r${number}`, 'part bad'], now + (number * 1100)))}, 'instance x');
	t.match(alone.ledger.quarantineOf({...request, parts: ['bad']}, now + 8000), {type: 'quarantined', fingerprint: 'part bad'}, 'one that nothing else explains is blamed all the same');
});

// With one bound for both, the line that names the part was left out once a thousand requests had met crashes.
tap.test('a quarantine is logged also after very many requests have met crashes, once a count', async t => {
	const lines: string[] = [];
	const logger = {...silentLogger, warn: (message: string) => lines.push(message)};
	const ledger = CrashLedger.create({instance: 'a', instances: () => [], logger, isLost: () => false, onNews: () => undefined, onOwnNews: () => undefined, onEvidence: () => undefined});
	const now = performance.now();
	for (let number = 0; number < 1100; number++) {
		const one = {...request, path: `/chart/${number}`};
		ledger.recordUnanswered(endpoint('x'), one, {sentAt: 0, sign: 'break', now});
	}

	await untilConfirmed();
	for (let number = 0; number < 1100; number++) {
		ledger.quarantineOf({...request, path: `/chart/${number}`}, now + 2000);
	}

	const records = Array.from({length: 5}, (_, number) => crashRecord(`e${number}`, [`r${number}`, 'part bad'], now + number));
	ledger.applyNews({records}, 'instance x');
	ledger.applyNews({records: [crashRecord('e4', ['r9', 'part bad'], now + 4)]}, 'instance y');
	t.same(lines, ['Prompt part quarantined.']);
});

// Instances of different builds name requests to each other, and the store names them to the next start: another hash of the same bytes would forget them.
tap.test('a request is named by the hash of its workspace, method, path and body', async t => {
	const {ledger} = createLedger();
	const now = performance.now();
	const fingerprint = createHash('sha256').update('studio-a\nPOST\n/chart/1\nartwork').digest('hex').slice(0, 32);
	ledger.applyNews({records: ['a', 'b', 'c'].map(id => crashRecord(id, [fingerprint], now))}, 'peer');
	t.match(ledger.quarantineOf(request, now), {type: 'quarantined', crashes: 3});
	t.match(ledger.quarantineOf(request, now), {type: 'quarantined', crashes: 3}, 'asked again');
	t.equal(ledger.quarantineOf({...request, body: undefined}, now), undefined);
	ledger.recordCompleted(request, now);
	t.match(ledger.ownRuns(now), [{fingerprint, runs: 1}], 'and its runs count for the same name');
});

// A part whose crashes no longer count is named again while others still count. Its runs begin anew, and the others would refuse sound requests with it.
tap.test('runs that count anew are told, although more of them were told before', async t => {
	const {ledger, sentRuns} = createLedger();
	const named = {...request, parts: ['shared']};
	const part = fingerprintOfPart('shared');
	const now = performance.now();
	const past = now - quarantineMilliseconds + 50;
	ledger.applyNews({records: ['a', 'b'].map(id => crashRecord(id, [part], past))}, 'peer');
	ledger.applyNews({records: [crashRecord('c', ['other'], now)]}, 'peer');
	for (let number = 0; number < 8; number++) {
		ledger.recordCompleted(named, now);
	}

	t.equal(sentRuns.findLast(({fingerprint}) => fingerprint === part)?.runs, 8);
	ledger.prune(now + 100);
	sentRuns.length = 0;
	ledger.applyNews({records: ['d', 'e'].map(id => crashRecord(id, [part], now + 100))}, 'peer');
	t.ok(sentRuns.some(({fingerprint}) => fingerprint === part), 'the others are told');
});

// A peer that has read the store was not told of runs here that are not stored yet, and refused a sound request for ten minutes.
tap.test('a new peer that has read what is stored is told of the runs here', async t => {
	const ledger = CrashLedger.create({
		instance: 'a', instances: () => ['a', 'b'], logger: silentLogger,
		isLost: () => false, onNews: () => undefined, onOwnNews: () => undefined, onEvidence: () => undefined,
	});
	const now = performance.now();
	const records = ['x', 'y', 'z'].map(crash => ({type: 'crashed' as const, crash, endpoint: crash, fingerprints: ['sound'], time: now}));
	ledger.share.recordStored(records);
	ledger.applyNews({records, runs: [{fingerprint: 'sound', instance: 'a', runs: 7}, {fingerprint: 'sound', instance: 'b', runs: 2}]}, 'store');
	const news = ledger.unstoredNews(now);
	t.same(news, {records: [], pending: [], runs: [{fingerprint: 'sound', instance: 'a', runs: 7}]});
	const state = RoutingState.create(silentLogger);
	const messages = initialMessages(state, {knowsEndpoints: true, holderAnnouncement: undefined, crashes: news, now});
	t.match(messages, [{type: 'request-crashes', runs: [{fingerprint: 'sound', runs: 7}]}]);
});
