import {callModel, type CallResult} from '../../bench/harness/caller.js';
import {keyOf, planCatalogue} from '../../bench/harness/catalogue.js';
import {LocalFleet, type LocalEndpoint, until} from '../../bench/harness/local-fleet.js';
import {FakePath} from '../../fakes/index.js';
import {type CallEnd} from '../../src/entry/index.js';

export const model = 'model';
const workspace = 'stickwerk';
/** Long enough for the membership list to be read twice while a stream runs. */
export const tokens = 400;
export type Play = {
	readonly fleet: LocalFleet;
	/** The ends of all calls at the entry, with their attempts. */
	readonly ends: CallEnd[];
	readonly paths: FakePath[];
	/** The side before its replacement. */
	readonly earlier: LocalEndpoint;
	readonly streams: Array<Promise<CallResult>>;
};

export function call(fleet: LocalFleet, prompt: string): Promise<CallResult> {
	return callModel({address: fleet.entries[0]!.entry.address, key: keyOf(workspace), className: 'chart', model, prompt});
}

/** Streams run at the only side of an endpoint; with `hasPaths`, sides are reached through paths with faults. */
export async function begin({hasPaths = false} = {}): Promise<Play> {
	const ends: CallEnd[] = [];
	const paths: FakePath[] = [];
	const fleet = await LocalFleet.create({
		entries: 1, endpoints: 1, zones: ['zone-a'], models: [model], random: () => 0.5, logLevel: 'fatal', costs: {stepMilliseconds: 8},
		onEnd(_caller, end) {
			ends.push(end);
		},
		async route(_endpoint, address) {
			const path = await FakePath.create(address);
			paths.push(path);
			return hasPaths ? path.address : address;
		},
	});
	await fleet.publish(planCatalogue([model], [workspace]));
	await fleet.connected();
	const streams = Array.from({length: 3}, (_, index) => call(fleet, `Runs on ${index} [[tokens=${tokens}]]`));
	await until(() => fleet.endpoints[0]!.engine.running === 3 && fleet.endpoints[0]!.engine.tokensProduced > 10);
	return {fleet, ends, paths, earlier: {...fleet.endpoints[0]!}, streams};
}

export async function end({fleet, paths, earlier}: Play): Promise<void> {
	for (const part of [...earlier.sideParts, fleet, ...paths]) {
		await part[Symbol.asyncDispose]();
	}
}

/** Starts another side for the endpoint and waits until the entry uses it. */
export async function replace({fleet, earlier}: Play): Promise<void> {
	await fleet.restartSide(fleet.endpoints[0]!);
	const {instance} = fleet.endpoints[0]!;
	await until(() => fleet.entries[0]!.entry.fleet.link(earlier.name as never)?.identity?.instance === instance);
}
