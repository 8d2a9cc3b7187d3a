import tap from 'tap';
import {runCallers} from './caller-thread.js';
import {answer, requestOf, ServerBed} from './server-bed.js';

/** More than the kernel's buffers of both sides take. */
const longBody = 'x'.repeat(32 * 1024 * 1024);
const readsAtMilliseconds = 600;
const laterMilliseconds = 200;

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** One caller that reads late, and what ends idle connections meanwhile. */
async function readLate(isPlain: boolean, end: (bed: ServerBed) => Promise<void>): Promise<string> {
	await using bed = await ServerBed.create({isPlain, serve(request, response) {
		answer(request, response, longBody);
	}});
	const running = runCallers(bed.port, [{writes: [{atMilliseconds: 0, text: requestOf('/long')}], readsAtMilliseconds}]);
	while (bed.served.length === 0) {
		await sleep(5);
	}

	await sleep(laterMilliseconds);
	await end(bed);
	const [result] = await running;
	return result!.text;
}

// A response that is complete here and waits for its caller to read makes a connection idle for Node, which cut it off.
tap.test('a caller that reads slowly gets its whole answer when idle connections are closed and the server ends', async t => {
	const text = await readLate(false, async bed => {
		bed.connections!.startClosing();
		await bed.connections!.end();
	});
	t.ok(text.endsWith(longBody), `${text.length} bytes`);
});

tap.test('a server of Node alone cuts it off', async t => {
	const text = await readLate(true, async bed => {
		bed.server.close();
		bed.server.closeIdleConnections();
	});
	t.notOk(text.endsWith(longBody), `${text.length} bytes`);
});
