/**
 * Installs the declared libraries if they are missing or older than the lock file. `npm ci` would
 * refuse the lock file, since cbor-extract's optional native builds can't be had from every registry;
 * `npm install --no-save` keeps to the same versions and goes on without them.
 */
import {existsSync, statSync} from 'node:fs';
import {spawnSync} from 'node:child_process';
import process from 'node:process';

const marker = 'node_modules/.package-lock.json';
const current = existsSync(marker) && statSync(marker).mtimeMs >= statSync('package-lock.json').mtimeMs;
if (!current) {
	const result = spawnSync('npm', ['install', '--no-save', '--prefer-offline'], {stdio: 'inherit'});
	process.exitCode = result.status ?? 1;
}
