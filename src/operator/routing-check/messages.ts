import {type Finding, type NeverMatches} from './findings.js';

/** A text for each type of a union. */
type Texts<Union extends {readonly type: string}> = {readonly [Type in Union['type']]: (value: Extract<Union, {readonly type: Type}>) => string};

const reasonTexts: Texts<NeverMatches> = {
	'same-prefix': ({by}) => `route ${by} stands before it and has the same host and path prefix`,
	'host-with-port': () => 'hosts are compared without their port, so write it without one',
	'host-characters': () => 'no host name or address has such characters',
	'prefix-without-slash': () => 'paths begin with a slash',
	'prefix-characters': () => 'no path has such characters; the query is not part of it, and others are percent-encoded',
};

const findingTexts: Texts<Finding> = {
	'no-key-opens': ({routes}) => `no workspace has a key that a caller can send; every request of these routes is answered with 401: ${routes.join(', ')}`,
	'slots-beyond-connections': ({connections, slots}) => `an endpoint accepts ${connections} connections and has ${slots} slots; the others stay empty`,
	'version-not-higher': ({inForce, version}) => `version ${version} is not higher than ${inForce}, which is in force; gateways ignore it`,
	'never-matches': ({reason, route}) => `no request can match route ${route}: ${describeNeverMatches(reason)}`,
	'open-prefix': ({pathPrefix}) => `without a slash at its end, ${pathPrefix} also matches longer names that begin so, such as ${pathPrefix}x`,
	'literal-wildcard': ({text}) => `the asterisk in ${text} stands for itself, not for any text`,
	'empty-host': ({route}) => `route ${route} has no host; only requests without a Host header match it`,
	'no-service': ({route}) => `route ${route} has no service; its requests are answered with 404`,
	'unknown-service': ({service}) => `there is no service ${service}; endpoints that register for it are used without its limits, engine and ranks`,
	'unused-service': ({service}) => `no route sends to service ${service}`,
	'repeated-service': ({service}) => `another service is called ${service}; the last one counts`,
	'repeated-name': ({kind, name}) => `another ${kind} is called ${name}; logs, metrics and usage do not tell them apart`,
	'shared-key': ({fingerprint, workspaces}) => `workspaces ${workspaces.join(', ')} have the key ${fingerprint}; it counts for the last one`,
	'repeated-key': ({fingerprint}) => `the workspace has the key ${fingerprint} already`,
	'unusable-key': ({fingerprint}) => `no Authorization header can carry the key ${fingerprint}: it is empty or contains white space`,
	'workspace-without-keys': ({workspace}) => `workspace ${workspace} has no keys, so no request is its own`,
	'no-weight': ({service}) => `the weights sum to zero, so service ${service}, the last one, gets all requests`,
	'zero-weight': ({service}) => `service ${service} has no weight and gets no requests of this route`,
	'refused-by-instances': ({reason}) => `instances refuse the table from each other, and get it from the store alone: ${reason}`,
	'target-beyond-timeout': ({targetMilliseconds, timeoutMilliseconds}) => `the target of ${targetMilliseconds} ms is beyond the timeout of ${timeoutMilliseconds} ms, at which a request is ended`,
	'pause-beyond-timeout': ({pauseMilliseconds, timeoutMilliseconds}) => `the pause limit of ${pauseMilliseconds} ms is beyond the timeout of ${timeoutMilliseconds} ms, at which a stream is ended`,
	'attempts-beyond-timeout': ({attempts, fittingAttempts, silenceMilliseconds, timeoutMilliseconds}) =>
		`${attempts} attempts do not fit: a silent endpoint is left after at least ${silenceMilliseconds} ms, so ${fittingAttempts} fit in the timeout of ${timeoutMilliseconds} ms`,
	'attempts-without-effect': ({attempts}) => `${attempts} attempts have no effect: requests of this kind are not repeated once they may have run`,
	'pause-without-stream': () => 'the route is not a stream, and its pause limit decides which streams of its services count as latency-critical',
	'resumable-without-stream': () => 'only streams are resumed',
	'scale-bounds': ({least, most}) => `the largest number of endpoints, ${most}, is below the least, ${least}, and is the one that counts`,
	'scale-to-none': ({service}) => `no endpoint is ever ordered for service ${service}`,
	'unknown-field': ({count}) => `unknown field, ignored${count === 1 ? '' : `; ${count} times`}`,
	'repeated-field': () => 'the field occurs twice in one object; the last one counts',
	'unknown-kind': ({kind}) => `unknown kind ${kind}; its requests count as unsafe and run at most once`,
	'overridden-field': ({by}) => `without effect beside ${by}`,
	'incomplete-field': ({missing}) => `without effect, as there is no ${missing.join(' and no ')}`,
};

/** The text of a finding for people. The field that it is about is named by its place. */
export function messageOf(finding: Finding): string {
	const text = findingTexts[finding.type] as (value: Finding) => string;
	return text(finding);
}

function describeNeverMatches(reason: NeverMatches): string {
	const text = reasonTexts[reason.type] as (value: NeverMatches) => string;
	return text(reason);
}
