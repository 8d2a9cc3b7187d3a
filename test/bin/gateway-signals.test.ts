import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import tap from 'tap';

const early = new URL('../../src/bin/early-signals.js', import.meta.url).href;

// The platform sends SIGHUP for changed settings while a gateway is still loading. Without a listener the signal
// terminates the process, and the instance is unavailable until it has started again.
tap.test('a SIGHUP during startup does not terminate the program', async t => {
	const folder = t.testdir({});
	const file = `${folder}/slow.mjs`;
	writeFileSync(file, `import '${early}';\nprocess.send('loading');\nconst until = Date.now() + 300;\nwhile (Date.now() < until);\nsetTimeout(() => process.exit(7), 50);\n`);
	const child = spawn(process.execPath, [file], {stdio: ['ignore', 'ignore', 'inherit', 'ipc']});
	await once(child, 'message');
	child.kill('SIGHUP');
	const [code] = await once(child, 'exit') as [number | undefined];
	t.equal(code, 7);
});
