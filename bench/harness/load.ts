import {callModel, type CallResult} from './caller.js';
import {type ClassPlan, keyOf} from './catalogue.js';
import {type Random} from './random.js';

/** One kind of traffic: the workspace and class, the request rate and the length of the responses. */
export type Flow = {
	readonly workspace: string;
	/** The bearer key; defaults to `keyOf(workspace)`. */
	readonly key?: string;
	readonly plan: ClassPlan;
	readonly model: string;
	readonly requestsPerSecond: number;
	readonly meanTokens: number;
};

export type LoadOptions = {
	readonly flows: readonly Flow[];
	readonly seconds: number;
	readonly random: Random;
	/** Chooses an entry, in place of the platform's load balancer. */
	readonly address: () => string;
	readonly onResult: (flow: Flow, result: CallResult) => void;
};

/** Sends each flow as an open-loop Poisson process, and resolves once every request has ended. */
export async function runLoad(options: LoadOptions): Promise<void> {
	const pending: Array<Promise<void>> = [];
	const until = performance.now() + (options.seconds * 1000);
	await Promise.all(options.flows.map(async flow => {
		for (;;) {
			await pause(options.random.exponential(1000 / flow.requestsPerSecond));
			if (performance.now() > until) {
				return;
			}

			pending.push(sendOne(options, flow));
		}
	}));
	await Promise.all(pending);
}

async function sendOne({random, address, onResult}: LoadOptions, flow: Flow): Promise<void> {
	const tokens = 1 + Math.floor(random.exponential(flow.meanTokens));
	const result = await callModel({
		address: address(),
		key: flow.key ?? keyOf(flow.workspace),
		className: flow.plan.name,
		model: flow.model,
		prompt: `Request ${random.below(1e9)} of ${flow.workspace}: [[tokens=${tokens}]]`,
	});
	onResult(flow, result);
}

async function pause(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
