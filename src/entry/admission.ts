import {timingSafeEqual} from 'node:crypto';
import {type Catalogue, type ClassEntry, type WorkspaceEntry} from '../catalogue/index.js';
import {
	type ClassName, createFailure, FailureKind, type RequestId, RequestError, type RequestSummary, sha256, type TargetName, type WorkspaceName,
} from '../model/index.js';

/** The workspace that sent a request, and the class of the request. */
export type Caller = {readonly workspace: WorkspaceEntry; readonly classEntry: ClassEntry};

/**
 * Finds the workspace by its API key (the bearer token) and the class by its name; without a name, the class is
 * the workspace's default class. Throws a `RequestError` if either is unknown.
 */
export function identifyCaller(catalogue: Catalogue, authorization: string | undefined, className: string | undefined): Caller {
	const workspace = authenticate(catalogue, authorization);
	const classEntry = catalogue.classOf(workspace.name, className);
	if (classEntry === undefined) {
		throw createRefusal(FailureKind.unknownClass, `The workspace has no class named ${className ?? workspace.defaultClass}.`);
	}

	return {workspace, classEntry};
}

function authenticate(catalogue: Catalogue, authorization: string | undefined): WorkspaceEntry {
	const key = /^Bearer (?<key>\S{1,512})$/v.exec(authorization ?? '')?.groups?.key;
	if (key === undefined) {
		throw createRefusal(FailureKind.unauthorized, 'Send your key as "Authorization: Bearer KEY".');
	}

	const digest = sha256(key);
	const workspace = catalogue.findWorkspaceByKey(digest);
	if (!workspace?.keySha256.some(stored => equalDigests(stored, digest))) {
		throw createRefusal(FailureKind.unauthorized, 'The key is unknown.');
	}

	return workspace;
}

function equalDigests(first: string, second: string): boolean {
	return first.length === second.length && timingSafeEqual(new TextEncoder().encode(first), new TextEncoder().encode(second));
}

/** Checks that a model or service is in the catalogue and that the class may use it; throws a `RequestError` otherwise. */
export function checkTarget(catalogue: Catalogue, caller: Caller, kind: 'model' | 'service', name: string): void {
	const catalogueEntry = kind === 'model' ? catalogue.model(name) : catalogue.service(name);
	const {targets} = caller.classEntry;
	if (catalogueEntry === undefined || (targets.length > 0 && !targets.includes(name))) {
		throw createRefusal(FailureKind.unknownModel, `The ${kind} ${name} does not exist or is not available to this class.`);
	}
}

/** Describes a request for queues, placement and limits, which do not get the request itself. */
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

function createRefusal(kind: FailureKind, message: string): RequestError {
	return RequestError.create(createFailure(kind, message));
}
