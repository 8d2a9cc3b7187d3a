import {Agent} from 'node:http';
import tap from 'tap';
import {type BrokenAnswer, brokenAnswers, BrokenServer, longUploadBytes} from '../../fakes/broken-server.js';
import {httpCall} from '../../platform/http-call.js';
import {HttpCaller, HttpLogClient, type PlatformError} from '../../src/platform/index.js';

const timeoutMilliseconds = 5000;

// A page of the store of which a part came was taken for the whole page.
for (const isKept of [false, true]) {
	tap.test(`an answer of the platform that breaks off on a ${isKept ? 'kept' : 'new'} connection is lost`, async t => {
		let answer: BrokenAnswer;
		await using server = await BrokenServer.create(() => answer, {keepsFirst: isKept});
		for (const broken of brokenAnswers) {
			answer = {...broken, headers: ['Content-Type: application/json'], part: '{}'};
			const about = JSON.stringify(broken);
			const agent = new Agent({keepAlive: true});
			await using caller = HttpCaller.create({baseUrl: `http://127.0.0.1:${server.port}`, timeoutMilliseconds});
			const target = {host: '127.0.0.1', port: server.port, agent, method: 'POST', path: '/', timeoutMilliseconds} as const;
			if (isKept) {
				await httpCall(target);
				await caller.call({method: 'POST', path: '/', body: 'x'});
			}

			t.match(await httpCall({...target, body: new Uint8Array(longUploadBytes)}).catch((error: unknown) => error), {failure: {type: 'lost'}}, `adapter: ${about}`);
			const call = caller.call({method: 'POST', path: '/', body: 'x'.repeat(longUploadBytes)});
			t.match(await call.catch((error: unknown) => error), {failure: {type: 'lost'}}, `client: ${about}`);
			agent.destroy();
		}
	});
}

const closed = {framing: 'none', ending: 'closed', readsRequest: true} as const;

// An append that the log may have made was called refused.
tap.test('a status that is none does not say that an append was refused', async t => {
	for (const status of ['000', '001', '099', '600', '999']) {
		await using server = await BrokenServer.create(() => ({...closed, statusLine: `HTTP/1.1 ${status} X`, headers: [], part: '{}'}));
		await using log = HttpLogClient.create({baseUrl: `http://127.0.0.1:${server.port}`, timeoutMilliseconds});
		t.match(await log.append('stream', {value: 1}), {type: 'unknown'}, status);
		const call = httpCall({host: '127.0.0.1', port: server.port, method: 'POST', path: '/', timeoutMilliseconds});
		t.match(await call.then(response => response as unknown, (error: unknown) => (error as PlatformError).failure), {type: 'malformed'}, `adapter, ${status}`);
	}
});
