import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import tap from 'tap';

const logger = new URL('../../src/telemetry/index.js', import.meta.url).href;
/** Writes a line each 20 ms for two seconds, as entry and side do by default, and ends with code 0. */
const program = `
	import {createLogger, forPart} from ${JSON.stringify(logger)};
	const log = forPart(createLogger({name: 'program', level: 'info'}), 'Part');
	const timer = setInterval(() => log.info('A line.'), 20);
	setTimeout(() => clearInterval(timer), 2000);
`;

// The first line after the reader of the logs had left ended the process, with all requests in progress.
tap.test('a program goes on when the reader of its logs leaves', async t => {
	const child = spawn(process.execPath, ['--input-type=module', '--eval', program], {stdio: ['ignore', 'ignore', 'pipe']});
	await once(child.stderr, 'data');
	child.stderr.destroy();
	const [code] = await once(child, 'exit') as [number | undefined];
	t.equal(code, 0);
});
