/** Installs the dependencies from the lock file if they are missing or older than it. */
import {existsSync, statSync} from 'node:fs';
import {spawnSync} from 'node:child_process';
import process from 'node:process';

const marker = 'node_modules/.package-lock.json';
const current = existsSync(marker) && statSync(marker).mtimeMs >= statSync('package-lock.json').mtimeMs;
if (!current) {
	const result = spawnSync('npm', ['ci', '--prefer-offline'], {stdio: 'inherit'});
	process.exitCode = result.status ?? 1;
}
