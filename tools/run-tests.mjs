/**
 * Runs the compiled test files with tap and prints `N passed, N failed` last. Files named in
 * KNOWN-RED.txt run separately: their results are printed and do not affect the exit code.
 * Arguments, if any, select files by a part of their path.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import process from 'node:process';

const testFolder = 'dist/test';
/** Details of a failed assertion beyond so many lines are only in the whole output. */
const longestDetailLines = 25;
const selected = process.argv.slice(2);

function findTests() {
	const files = readdirSync(testFolder, {recursive: true});
	return files.filter(file => file.endsWith('.test.js')).map(file => `${testFolder}/${file}`).toSorted();
}

function knownRed() {
	if (!existsSync('KNOWN-RED.txt')) {
		return [];
	}

	const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
	for (const line of lines.filter(text => text !== '')) {
		console.log(`KNOWN RED, listed: ${line}`);
	}

	return lines.filter(line => line.startsWith('test/')).map(line => `dist/${line.split(/[\s:]/v)[0].replace(/\.ts$/v, '.js')}`);
}

/** Counts the assertions of each file, so that two runs whose totals differ can be compared. */
function countByFile(lines) {
	const counts = [];
	let count = 0;
	for (const line of lines) {
		if (isAssertion(line)) {
			count += 1;
		} else if (isFile(line)) {
			counts.push(`${count} ${/dist\/test\/\S+/v.exec(line)?.[0]}`);
			count = 0;
		}
	}

	return counts.toSorted();
}

function isFile(line) {
	return /^(?:not )?ok /v.test(line);
}

function isAssertion(line) {
	return /^ +(?:not )?ok \d/v.test(line) && !/# time=/v.test(line);
}

/** Returns the failed assertions with their details, which end with a line of three dots. */
function failuresOf(lines) {
	const failures = [];
	for (const [index, line] of lines.entries()) {
		if (/^ +not ok \d/v.test(line)) {
			const end = lines.slice(index, index + longestDetailLines).findIndex(one => one.trim() === '...');
			failures.push(...lines.slice(index, index + Math.max(1, end)));
		}
	}

	return failures;
}

function runTap(files) {
	if (files.length === 0) {
		return {passed: 0, failed: 0};
	}

	const result = spawnSync('npx', ['tap', 'run', '--disable-coverage', '--allow-empty-coverage', '--reporter=tap', '--timeout=240', '--jobs=4', ...files], {encoding: 'utf8', maxBuffer: 1e9});
	const lines = result.stdout.split('\n');
	const top = lines.filter(line => isFile(line));
	const assertions = lines.filter(line => isAssertion(line));
	for (const count of countByFile(lines)) {
		console.log(`counted ${count}`);
	}

	const failedFiles = top.filter(line => line.startsWith('not ok'));
	const failed = assertions.filter(line => line.trimStart().startsWith('not ok')).length;
	if (failedFiles.length > 0 || result.status !== 0) {
		console.log(result.stdout);
		console.log(result.stderr);
		for (const line of [...failedFiles, ...failuresOf(lines)]) {
			console.log(`FAILED ${line}`);
		}
	}

	const failedAtLeast = failedFiles.length > 0 || result.status !== 0 ? Math.max(failed, 1) : 0;
	return {passed: assertions.length - failed, failed: failedAtLeast};
}

const red = new Set(knownRed());
const all = findTests().filter(file => selected.length === 0 || selected.some(part => file.includes(part)));
const green = all.filter(file => !red.has(file));
const redFiles = all.filter(file => red.has(file));
for (const file of redFiles) {
	const outcome = runTap([file]);
	console.log(`KNOWN RED ${file}: ${outcome.passed} assertions passed, ${outcome.failed} did not`);
}

const totals = runTap(green);
console.log(`${green.length} test files`);
console.log(`${totals.passed} passed, ${totals.failed} failed`);
process.exitCode = totals.failed > 0 || totals.passed === 0 ? 1 : 0;
