import {type Entry} from '../../src/catalogue/index.js';
import {sha256} from '../../src/model/index.js';

/** A class of the harness, without its workspace's name. */
export type ClassPlan = {
	readonly name: string;
	readonly tier: 0 | 1 | 2;
	readonly firstTokenMilliseconds: number;
	readonly betweenTokensMilliseconds: number;
	readonly queueMilliseconds: number;
	readonly idempotent?: boolean;
};

/** The default classes: an interactive answer, an order, and a chart that can wait. */
export const threeClasses: readonly ClassPlan[] = [
	{name: 'answer', tier: 0, firstTokenMilliseconds: 300, betweenTokensMilliseconds: 60, queueMilliseconds: 2000},
	{name: 'order', tier: 1, firstTokenMilliseconds: 1000, betweenTokensMilliseconds: 80, queueMilliseconds: 5000},
	{name: 'chart', tier: 2, firstTokenMilliseconds: 5000, betweenTokensMilliseconds: 150, queueMilliseconds: 15_000},
];

/** Returns the bearer key of a workspace in tests; the catalogue holds only its digest. */
export function keyOf(workspace: string): string {
	return `key-of-${workspace}`;
}

/** Creates catalogue entries for models and for workspaces, each with the same classes. */
export function planCatalogue(models: readonly string[], workspaces: readonly string[], classes: readonly ClassPlan[] = threeClasses): Entry[] {
	return [
		...models.map((name): Entry => ({kind: 'model', name, owner: 'platform', version: '1', replicas: 0, adapters: []})),
		...workspaces.flatMap(workspace => planWorkspace(workspace, classes)),
	];
}

function planWorkspace(workspace: string, classes: readonly ClassPlan[]): Entry[] {
	return [
		{kind: 'workspace', name: workspace, owner: workspace, weight: 1, keySha256: [sha256(keyOf(workspace))], defaultClass: classes[0]!.name},
		...classes.map((plan): Entry => ({kind: 'class', ...plan, name: `${workspace}/${plan.name}`, owner: workspace, idempotent: plan.idempotent ?? true, targets: [], limits: {}})),
	];
}
