import tap from 'tap';
import {
	AdminServer, createLogger, forPart, Metrics,
} from '../../src/telemetry/index.js';

function collectLines() {
	const lines: string[] = [];
	return {lines, output: {write: (line: string) => lines.push(line)}};
}

tap.test('a log line is one JSON object with the prefix of its part', async t => {
	const {lines, output} = collectLines();
	const queue = forPart(createLogger({name: 'test', level: 'info', output, fields: {instance: 'i1'}}), 'Queue');
	queue.debug('Not shown.');
	queue.warn('Full.', {requestId: 'r1', err: new Error('broken')});
	t.equal(lines.length, 1);
	t.match(JSON.parse(lines[0]!), {name: 'test', instance: 'i1', level: 40, msg: 'Queue: Full.', requestId: 'r1', err: {message: 'broken'}});
});

tap.test('keys and prompts never reach the log, however deeply nested', async t => {
	const {lines, output} = collectLines();
	const log = forPart(createLogger({name: 'test', level: 'info', output}), 'Entry');
	const secret = 'sk-embroidery-0815';
	log.info('Refused.', {
		headers: {Authorization: `Bearer ${secret}`},
		request: {messages: [{role: 'user', content: secret}], prompt: secret, deeper: {apiKey: secret, resume_text: secret}},
		note: `got bearer ${secret}, refused`,
		err: new Error(`Authorization: Bearer ${secret}`),
		body: new TextEncoder().encode(secret),
		events: 3,
	});
	t.notMatch(lines.join(''), new RegExp(secret, 'v'));
	t.match(JSON.parse(lines[0]!), {events: 3, request: {prompt: '[redacted]'}});
});

tap.test('metrics render as Prometheus text, with histograms in seconds', async t => {
	const metrics = Metrics.create({role: 'entry'});
	metrics.counter('requests_total', 'Requests.', ['verdict']).add(2, {verdict: 'ran'});
	metrics.gauge('streams', 'Open streams.').set(4);
	metrics.observe('offset', 'Catalogue offset.', () => 9);
	const latency = metrics.latency('first_token', 'Time to first token.');
	for (let milliseconds = 1; milliseconds <= 1000; milliseconds++) {
		latency.record(milliseconds, {tier: '0'});
	}

	const text = await metrics.render();
	t.match(text, 'cassiaflow_requests_total{verdict="ran",role="entry"} 2');
	t.match(text, 'cassiaflow_streams{role="entry"} 4');
	t.match(text, 'cassiaflow_offset{role="entry"} 9');
	t.match(text, '# TYPE cassiaflow_first_token_seconds histogram');
	t.match(text, 'cassiaflow_first_token_seconds_bucket{tier="0",le="0.01",role="entry"} 10\n');
	t.match(text, 'cassiaflow_first_token_seconds_bucket{tier="0",le="+Inf",role="entry"} 1000');
	t.match(text, 'cassiaflow_first_token_seconds_sum{tier="0",role="entry"} 500.5');
	t.ok(Math.abs(latency.quantile(0.5, {tier: '0'}) - 500) < 10);
	t.equal(latency.quantile(0.5, {tier: '1'}), 0);
});

tap.test('the admin port serves health, readiness, metrics and the routes that other parts add', async t => {
	let ready = false;
	const metrics = Metrics.create({role: 'side', includesProcessMetrics: true});
	await using server = await AdminServer.create({
		host: '127.0.0.1', port: 0, metrics, isReady: () => ready,
		routes: [
			{method: 'GET', prefix: '/explain', handle: ({rest, query}) => ({status: 200, value: {rest, deep: query.get('deep')}})},
			{method: 'POST', prefix: '/quarantine', handle: ({body}) => ({status: 201, value: {body}})},
			{method: 'GET', prefix: '/broken', handle() {
				throw new Error('It broke.');
			}},
		],
	});
	const ask = async (path: string, init: RequestInit = {}) => {
		const response = await fetch(`http://127.0.0.1:${server.port}${path}`, init);
		return {status: response.status, text: await response.text()};
	};

	t.match(await ask('/healthz'), {status: 200});
	t.match(await ask('/readyz'), {status: 503});
	ready = true;
	t.match(await ask('/readyz'), {status: 200});
	t.match(await ask('/metrics'), {text: /process_cpu_seconds_total/v});
	t.match(await ask('/explain/a%20b?deep=1'), {text: '{"rest":"a b","deep":"1"}'});
	t.match(await ask('/quarantine/x', {method: 'POST', body: '{"a":1}'}), {status: 201, text: '{"body":{"a":1}}'});
	t.match(await ask('/quarantine', {method: 'POST', body: '{'}), {status: 400});
	t.match(await ask('/quarantine'), {status: 404});
	t.match(await ask('/explainer'), {status: 404});
	t.match(await ask('/broken'), {status: 500, text: /It broke/v});
});
