import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import tap from 'tap';
import {outputBytes} from './open-program.js';

const program = new URL('open-program.js', import.meta.url).pathname;
const pauseMilliseconds = 5;

// A program whose work was done stayed alive while anything was open, until the platform killed it.
tap.test('a program whose work is done ends, although something is open, with all its output', async t => {
	const child = spawn(process.execPath, [program], {stdio: ['ignore', 'pipe', 'inherit']});
	const ended = once(child, 'exit');
	let length = 0;
	for await (const bytes of child.stdout) {
		length += (bytes as Uint8Array).length;
		await delay(pauseMilliseconds);
	}

	t.equal(length, outputBytes);
	t.same(await ended, [0, null]);
});
