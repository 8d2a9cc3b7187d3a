import process from 'node:process';
import {type CommandModule} from 'yargs';
import {type ClassPlan, threeClasses} from '../harness/catalogue.js';
import {runLoad} from '../harness/load.js';
import {createRandom} from '../harness/random.js';
import {ClassTally, renderTally} from '../harness/tally.js';

/** Upper bound of --seconds, so that a load always ends by itself. */
const longestSeconds = 600;

type Arguments = {
	entry: string[];
	key: string;
	class: string[];
	model: string;
	requestsPerSecond: number;
	meanTokens: number;
	seconds: number;
	seed: number;
};

/** Sends load to entries that were started separately; each response is checked against the stand-in engine's expected text. */
export const loadCommand: CommandModule<Record<string, unknown>, Arguments> = {
	command: 'load',
	describe: 'Sends checked requests to running entries and prints what callers got',
	builder: yargs => yargs
		.option('entry', {type: 'string', array: true, demandOption: true, describe: 'IP:PORT of an entry; several are used in turn at random'})
		.option('key', {type: 'string', demandOption: true, describe: 'bearer key of the workspace'})
		.option('class', {type: 'string', array: true, default: ['answer'], describe: 'classes to send, in equal parts'})
		.option('model', {type: 'string', demandOption: true})
		.option('requests-per-second', {type: 'number', default: 10, describe: 'of each class'})
		.option('mean-tokens', {type: 'number', default: 40, describe: 'mean length of the answers'})
		.option('seconds', {type: 'number', default: 10})
		.option('seed', {type: 'number', default: 1})
		.check(checkArguments) as never,
	handler: sendLoad,
};

function checkArguments(given: Partial<Arguments>): true {
	const {requestsPerSecond = 0, seconds = 0, meanTokens = 0} = given;
	if (requestsPerSecond > 0 && seconds > 0 && seconds <= longestSeconds && meanTokens >= 1) {
		return true;
	}

	throw new Error(`requests-per-second must be above 0, seconds above 0 and at most ${longestSeconds}, mean-tokens 1 or more`);
}

async function sendLoad(settings: Arguments): Promise<void> {
	const random = createRandom(settings.seed);
	const tallies = settings.class.map(name => ClassTally.create(planOf(name)));
	await runLoad({
		flows: tallies.map(({plan}) => ({
			workspace: 'load', key: settings.key, plan, model: settings.model, requestsPerSecond: settings.requestsPerSecond, meanTokens: settings.meanTokens,
		})),
		seconds: settings.seconds,
		random,
		address: () => random.pick(settings.entry),
		onResult(flow, result) {
			tallies.find(tally => tally.plan === flow.plan)!.count(result);
		},
	});
	console.log(renderTally(tallies, settings.seconds));
	const hasFaults = tallies.some(tally => tally.wrong > 0 || tally.withoutVerdict > 0);
	process.exitCode = hasFaults ? 1 : 0;
}

/** Returns the targets for attainment by class name; an unknown class gets those of the middle tier. */
function planOf(name: string): ClassPlan {
	const known = threeClasses.find(plan => plan.name === name);
	return known ?? {...threeClasses[1]!, name};
}
