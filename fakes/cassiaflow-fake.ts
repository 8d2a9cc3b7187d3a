#!/usr/bin/env node
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {
	FakeEngine, FakeLog, FakeMembers, FakeService, FakeWeights,
} from './index.js';

type StandIn = AsyncDisposable & {readonly url: string};

const kinds = ['log', 'members', 'engine', 'service', 'weights'] as const;
type Kind = (typeof kinds)[number];

function createStandIn(kind: Kind, port: number, models: string[]): Promise<StandIn> {
	switch (kind) {
		case 'log': {
			return FakeLog.create({port});
		}

		case 'members': {
			return FakeMembers.create({port});
		}

		case 'engine': {
			return FakeEngine.create({port, models});
		}

		case 'service': {
			return FakeService.create({port});
		}

		case 'weights': {
			return FakeWeights.create({port});
		}
	}
}

const settings = await yargs(hideBin(process.argv))
	.scriptName('cassiaflow-fake')
	.usage('$0 <kind>\n\nStand-ins for development and tests. Each takes faults at POST /faults and shows them at GET /faults.')
	.command('$0 <kind>', 'start one stand-in, or all of them', command => command.positional('kind', {
		choices: [...kinds, 'all'] as const, demandOption: true,
	}))
	.option('port', {type: 'number', default: 0, describe: 'port on 127.0.0.1; 0 takes a free one; with `all`, the first of five'})
	.option('model', {type: 'string', array: true, default: ['model'], describe: 'models that the engine serves'})
	.env('CASSIAFLOW_FAKE')
	.strict()
	.parseAsync();

const chosen = settings.kind === 'all' ? kinds : [settings.kind as Kind];
const standIns: StandIn[] = [];
for (const [index, kind] of chosen.entries()) {
	const standIn = await createStandIn(kind, settings.port === 0 ? 0 : settings.port + index, settings.model);
	standIns.push(standIn);
	console.log(JSON.stringify({kind, url: standIn.url}));
}

await new Promise(resolve => {
	process.once('SIGTERM', resolve);
	process.once('SIGINT', resolve);
});
await Promise.all(standIns.map(standIn => standIn[Symbol.asyncDispose]()));
