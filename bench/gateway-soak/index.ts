import {execFileSync} from 'node:child_process';
import {mkdirSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {type CommandModule} from 'yargs';
import {runAnswerSeed} from './answer-course.js';
import {courseFaults} from './course-world.js';
import {runBuildSeed} from './build-course.js';
import {runCrashSeed} from './crash-course.js';
import {runBusySeed} from './busy-course.js';
import {runCrowdSeed} from './crowd-course.js';
import {endpointFaults, runHeldSeed} from './held-course.js';
import {runLimitSeed} from './limit-course.js';
import {runRetrySeed} from './retry-course.js';
import {runStopSeed} from './stop-course.js';
import {runStreamsSeed} from './streams-course.js';
import {runPlannedSeed} from './planned-course.js';
import {spareGateways} from './planned-work.js';
import {runPartSeed} from './part-course.js';
import {portsPerGateway, runSeed} from './run-seed.js';

type Settings = {seed: number; count: number; jobs: number; gateways: number | undefined; course: 'mixed' | keyof typeof courses; faults: string; endpointFaults: string; firstPort: number; logs: string | undefined; bundle: string | undefined};

const courses = {retries: runRetrySeed, crashes: runCrashSeed, limits: runLimitSeed, held: runHeldSeed, builds: runBuildSeed, parts: runPartSeed, crowds: runCrowdSeed, busy: runBusySeed, stops: runStopSeed, planned: runPlannedSeed, streams: runStreamsSeed, answers: runAnswerSeed} as const;

const defaultGateways = {streams: 4, others: 2} as const;

/** Runs real gateways as processes with fault injection; prints the seeds and exits with 1 if a rule was violated. */
export const gatewaySoakCommand: CommandModule<unknown, Settings> = {
	command: 'gateway-soak',
	describe: 'gateways as processes under kills, freezes, broken connections, refusals and changes, checked against callers and workers',
	builder: {
		seed: {type: 'number', default: 1, describe: 'the first seed'},
		count: {type: 'number', default: 50, describe: 'how many seeds'},
		jobs: {type: 'number', default: 4, describe: 'seeds at a time'},
		course: {choices: ['mixed', 'retries', 'crashes', 'limits', 'held', 'builds', 'parts', 'crowds', 'busy', 'stops', 'planned', 'streams', 'answers'] as const, default: 'mixed' as const, describe: 'faults of every kind, or one matter while gateways come and go: retries, a request that crashes endpoints, rate limits, links that are held up, builds of endpoints, a prompt part that crashes endpoints, most connections at one gateway, more requests than the processors can pace, stops in series that overlap, all planned work in series that overlap, long streams under planned work and endpoints that restart, endpoints that break their answers off'},
		faults: {type: 'string', default: courseFaults.join(','), describe: 'the kinds of faults of the other courses than mixed, joined by commas'},
		'endpoint-faults': {type: 'string', default: endpointFaults.join(','), describe: 'the kinds of faults of endpoints of the course held, joined by commas'},
		'first-port': {type: 'number', default: 21_000, describe: 'the gateways listen from here on; two runs at a time need different ones'},
		logs: {type: 'string', describe: 'a folder for the log lines of the gateways of each seed that violates a rule'},
		bundle: {type: 'string', describe: 'a bundled gateway of another version to run in place of this one'},
		gateways: {type: 'number', describe: 'gateways of each seed; 4 in the course streams, 2 in the others, unless given'},
	},
	async handler({seed, count, jobs, gateways: wanted, course, faults, endpointFaults: endpointKinds, firstPort, logs, bundle}) {
		const gateways = wanted ?? defaultGateways[course === 'streams' ? 'streams' : 'others'];
		if (bundle === undefined) {
			execFileSync(process.execPath, ['tools/bundle.mjs'], {stdio: 'inherit'});
		}

		const kinds = courseFaults.filter(kind => faults.split(',').includes(kind));
		const heldKinds = endpointFaults.filter(kind => endpointKinds.split(',').includes(kind));
		const seeds = Array.from({length: count}, (_, index) => seed + index);
		const totals = {requests: 0, served: 0, violations: 0};
		const runLane = async (lane: number): Promise<void> => {
			for (let next = seeds.shift(); next !== undefined; next = seeds.shift()) {
				const options = {seed: next, gateways, ...(bundle !== undefined && {program: bundle}), firstPort: firstPort + (lane * (gateways + spareGateways) * portsPerGateway)};
				const result = await (course === 'mixed' ? runSeed(options) : courses[course]({...options, faults: kinds, endpointFaults: heldKinds}));
				totals.requests += result.requests;
				totals.served += result.served;
				totals.violations += result.violations.length;
				for (const {service, retries, allowed} of result.retryWindows ?? []) {
					console.log(`seed ${next}: ${service}, at most ${retries} of ${Math.floor(allowed)} retries in a window`);
				}

				if (result.summary !== undefined) {
					console.log(`seed ${next}: ${result.summary}`);
				}

				if (result.arrivals !== undefined) {
					console.log(`seed ${next}: ${JSON.stringify(result.arrivals)}`);
				}

				if (logs !== undefined && result.violations.length > 0) {
					mkdirSync(logs, {recursive: true});
					writeFileSync(`${logs}/${course}-${next}.log`, result.lines);
				}

				for (const violation of result.violations) {
					console.log(`seed ${next}: ${violation} [${result.faults.join(', ')}]`);
				}
			}
		};

		await Promise.all(Array.from({length: jobs}, async (_, lane) => runLane(lane)));
		console.log(`${count} seeds from ${seed}: ${totals.requests} requests, ${totals.served} served whole, ${totals.violations} violations`);
		process.exitCode = totals.violations === 0 ? 0 : 1;
	},
};
