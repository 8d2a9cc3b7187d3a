import {writeFile} from 'node:fs/promises';
import tap, {type Test} from 'tap';
import {FakeLog, FakeMembers} from '../../fakes/index.js';
import {type CatalogueFile} from '../../src/catalogue/index.js';
import {parseCatalogueFile} from '../../src/operator/catalogue-file.js';
import {
	checkFile, explainRequest, listQuarantine, OperatorExit, publishFile, releaseQuarantine, showAudit, showCatalogue, showHistory, showStatus,
} from '../../src/operator/index.js';
import {createChange, publishChange, readStream} from '../../src/operator/publish.js';
import {HttpLogClient, HttpMembershipClient} from '../../src/platform/index.js';
import {AdminServer, createOperatorRoutes, DecisionJournal, Metrics, ReasonCode} from '../../src/telemetry/index.js';
import {sampleModel} from '../catalogue/sample.js';

const text = `note: opening
entries:
  - kind: workspace
    name: andino
    owner: orders
    keySha256: []
    defaultClass: order
  - kind: class
    name: andino/order
    owner: orders
    tier: 0
    firstTokenMilliseconds: 430
    betweenTokensMilliseconds: 58
    queueMilliseconds: 2000
`;
const options = {dryRun: false, wait: false, patienceMilliseconds: 20_000};

function fileOf(...entries: CatalogueFile['entries']): CatalogueFile {
	return {entries, remove: []};
}

async function setUp(t: Test, content: string) {
	const log = await FakeLog.create();
	const client = HttpLogClient.create({baseUrl: log.url, timeoutMilliseconds: 5000});
	const file = `${t.testdir({})}/catalogue.yaml`;
	await writeFile(file, content);
	t.teardown(async () => {
		await client[Symbol.asyncDispose]();
		await log[Symbol.asyncDispose]();
	});
	return {log, file, context: {log: client, members: undefined, instances: [], author: 'anna'}};
}

tap.test('errors in a file are reported with file, line and field', async t => {
	const wrong = text.replace('tier: 0', 'tier: 7').replace('    owner: orders\n    keySha256', '    colour: red\n    keySha256');
	t.match(parseCatalogueFile('orders.yaml', wrong), {type: 'wrong', problems: [
		{file: 'orders.yaml', line: 3, field: 'entries.0.owner'},
		{line: 5, field: 'entries.0.colour'},
		{line: 11, field: 'entries.1.tier'},
	]});
	t.match(parseCatalogueFile('orders.json', '{"entries": [\n{"kind": "model",\n"name": "Menu", "owner": "anna"}]}'), {problems: [{line: 3, field: 'entries.0.name'}]});
	t.match(parseCatalogueFile('orders.yaml', 'entries: [\n'), {type: 'wrong'});
});

tap.test('a file is checked, published only once, shown and audited', async t => {
	const {file, context} = await setUp(t, text);
	t.match(await checkFile(context, file), {exit: OperatorExit.ok});
	t.match(await publishFile(context, file, {...options, dryRun: true}), {exit: OperatorExit.ok});
	t.match(await readStream(context.log), {records: {length: 0}}, 'a dry run publishes nothing');
	t.match(await publishFile(context, file, options), {exit: OperatorExit.ok, value: {outcome: 'accepted', offset: 0}});
	t.match(await publishFile(context, file, options), {value: {outcome: 'unchanged'}});
	await writeFile(file, text.replace('2000', '3000'));
	t.match(await publishFile(context, file, options), {text: /2000 -> 3000/v, value: {offset: 1}});
	t.match(await showCatalogue(context, 'class'), {value: {entries: [{name: 'andino/order', revision: 1}]}});
	t.match(await showHistory(context, 10), {text: /anna/v, value: [{offset: 0}, {offset: 1, verdict: {type: 'accepted'}}]});
	t.match(await showAudit(context, 1), {text: /2000 -> 3000/v});
	await writeFile(file, text.replace('name: andino/order', 'name: nobody/order'));
	t.match(await checkFile(context, file), {exit: OperatorExit.rejected, text: /catalogue\.yaml:9: /v});
});

tap.test('of two concurrent edits of one revision, the later is rejected', async t => {
	// Both operators read the catalogue before either publishes. The log stores both records, but every reader
	// accepts only the first; the second operator sees `rejected` and the current revision.
	const {context} = await setUp(t, text);
	const {catalogue} = await readStream(context.log);
	const first = createChange(fileOf(sampleModel('menu')), catalogue, 'anna');
	const second = createChange(fileOf({...sampleModel('menu'), version: '2'}), catalogue, 'bert');
	t.match(await publishChange(context.log, first, 20_000), {type: 'decided', verdict: {type: 'accepted'}});
	t.match(await publishChange(context.log, second, 20_000), {type: 'decided', verdict: {type: 'rejected', reasons: [{type: 'outdated'}]}});
});

tap.test('a lost response is resolved by reading the log, and is unknown if the log is unreadable', async t => {
	// The log stores the record, but its response is lost: the record is found by its id and the operator sees
	// `accepted`. If the log is unreadable as well, the operator sees `unknown`, although the change comes into
	// force later.
	const {log, file, context} = await setUp(t, text);
	log.faults.loseAnswers = 1;
	log.faults.duplicateAppends = 1;
	t.match(await publishFile(context, file, options), {exit: OperatorExit.ok, value: {outcome: 'accepted', offset: 0}});
	const {catalogue} = await readStream(context.log);
	const change = createChange(fileOf(sampleModel('menu')), catalogue, 'anna');
	const unreadable = {
		async append() {
			await context.log.append('catalogue', change);
			return {type: 'unknown', reason: 'lost'} as const;
		},
		async read(): Promise<never> {
			throw new Error('The log is down.');
		},
	};
	t.match(await publishChange(unreadable, change, 50), {type: 'unknown'});
	const later = await readStream(context.log);
	t.equal(later.catalogue.model('menu')?.version, '1');
});

tap.test('instances are found through the membership list and report status, decisions and quarantine', async t => {
	const journal = DecisionJournal.create({now: () => 5});
	journal.record('request-1', ReasonCode.limited, {limit: 'requestsPerSecond'});
	let quarantined = [{fingerprint: 'abc', since: 1, endpoints: ['engine-1', 'engine-2']}];
	const routes = createOperatorRoutes({
		instance: 'entry-1',
		role: 'entry',
		journal,
		quarantine: {
			list: () => quarantined,
			async release({release}) {
				const previousCount = quarantined.length;
				quarantined = quarantined.filter(item => item.fingerprint !== release);
				return quarantined.length < previousCount;
			},
		},
		status: () => ({zone: 'lima-a', phase: 'serving', catalogueOffset: 4, running: 1, waiting: [0, 0, 2], quarantined: 1, peers: 3}),
	});
	await using admin = await AdminServer.create({host: '127.0.0.1', port: 0, metrics: Metrics.create({role: 'entry'}), routes, isReady: () => true});
	await using members = await FakeMembers.create();
	members.set({instance: 'entry-1', role: 'entry', address: '127.0.0.1:1', admin: `127.0.0.1:${admin.port}`, zone: 'lima-a', state: 'live'});
	await using client = HttpMembershipClient.create({baseUrl: members.url, timeoutMilliseconds: 5000});
	const context = {log: undefined, members: client, instances: [], author: 'anna'};
	t.match(await showStatus(context), {exit: OperatorExit.ok, value: {instances: [{instance: 'entry-1', catalogueOffset: 4}]}, text: /0 \/ 0 \/ 2/v});
	t.match(await explainRequest(context, 'request-1'), {exit: OperatorExit.ok, value: {decisions: [{code: 'limited', detail: {limit: 'requestsPerSecond'}}]}});
	t.match(await explainRequest(context, 'request-2'), {exit: OperatorExit.notFound});
	t.match(await listQuarantine(context), {value: {quarantined: [{fingerprint: 'abc'}]}});
	t.match(await releaseQuarantine(context, 'abc'), {exit: OperatorExit.ok});
	t.match(await releaseQuarantine(context, 'abc'), {exit: OperatorExit.notFound});
	members.set({instance: 'entry-2', role: 'entry', address: '127.0.0.1:1', admin: '127.0.0.1:1', zone: 'lima-a', state: 'live'});
	t.match(await showStatus(context), {exit: OperatorExit.ok, value: {silent: [/No answer/v]}});
});
