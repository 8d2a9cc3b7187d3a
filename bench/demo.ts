/**
 * Runs the complete path in one process: entries and sides over TCP on loopback, stand-ins around
 * them, three tiers, two users' workspaces, one endpoint crash and one graceful shutdown. Exits with 0
 * only if every caller got its own complete response or a verdict.
 */
import process from 'node:process';
import {planCatalogue, threeClasses} from './harness/catalogue.js';
import {LocalFleet} from './harness/local-fleet.js';
import {type Flow, runLoad} from './harness/load.js';
import {createRandom} from './harness/random.js';
import {ClassTally, renderTally} from './harness/tally.js';

const seconds = 10;
const model = 'concierge-7b';
const workspaces = ['stickwerk-auer', 'stickwerk-brandl', 'cuarto-andino-lima', 'cuarto-andino-cusco'];
const ratesByClass: Readonly<Record<string, {requestsPerSecond: number; meanTokens: number}>> = {
	answer: {requestsPerSecond: 6, meanTokens: 20},
	order: {requestsPerSecond: 4, meanTokens: 40},
	chart: {requestsPerSecond: 2, meanTokens: 150},
};

async function main(): Promise<void> {
	const random = createRandom(1);
	const tallies = threeClasses.map(plan => ClassTally.create(plan));
	await using fleet = await LocalFleet.create({
		entries: 2, endpoints: 4, zones: ['zone-a', 'zone-b'], models: [model], random: () => random.uniform(), logLevel: 'error',
	});
	const engines = fleet.endpoints.map(({engine}) => engine);
	await fleet.publish(planCatalogue([model], workspaces));
	await fleet.connected();
	console.log(`${fleet.entries.length} entries and ${fleet.endpoints.length} sides are up; sending for ${seconds} s.`);
	const faultsInjected = injectFaults(fleet);
	await runLoad({
		flows: planFlows(),
		seconds,
		random,
		address: () => random.pick(fleet.entries).entry.address,
		onResult(flow, result) {
			tallies.find(tally => tally.plan.name === flow.plan.name)!.count(result);
		},
	});
	await faultsInjected;
	console.log(renderTally(tallies, seconds));
	const produced = sum(engines.map(engine => engine.tokensProduced));
	const delivered = sum(tallies.map(tally => tally.wholeTokens));
	console.log(`Engines produced ${produced} tokens; ${delivered} reached callers in whole answers; wasted work ${(100 * (1 - (delivered / produced))).toFixed(2)}%.`);
	const faults = sum(tallies.map(tally => tally.wrong + tally.withoutVerdict));
	console.log(faults === 0 ? 'Every caller got its own whole answer or a verdict.' : `${faults} callers got a wrong answer or no verdict.`);
	process.exitCode = faults === 0 ? 0 : 1;
}

function planFlows(): Flow[] {
	return workspaces.flatMap(workspace => threeClasses.map(plan => ({workspace, plan, model, ...ratesByClass[plan.name]!})));
}

/** One endpoint crashes and restarts; another is shut down gracefully. */
async function injectFaults(fleet: LocalFleet): Promise<void> {
	const [crashing, stopping] = fleet.endpoints;
	await delay(3000);
	console.log(`${crashing!.name} crashes.`);
	await crashing!.engine.crash();
	await delay(2000);
	await crashing!.engine.start();
	console.log(`${crashing!.name} is back; ${stopping!.name} is stopped as planned.`);
	await fleet.stopEndpoint(stopping!);
	console.log(`${stopping!.name} has finished its work and is gone.`);
}

async function delay(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

await main();
