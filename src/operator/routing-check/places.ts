import {type CallerLimits, type Route} from '../../routing/index.js';

/** A field of a service; fields of its engine and its scale are named with their parent. */
export type ServiceField
	= | 'name' | 'largestConnections'
		| 'engine.slots' | 'engine.memoryTokens' | 'engine.tokensPerEvent' | 'engine.transfer' | 'engine.listsKept'
		| 'scale.leastEndpoints' | 'scale.mostEndpoints' | 'scale.bootMilliseconds';

/** A field of a workspace. */
export type WorkspaceField = 'name' | 'keys' | 'urgency';

/** A field of a routing table. Indices count from 0 in the order of the table. The adapter translates it to a path in a file. */
export type TablePlace
	= | {readonly type: 'table'; readonly field: 'version' | 'routes' | 'services' | 'workspaces'}
		| {readonly type: 'route'; readonly route: number; readonly field: keyof Route}
		| {readonly type: 'share'; readonly route: number; readonly share: number; readonly field: 'service' | 'weight'}
		| {readonly type: 'service'; readonly service: number; readonly field: ServiceField}
		| {readonly type: 'workspace'; readonly workspace: number; readonly field: WorkspaceField}
		| {readonly type: 'key'; readonly workspace: number; readonly key: number}
		| {readonly type: 'limits'; readonly field: keyof CallerLimits};

/** Where a fault is in a file: the path of the field in the file's own names, and its line, counted from 1. */
export type FilePlace = {readonly path: string; readonly line: number};
