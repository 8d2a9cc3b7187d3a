import {timingSafeEqual} from 'node:crypto';
import {type Catalogue, type ClassEntry, type WorkspaceEntry} from '../catalogue/index.js';
import {
	type ClassName, createFailure, FailureKind, type RequestId, RequestError, type RequestSummary, sha256, type TargetName, type WorkspaceName,
} from '../model/index.js';

/** Who calls, and under which class. */
export type Caller = {readonly workspace: WorkspaceEntry; readonly classEntry: ClassEntry};

/** Finds the workspace by the bearer key and the class by its name; throws `RequestError`. */
export function identifyCaller(catalogue: Catalogue, authorization: string | undefined, className: string | undefined): Caller {
	const workspace = authenticate(catalogue, authorization);
	const classEntry = catalogue.classOf(workspace.name, className);
	if (classEntry === undefined) {
		throw refusal(FailureKind.unknownClass, `The workspace has no class named ${className ?? workspace.defaultClass}.`);
	}

	return {workspace, classEntry};
}

function authenticate(catalogue: Catalogue, authorization: string | undefined): WorkspaceEntry {
	const key = /^Bearer (?<key>\S{1,512})$/v.exec(authorization ?? '')?.groups?.key;
	if (key === undefined) {
		throw refusal(FailureKind.unauthorized, 'Send your key as "Authorization: Bearer KEY".');
	}

	const digest = sha256(key);
	const workspace = catalogue.findWorkspaceByKey(digest);
	if (!workspace?.keySha256.some(stored => equalDigests(stored, digest))) {
		throw refusal(FailureKind.unauthorized, 'This key is not known.');
	}

	return workspace;
}

function equalDigests(first: string, second: string): boolean {
	return first.length === second.length && timingSafeEqual(new TextEncoder().encode(first), new TextEncoder().encode(second));
}

/** Checks that the class may use a model or service and that the catalogue has it. */
export function checkTarget(catalogue: Catalogue, caller: Caller, kind: 'model' | 'service', name: string): void {
	const known = kind === 'model' ? catalogue.model(name) : catalogue.service(name);
	const {targets} = caller.classEntry;
	if (known === undefined || (targets.length > 0 && !targets.includes(name))) {
		throw refusal(FailureKind.unknownModel, `The ${kind} ${name} does not exist or is not open to this class.`);
	}
}

/** What queue, placement and limits will know of the request. */
export function summarize(caller: Caller, details: {id: RequestId; target: string; idempotent: boolean; promptTokens: number; prefix: string; fingerprint: string}): RequestSummary {
	const {workspace, classEntry} = caller;
	return {
		id: details.id,
		workspace: workspace.name as WorkspaceName,
		weight: workspace.weight,
		className: classEntry.name as ClassName,
		tier: classEntry.tier,
		target: details.target as TargetName,
		idempotent: details.idempotent && classEntry.idempotent,
		firstTokenMilliseconds: classEntry.firstTokenMilliseconds,
		betweenTokensMilliseconds: classEntry.betweenTokensMilliseconds,
		queueMilliseconds: classEntry.queueMilliseconds,
		promptTokens: details.promptTokens,
		prefix: details.prefix,
		fingerprint: details.fingerprint,
	};
}

function refusal(kind: FailureKind, message: string): RequestError {
	return RequestError.create(createFailure(kind, message));
}
