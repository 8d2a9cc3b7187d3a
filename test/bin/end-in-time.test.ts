import net from 'node:net';
import tap from 'tap';
import {eventually} from '../gateway/testbed.js';
import {sleep} from './gateway-child.js';
import {StreamRun, textOf} from './stream-run.js';

const stopSeconds = 4;
const streams = 50;
const periodMilliseconds = 100;
/** A quarter of a core. */
const runningMilliseconds = 25;
/** Moments within the period at which the stop begins: its end falls into the part in which the process stands still, or not. */
const phasesMilliseconds = [5, 30, 55, 80];

/** Sends a stream whose caller leaves its side of the connection open once the other is ended. */
function openStream(port: number, id: string): {text: string} {
	const call = {text: ''};
	const socket = net.connect({port, host: '127.0.0.1', allowHalfOpen: true});
	socket.on('data', (bytes: Uint8Array) => {
		call.text += String(bytes);
	});
	socket.on('error', () => undefined);
	socket.write(textOf(id));
	return call;
}

// The platform would end a process that needs longer than its grace, with what it still has to send and to log.
tap.test('a process with a quarter of a core and many open streams ends within its grace', async t => {
	const folder = t.testdir({});
	await Promise.all(phasesMilliseconds.map(async phase => {
		await using run = await StreamRun.start(folder, () => ({type: 'events', count: 200, gapMilliseconds: 50}), {stopSeconds});
		for (const worker of run.workers) {
			run.store.put('keyed.servers', worker.id, worker.beat({slots: streams, seq: 2}));
		}

		await sleep(1000);
		const calls = Array.from({length: streams}, (_, number) => openStream(run.callerPort, `question-${number}`));
		await eventually(() => calls.every(({text}) => text.includes('id: 1\n')));
		const {child} = run.gateway;
		const turns = setInterval(() => {
			child.kill('SIGCONT');
			setTimeout(() => {
				child.kill('SIGSTOP');
			}, runningMilliseconds);
		}, periodMilliseconds);
		await sleep((2 * periodMilliseconds) + phase);
		child.kill('SIGTERM');
		const signalAt = performance.now();
		await eventually(() => run.gateway.endedBy !== undefined);
		clearInterval(turns);
		const milliseconds = Math.round(performance.now() - signalAt);
		t.ok(milliseconds < stopSeconds * 1000, `phase ${phase}: ${milliseconds} ms`);
		t.equal(run.gateway.endedBy, 'code 0');
		t.equal(run.gateway.lines.split('Request: Sent.').length - 1, streams, 'each stream has its line');
	}));
});
