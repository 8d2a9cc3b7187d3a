import {request as httpRequest} from 'node:http';
import tap from 'tap';
import {eventually} from '../gateway/testbed.js';
import {GatewayPlatform, GatewayRun, sleep} from './gateway-child.js';

const workMilliseconds = 700;
const callers = 10;

/** Sends one order; resolves to the status of its whole answer, 0 if there is none. */
function sendOrder(port: number, id: string): Promise<number> {
	return new Promise(resolve => {
		const sent = httpRequest({
			host: '127.0.0.1', port, method: 'POST', path: '/release/1', agent: false,
			headers: {host: 'studio.example', 'request-id': id, authorization: 'Bearer key-a', 'deadline-ms': '5000'},
		}, response => {
			response.resume().on('close', () => {
				resolve(response.complete ? response.statusCode ?? 0 : 0);
			}).on('error', () => undefined);
		});
		sent.on('error', () => {
			resolve(0);
		});
		sent.end('hi');
	});
}

/** What may follow a SIGTERM, again and again until the process has ended. */
const followers = [['SIGTERM'], ['SIGINT'], ['SIGHUP'], ['SIGTERM', 'SIGHUP', 'SIGINT']] as const;
/** Odd, so that signals come at every phase of the grace. */
const pauseMilliseconds = 37;

// A second signal ended the process at once: the listener took the first one alone, and every request in progress was cut off.
for (const signals of followers) {
	tap.test(`no ${signals.join(' and ')} ends a grace that has begun`, async t => {
		await using platform = await GatewayPlatform.create();
		platform.worker.answer = () => ({type: 'whole', body: 'done', afterMilliseconds: workMilliseconds});
		await using gateway = await GatewayRun.startOn(platform, t.testdir({}));
		t.ok(await gateway.isReady(), gateway.lines);
		const sent = Array.from({length: callers}, async (_, number) => sendOrder(gateway.callerPort, `order-${number}`));
		await eventually(() => platform.worker.requests.length === callers);
		gateway.child.kill('SIGTERM');
		for (let number = 0; !gateway.lines.includes('Stopped.') && gateway.endedBy === undefined; number++) {
			gateway.child.kill(signals[number % signals.length]);
			await sleep(pauseMilliseconds);
		}

		t.same(await Promise.all(sent), Array.from({length: callers}, () => 200));
		await eventually(() => gateway.endedBy !== undefined);
		t.equal(gateway.endedBy, 'code 0');
		t.match(gateway.lines, /Stopped\.[^\n]*"isWhole":true|"isWhole":true[^\n]*Stopped\./v);
	});
}

/** From before the runtime has started to after the program has. */
const momentsMilliseconds = Array.from({length: 24}, (_, number) => number * 125);
const startsAtOnce = 4;

// A SIGTERM while the program was starting ended it with the requests that it had accepted: the listener was installed last.
tap.test('a SIGTERM at any moment of a start loses no request', async t => {
	await using platform = await GatewayPlatform.create();
	platform.worker.answer = () => ({type: 'whole', body: 'done', afterMilliseconds: 300});
	const folder = t.testdir({});
	const moments = [...momentsMilliseconds];
	const runLane = async (): Promise<void> => {
		for (let moment = moments.shift(); moment !== undefined; moment = moments.shift()) {
			await using gateway = await GatewayRun.startOn(platform, folder);
			const sending = sendUntilEnded(gateway, moment);
			await sleep(moment);
			gateway.child.kill('SIGTERM');
			const sent = await sending;
			t.same(sent.filter(({id, status}) => status === 0 && platform.worker.requests.some(request => request.id === id)), [], `after ${moment} ms`);
			// Before the runtime runs the program nothing of it can take the signal, and nothing has been accepted.
			t.ok(gateway.endedBy === 'code 0' || (gateway.endedBy === 'SIGTERM' && gateway.lines === ''), `after ${moment} ms: ${gateway.endedBy}`);
		}
	};

	await Promise.all(Array.from({length: startsAtOnce}, async () => runLane()));
});

async function sendUntilEnded(gateway: GatewayRun & {callerPort: number}, run: number): Promise<Array<{id: string; status: number}>> {
	const sent: Array<Promise<{id: string; status: number}>> = [];
	for (let number = 0; gateway.endedBy === undefined; number++) {
		const id = `start-${run}-${number}`;
		sent.push(sendOrder(gateway.callerPort, id).then(status => ({id, status})));
		await sleep(5);
	}

	return Promise.all(sent);
}
