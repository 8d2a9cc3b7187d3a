import {Buffer} from 'node:buffer';
import tap from 'tap';
import {BrokenServer, type BrokenAnswer, brokenAnswers, longUploadBytes} from '../../fakes/broken-server.js';
import {EngineClient, EngineControl, type EngineEvent, ServiceClient} from '../../src/endpoint/index.js';
import {type Failure, type RequestError} from '../../src/model/index.js';

/** A body that goes on until its reader gives up. */
async function * endlessUpload(): AsyncGenerator<Uint8Array> {
	for (let sent = 0; sent < longUploadBytes; sent += 64 * 1024) {
		yield Buffer.alloc(64 * 1024);
	}
}

const uploads = [
	{name: 'bytes', body: () => Buffer.alloc(longUploadBytes)},
	{name: 'a stream', body: () => endlessUpload()},
];

async function readWhole(body: AsyncGenerator<Uint8Array>): Promise<string> {
	let text = '';
	for await (const bytes of body) {
		text += Buffer.from(bytes).toString('utf8');
	}

	return text;
}

/** The whole body of a call's answer, or its failure. */
async function endOf(services: ServiceClient, body: Uint8Array | AsyncIterable<Uint8Array>): Promise<string | Failure> {
	const response = await services.call({requestId: 'r', method: 'POST', path: '/tickets', headers: {}, body});
	if (response.type === 'failed') {
		return response.failure;
	}

	try {
		return await readWhole(response.body);
	} catch (error) {
		return (error as RequestError).failure;
	}
}

async function eventsOf(engines: EngineClient, body: string): Promise<EngineEvent[]> {
	const events: EngineEvent[] = [];
	const run = {requestId: 'r', method: 'POST', path: '/v1/chat/completions', headers: {}, body: Buffer.from(body), resumeTokens: 0, resumeText: '', priority: 0};
	for await (const turn of engines.run(run)) {
		events.push(...turn);
	}

	return events;
}

// Callers got the part of an answer that was reset as a whole one.
for (const {name, body} of uploads) {
	for (const isKept of [false, true]) {
		tap.test(`an answer that breaks off is no whole one to a caller who uploads ${name} on a ${isKept ? 'kept' : 'new'} connection`, async t => {
			let answer: BrokenAnswer;
			await using server = await BrokenServer.create(() => answer, {keepsFirst: isKept});
			for (const broken of brokenAnswers) {
				for (const part of ['half of it', '']) {
					answer = {...broken, headers: ['Content-Type: text/plain'], part};
					await using services = ServiceClient.create({baseUrl: `http://127.0.0.1:${server.port}`});
					if (isKept) {
						t.equal(await endOf(services, Buffer.alloc(1)), '{}');
					}

					t.match(await endOf(services, body()), {verdict: 'may-have-run'}, JSON.stringify({...broken, part}));
				}
			}
		});
	}
}

// A stream of events without its end passed for a whole one.
tap.test('a stream of an engine that breaks off is no whole one', async t => {
	let answer: BrokenAnswer;
	await using server = await BrokenServer.create(() => answer);
	for (const broken of brokenAnswers) {
		answer = {...broken, headers: ['Content-Type: text/event-stream'], part: 'data: {"id":"r","token_index":0}\n\n'};
		await using engines = EngineClient.create({baseUrl: `http://127.0.0.1:${server.port}`});
		const events = await eventsOf(engines, JSON.stringify({content: 'x'.repeat(longUploadBytes / 8)}));

		t.match(events.at(-1), {type: 'failed', failure: {verdict: 'may-have-run'}}, JSON.stringify(broken));
	}
});

const closed = {framing: 'none', ending: 'closed', readsRequest: true} as const;

// An engine that ran a request and answered with a status that is no refusal had it run again elsewhere.
tap.test('only a refusal of an engine says that a request has not run', async t => {
	for (const status of ['000', '001', '099', '201', '204', '302', '399', '500', '600', '999']) {
		await using server = await BrokenServer.create(() => ({...closed, statusLine: `HTTP/1.1 ${status} X`, headers: [], part: ''}));
		await using engines = EngineClient.create({baseUrl: `http://127.0.0.1:${server.port}`});
		const events = await eventsOf(engines, '{}');

		t.match(events.at(-1), {type: 'failed', failure: {verdict: 'may-have-run'}}, status);
	}
});

const loadReport = '{"running":1,"waiting":0,"memoryUsed":0,"stepMilliseconds":5}';

// An order that an engine had carried out was said not to have happened, and a report of load counted whose status is none.
tap.test('a status that is none answers no order and no question', async t => {
	for (const status of ['000', '099', '204', '302', '600']) {
		await using server = await BrokenServer.create(() => ({...closed, statusLine: `HTTP/1.1 ${status} X`, headers: [], part: loadReport}));
		await using control = EngineControl.create({baseUrl: `http://127.0.0.1:${server.port}`, timeoutMilliseconds: 5000});
		t.match(await control.order({order: 'load-model', name: 'model', version: '1', fence: 1}), {type: 'failed', mayHaveHappened: true}, status);
		if (['000', '099', '600'].includes(status)) {
			t.equal(await control.load(), undefined, status);
		}
	}
});
