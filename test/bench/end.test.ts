import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import tap from 'tap';

const bench = new URL('../../bench/main.js', import.meta.url).pathname;
/** A handle that never closes, in the place of a request of a socket that never completes. */
const openHandle = 'data:text/javascript,setInterval(() => undefined, 1000)';
/** More than a pipe takes at once. */
const files = Array.from({length: 3000}, (_, number) => `missing-${number}`);
const endMilliseconds = 20_000;

// Guards against a soak that had printed its result and never ended.
tap.test('a benchmark that is done ends with its exit code and all its output, whatever is still open', async t => {
	const child = spawn(process.execPath, ['--import', openHandle, bench, 'losses', ...files], {stdio: ['ignore', 'pipe', 'inherit']});
	const timer = setTimeout(() => {
		child.kill('SIGKILL');
	}, endMilliseconds);
	let output = '';
	child.stdout.on('data', (text: Uint8Array) => {
		output += String(text);
	});
	const [code, signal] = await once(child, 'close') as [number | undefined, NodeJS.Signals | undefined];
	clearTimeout(timer);
	t.notOk(signal, 'it ends by itself');
	t.equal(code, 2);
	t.equal(output.trimEnd().split('\n').length, files.length);
});
