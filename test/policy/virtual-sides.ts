import {type ClassName, type EndpointId, type RequestId, type RequestSummary, type TargetName, type Tier, type WorkspaceName} from '../../src/model/index.js';
import {type Placement, type SideView} from '../../src/policy/placement/index.js';

export type VirtualSide = {
	readonly endpoint: EndpointId;
	readonly slots: number;
	tokenMilliseconds: number;
	alive: boolean;
	running: Map<RequestId, number>;
	queue: RequestId[];
};

export type Arrival = {readonly at: number; readonly tokens: number; readonly prefix?: string; readonly tier?: Tier};
export type Finished = {readonly at: number; readonly wait: number; readonly endpoint: EndpointId; readonly arrival: Arrival};

export function createSummary(id: string, overrides: Partial<RequestSummary> = {}): RequestSummary {
	const summary: RequestSummary = {
		id: id as RequestId, workspace: 'studio' as WorkspaceName, weight: 1, className: 'answers' as ClassName, tier: 0, target: 'model' as TargetName,
		idempotent: true, firstTokenMilliseconds: 400, queueMilliseconds: 5000, promptTokens: 500, fingerprint: id, prefix: '', ...overrides,
	};
	return summary;
}

export function createSides(count: number, slots = 4, tokenMilliseconds = 10): VirtualSide[] {
	return Array.from({length: count}, (_, index) => ({
		endpoint: `endpoint-${index}` as EndpointId, slots, tokenMilliseconds, alive: true, running: new Map(), queue: [],
	}));
}

const reportMilliseconds = 50;
const stepMilliseconds = 10;

/**
 * One entry and a few sides in virtual time: each side serves its queue in the order of arrival,
 * reports every 50 ms, and binds a request to the first side that has a slot. `change` alters sides.
 */
export function runSides<State>(placement: Placement<State>, sides: VirtualSide[], arrivals: readonly Arrival[], options: {
	readonly until: number;
	readonly random: () => number;
	readonly change?: (now: number) => void;
}): {finished: Finished[]; state: State} {
	let state = placement.create({instance: 'entry-0', zone: 'zone-0' as never});
	const finished: Finished[] = [];
	const pending = arrivals.map((arrival, index) => ({...arrival, id: `request-${index}` as RequestId}));
	const requests = new Map(pending.map(request => [request.id, request]));
	const reservedAt = new Map<RequestId, readonly EndpointId[]>();
	let next = 0;

	const view = (side: VirtualSide): SideView => ({
		endpoint: side.endpoint, zone: 'zone-0', targets: ['model'], connected: true, leaving: false, slots: side.slots,
		running: side.running.size, waiting: [side.queue.length, 0, 0], tokenMilliseconds: 0,
	} as unknown as SideView);

	const place = (id: RequestId, now: number) => {
		const request = requests.get(id)!;
		const summary = createSummary(id, {prefix: request.prefix ?? '', tier: request.tier ?? 0});
		const choice = placement.choose(state, summary, new Set(), options.random(), now);
		reservedAt.set(id, choice.endpoints);
		for (const endpoint of choice.endpoints) {
			state = placement.step(state, {type: 'reserved', endpoint, request: id}, now);
			sides.find(side => side.endpoint === endpoint)!.queue.push(id);
		}
	};

	const startWaiting = (side: VirtualSide, now: number) => {
		while (side.alive && side.running.size < side.slots && side.queue.length > 0) {
			const id = side.queue.shift()!;
			for (const other of reservedAt.get(id)!.filter(endpoint => endpoint !== side.endpoint)) {
				const {queue} = (sides.find(({endpoint}) => endpoint === other)!);
				queue.splice(queue.indexOf(id), 1);
				state = placement.step(state, {type: 'withdrawn', endpoint: other, request: id}, now);
			}

			reservedAt.set(id, [side.endpoint]);
			side.running.set(id, now);
			state = placement.step(state, {type: 'started', endpoint: side.endpoint, request: id, prefix: requests.get(id)!.prefix ?? ''}, now);
		}
	};

	const progress = (side: VirtualSide, now: number) => {
		for (const [id, startedAt] of side.running) {
			const request = requests.get(id)!;
			state = placement.step(state, {type: 'progressed', endpoint: side.endpoint, request: id, tokens: stepMilliseconds / side.tokenMilliseconds, milliseconds: stepMilliseconds}, now);
			if (now - startedAt >= request.tokens * side.tokenMilliseconds) {
				side.running.delete(id);
				state = placement.step(state, {type: 'ended', endpoint: side.endpoint, request: id, whole: true}, now);
				finished.push({at: now, wait: startedAt - request.at, endpoint: side.endpoint, arrival: request});
			}
		}
	};

	const removeSide = (side: VirtualSide, now: number) => {
		state = placement.step(state, {type: 'side-lost', endpoint: side.endpoint}, now);
		const affected = [...side.running.keys(), ...side.queue];
		side.running.clear();
		side.queue = [];
		for (const id of affected) {
			const elsewhere = reservedAt.get(id)!.filter(endpoint => endpoint !== side.endpoint);
			reservedAt.set(id, elsewhere);
			if (elsewhere.length === 0) {
				place(id, now);
			}
		}
	};

	const lost = new Set<VirtualSide>();
	for (let now = 0; now <= options.until; now += stepMilliseconds) {
		options.change?.(now);
		for (const side of sides.filter(({alive}) => !alive)) {
			if (!lost.has(side)) {
				lost.add(side);
				removeSide(side, now);
			}
		}

		for (const side of sides.filter(({alive}) => alive)) {
			progress(side, now);
			if (now % reportMilliseconds === 0) {
				state = placement.step(state, {type: 'side-seen', side: view(side)}, now);
			}
		}

		state = placement.step(state, {type: 'tick'}, now);
		for (; pending[next] && pending[next]!.at <= now; next++) {
			place(pending[next]!.id, now);
		}

		for (const side of sides) {
			startWaiting(side, now);
		}
	}

	return {finished, state};
}
