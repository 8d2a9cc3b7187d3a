import {
	applyRecord, Catalogue, type Change, type Entry, type ModelEntry, type Operation, type StreamRecord,
} from '../../src/catalogue/index.js';

/** A workspace and its default class, which together are a valid catalogue. */
export function sampleWorkspace(name: string, weight = 1): Entry[] {
	return [
		{kind: 'workspace', name, owner: 'operations', weight, keySha256: [], defaultClass: 'chart'},
		sampleClass(name, 'chart'),
	];
}

export function sampleClass(workspace: string, name: string, queueMilliseconds = 1000): Entry {
	return {
		kind: 'class', name: `${workspace}/${name}`, owner: 'operations', tier: 2,
		firstTokenMilliseconds: 430, betweenTokensMilliseconds: 58, queueMilliseconds, idempotent: true, targets: [], limits: {},
	};
}

export function sampleModel(name: string): ModelEntry {
	return {kind: 'model', name, owner: 'operations', version: '1', replicas: 0, adapters: []};
}

export function put(entry: Entry, revision?: number): Operation {
	return {type: 'put', revision, entry};
}

export function change(...operations: Operation[]): Change {
	return {type: 'change', id: 'sample', author: 'anna', time: 0, operations};
}

/** Records from values, numbered from 0. */
export function stream(...values: unknown[]): StreamRecord[] {
	return values.map((value, offset) => ({offset, time: offset, value}));
}

export function fold(records: readonly StreamRecord[], from = Catalogue.empty()): Catalogue {
	let catalogue = from;
	for (const record of records) {
		catalogue = applyRecord(catalogue, record).catalogue;
	}

	return catalogue;
}
