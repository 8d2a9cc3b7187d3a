/** Evaluates a CPU profile: the time of each function, by itself and with everything that it called. */
type Node = {readonly id: number; readonly callFrame: {readonly functionName: string; readonly url: string; readonly lineNumber: number}; readonly children?: readonly number[]};
export type Profile = {readonly nodes: readonly Node[]; readonly samples: readonly number[]; readonly timeDeltas: readonly number[]};

export type Cost = {readonly name: string; readonly ownMilliseconds: number; readonly wholeMilliseconds: number};

const microsecondsPerMillisecond = 1000;

/** Returns the costs by function name, largest total time first. Recursive calls count once. */
export function costsOf({nodes, samples, timeDeltas}: Profile): Cost[] {
	const byId = new Map(nodes.map(node => [node.id, node]));
	const parents = new Map(nodes.flatMap(node => (node.children ?? []).map(child => [child, node.id] as const)));
	const own = new Map<string, number>();
	const total = new Map<string, number>();
	for (const [index, sample] of samples.entries()) {
		const milliseconds = (timeDeltas[index] ?? 0) / microsecondsPerMillisecond;
		const node = byId.get(sample)!;
		add(own, nameOf(node), milliseconds);
		const seen = new Set<string>();
		for (let id: number | undefined = sample; id !== undefined; id = parents.get(id)) {
			seen.add(nameOf(byId.get(id)!));
		}

		for (const name of seen) {
			add(total, name, milliseconds);
		}
	}

	return [...total].map(([name, wholeMilliseconds]) => ({name, ownMilliseconds: own.get(name) ?? 0, wholeMilliseconds}))
		.toSorted((left, right) => right.wholeMilliseconds - left.wholeMilliseconds);
}

/** Returns own time by the origin of the code: the product, each module of Node, and native code. */
export function costsByOrigin({nodes, samples, timeDeltas}: Profile): Cost[] {
	const byId = new Map(nodes.map(node => [node.id, node]));
	const own = new Map<string, number>();
	for (const [index, sample] of samples.entries()) {
		add(own, originOf(byId.get(sample)!), (timeDeltas[index] ?? 0) / microsecondsPerMillisecond);
	}

	return [...own].map(([name, milliseconds]) => ({name, ownMilliseconds: milliseconds, wholeMilliseconds: milliseconds}))
		.toSorted((left, right) => right.ownMilliseconds - left.ownMilliseconds);
}

function originOf({callFrame: {functionName, url}}: Node): string {
	if (url === '') {
		return functionName.startsWith('(') ? functionName : '(compiled into Node)';
	}

	return url.startsWith('node:') ? url : url.slice(url.lastIndexOf('/') + 1);
}

function nameOf({callFrame: {functionName, url}}: Node): string {
	const file = url.slice(url.lastIndexOf('/') + 1);
	return `${functionName === '' ? '(anonymous)' : functionName}${file === '' ? '' : ` ${file}`}`;
}

function add(totals: Map<string, number>, name: string, milliseconds: number): void {
	totals.set(name, (totals.get(name) ?? 0) + milliseconds);
}
