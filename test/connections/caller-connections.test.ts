import {type IncomingMessage} from 'node:http';
import tap from 'tap';
import {type PipelinedResponse} from '../../src/connections/index.js';
import {runCallers} from './caller-thread.js';
import {answer, requestOf, ServerBed} from './server-bed.js';

const workMilliseconds = 400;
const laterMilliseconds = 100;

// Headers that came too late behind a running request get 408; the rest of them was read all the same, and the request was served before the 408.
tap.test('a request whose headers came too late behind a running one is not served when they do come', async t => {
	await using bed = await ServerBed.create({headersMilliseconds: laterMilliseconds, serve(request, response) {
		setTimeout(answer, request.url === '/first' ? 2 * workMilliseconds : 0, request, response);
	}});
	const [result] = await runCallers(bed.port, [{
		writes: [{atMilliseconds: 0, text: `${requestOf('/first')}GET /late HTTP/1.1\r\n`}, {atMilliseconds: workMilliseconds, text: 'Host: studio.example\r\n\r\n'}],
	}]);
	t.same(bed.served, ['/first']);
	t.match(result!.text, /^HTTP\/1\.1 200 [\s\S]*answer to \/firstHTTP\/1\.1 408 /v);
});

/** Answers what has a path of `/slow` late. */
function serveSlowly(request: IncomingMessage, response: PipelinedResponse): void {
	request.resume();
	setTimeout(answer, request.url!.startsWith('/slow') ? workMilliseconds : 0, request, response);
}

async function sleepUntil(holds: () => boolean): Promise<void> {
	const end = performance.now() + 5000;
	while (!holds() && performance.now() < end) {
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}
}

/** What stands in one connection, and the paths that are answered, in their order. */
const orders = [
	{name: 'a request of HTTP/1.0 with another behind it', text: requestOf('/slow', {version: '1.0'}) + requestOf('/second'), paths: ['/slow']},
	{name: 'a request that closes its connection with another behind it', text: requestOf('/slow', {more: 'Connection: close\r\n\r\n'}) + requestOf('/second'), paths: ['/slow']},
	{
		name: 'an order that closes its connection with an order behind it',
		text: requestOf('/slow', {method: 'POST', more: 'Connection: close\r\nContent-Length: 0\r\n\r\n'}) + requestOf('/second', {method: 'POST', more: 'Content-Length: 0\r\n\r\n'}),
		paths: ['/slow'],
	},
	{name: 'HEAD with a request behind it', text: requestOf('/slow-head', {method: 'HEAD'}) + requestOf('/second', {more: 'Connection: close\r\n\r\n'}), paths: ['/second']},
	{
		name: 'a body that waits for 100 behind a running request',
		text: requestOf('/slow') + requestOf('/second', {method: 'POST', more: 'Expect: 100-continue\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi'}),
		paths: ['/slow', '/second'],
	},
] as const;

// What Node decides by itself, from the request's own headers, must not take an answer with it either.
for (const {name, text, paths} of orders) {
	tap.test(`each answer of ${name} is whole, and nothing is answered twice`, async t => {
		await using bed = await ServerBed.create({serve: serveSlowly});
		const [result] = await runCallers(bed.port, [{writes: [{atMilliseconds: 0, text}]}]);
		t.same([...result!.text.matchAll(/answer to (?<path>\/[a-z]+)/gv)].map(({groups}) => groups!.path), paths);
		t.equal(bed.connections!.openRequests, 0);
		t.same(bed.cut.filter(path => (paths as readonly string[]).includes(path)), [], 'no answer is cut off');
	});
}

// A 100 written at once would stand before the answer that is owed.
tap.test('the 100 for a body behind a running request comes after its answer', async t => {
	await using bed = await ServerBed.create({serve: serveSlowly});
	const [result] = await runCallers(bed.port, [{writes: [{atMilliseconds: 0, text: orders[4].text}]}]);
	t.same([...result!.text.matchAll(/HTTP\/1\.1 (?<status>\d+)/gv)].map(({groups}) => groups!.status), ['200', '100', '200']);
});

const largeBody = 'x'.repeat(4 * 1024 * 1024);

// A caller whose second request fills the buffers is not read any more, and its leaving would not be seen.
tap.test('a caller that leaves behind the large body of its second request is seen to leave', async t => {
	await using bed = await ServerBed.create({serve(request) {
		request.resume();
	}});
	await runCallers(bed.port, [{
		writes: [{atMilliseconds: 0, text: requestOf('/running') + requestOf('/second', {method: 'POST', more: `Content-Length: ${2 * largeBody.length}\r\n\r\n${largeBody}`})}],
		leavesAtMilliseconds: workMilliseconds,
	}]);
	await sleepUntil(() => bed.connections!.openRequests === 0);
	t.same(bed.cut.toSorted(), ['/running', '/second']);
});

// Node stops reading a connection whose later answers wait in the process, and its caller's leaving would not be seen.
tap.test('a caller that leaves while large answers wait behind a running request is seen to leave', async t => {
	await using bed = await ServerBed.create({serve(request, response) {
		if (request.url !== '/running') {
			answer(request, response, largeBody);
		}
	}});
	await runCallers(bed.port, [{
		writes: [
			{atMilliseconds: 0, text: requestOf('/running') + requestOf('/second')},
			{atMilliseconds: laterMilliseconds, text: requestOf('/third')},
			{atMilliseconds: 2 * laterMilliseconds, text: requestOf('/fourth')},
		],
		leavesAtMilliseconds: workMilliseconds,
	}]);
	await sleepUntil(() => bed.connections!.openRequests === 0);
	t.ok(bed.cut.includes('/running'), bed.cut.join(', '));
});

// A connection without a request, and one whose headers are half read, were closed before they could say anything, or kept the end waiting.
tap.test('headers in two parts around the end are served while an answer is owed, and a connection without a request does not hold up the end', async t => {
	await using bed = await ServerBed.create({serve: serveSlowly});
	const running = runCallers(bed.port, [
		{writes: [{atMilliseconds: 0, text: requestOf('/slow')}]},
		{writes: [{atMilliseconds: 0, text: 'GET /parts HTTP/1.1\r\n'}, {atMilliseconds: workMilliseconds - laterMilliseconds, text: 'Host: studio.example\r\n\r\n'}]},
		{writes: []},
	]);
	await sleepUntil(() => bed.served.length > 0);
	bed.connections!.startClosing();
	await bed.connections!.end();
	const [slow, parts, silent] = await running;
	t.match(slow!.text, 'answer to /slow');
	t.match(parts!.text, /Connection: close[\s\S]*answer to \/parts/v);
	t.same([silent!.text, silent!.error], ['', undefined]);
});
