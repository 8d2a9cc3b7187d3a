/** Judges which versions of the desired state the gateways of the planned course followed: ROUTE, CONFIG and its regress. */
import {type Arrival, bounds, isInTouch, type PlannedEvidence, versionsInForce} from './planned-checker.js';
import {type PlannedRecord} from './planned-connection.js';
import {type PlannedVersion} from './planned-versions.js';

/** What was done with a request, and which versions let it be done so. */
type Handling = {readonly record: PlannedRecord; readonly seenAt: number; readonly isRun: boolean; readonly isAllowedBy: (version: PlannedVersion) => boolean; readonly text: string};

const deniedStatuses = new Set([401, 403, 404]);

/** Returns what was handled as no version that may be in force allows. */
export function handlingViolations(evidence: PlannedEvidence): string[] {
	const records = new Map(evidence.records.map(record => [record.id, record]));
	const handlings = [
		...evidence.arrivals.flatMap(arrival => runHandling(arrival, records)),
		...evidence.records.flatMap(record => deniedHandling(record)),
	];
	return [...handlings.flatMap(handling => staleViolations(handling, evidence)), ...regressViolations(handlings, evidence)];
}

function runHandling({request, service}: Arrival, records: ReadonlyMap<string, PlannedRecord>): Handling[] {
	const record = records.get(request.id);
	return record === undefined || !request.wasRun
		? []
		: [{
			record, seenAt: request.at, isRun: true, text: `run by ${service}`,
			isAllowedBy: ({routes, keys}) => keys.includes(record.request.key) && routes.some(route => route.name === record.request.route && route.service === service),
		}];
}

function deniedHandling(record: PlannedRecord): Handling[] {
	const {status, endedAt, request: {key, route}} = record;
	return deniedStatuses.has(status) && !record.headers.has('upstream-signature')
		? [{
			record, seenAt: endedAt, isRun: false, text: `refused with ${status}`,
			isAllowedBy: ({routes, keys}) => !keys.includes(key) || routes.every(({name}) => name !== route),
		}]
		: [];
}

function staleViolations({record, seenAt, isRun, isAllowedBy, text}: Handling, evidence: PlannedEvidence): string[] {
	const {sentAt, gateway} = record;
	const at = `${record.request.route} ${record.id} with ${record.request.key} at gateway-${gateway} was ${text}`;
	// ROUTE: "run by a service to which no desired state ever sent allows it to go"; "whose key no desired state ever held".
	if (isRun && !evidence.versions.some(version => version.acknowledgedAt <= seenAt && isAllowedBy(version))) {
		return [`ROUTE: ${at}, no version allows it`];
	}

	// CONFIG: "sent later than `configApplyMs` after the ack of a version is handled as only an older version allows [...] by machines in touch".
	const isStale = !versionsInForce(evidence.versions, sentAt, seenAt).some(version => isAllowedBy(version)) && isInTouch(evidence, gateway, sentAt, seenAt);
	return isStale ? [`CONFIG: ${at} as only an older version allows`] : [];
}

/** CONFIG: "in one boot of its processes, a request sent more than `rollbackSlackMs` after a worker saw the effect of a version is handled as only an older version allows". */
function regressViolations(handlings: readonly Handling[], {versions, lives}: PlannedEvidence): string[] {
	return lives.flatMap((ofGateway, gateway) => ofGateway.flatMap(({startedAt, endedAt}) => {
		const own = handlings.filter(({record, seenAt}) => record.gateway === gateway && record.sentAt >= startedAt && seenAt <= endedAt);
		const effects = own.filter(({isRun}) => isRun).map(({seenAt, isAllowedBy}) => ({seenAt, version: versions.findIndex(version => isAllowedBy(version))}));
		return own.flatMap(({record, isAllowedBy, seenAt, text}) => {
			const newest = Math.max(-1, ...effects.filter(effect => effect.seenAt + bounds.rollbackMilliseconds < record.sentAt).map(({version}) => version));
			const isOlder = versions.slice(0, Math.max(0, newest)).some(version => isAllowedBy(version)) && !versions.some((version, index) => index >= newest && version.acknowledgedAt <= seenAt && isAllowedBy(version));
			return isOlder ? [`CONFIG: ${record.request.route} ${record.id} at gateway-${gateway} was ${text}, a regress behind version ${newest}`] : [];
		});
	}));
}
