/** A program that writes more than a pipe holds, and leaves a timer and a port open when its work is done. */
import {createServer} from 'node:net';
import process from 'node:process';
import {defineSettings, runProgram} from '../../src/settings/index.js';

export const outputBytes = 3_000_000;

if (process.argv[1] === import.meta.filename) {
	await runProgram(defineSettings({program: 'open-program', summary: 'Leaves something open.', settings: {}}), async () => {
		setInterval(() => undefined, 1000);
		createServer().listen(0, '127.0.0.1');
		process.stdout.write('x'.repeat(outputBytes));
	});
}
