/** Checks by what the workers saw whether the gateways heeded what the workers had stated about themselves. */
import {type FakePlatformWorker, type WorkerRequest} from '../../fakes/platform-worker.js';

/** A span in which a gateway was killed, restarted or frozen; what it had been told before does not bind it afterwards. */
export type Disturbance = {readonly gateway: number; readonly from: number; readonly until: number};

export type StatementRecord = {
	readonly workers: readonly FakePlatformWorker[];
	/** Number of the gateway that a request was sent to. */
	readonly gatewayOf: (request: WorkerRequest) => number;
	readonly disturbances: readonly Disturbance[];
};

/** A response on its way, and requests that crossed it. */
const noticeMilliseconds = 500;
/** Time from the first statement of a limit until the gateways share it. */
const limitLearningMilliseconds = 1000;
const drainMilliseconds = 2000;
const spanMilliseconds = 4000;
const allowedFactor = 1.5;
const allowedRequests = 5;
const allowedWhileResting = 2;

/** Returns the violations of limits, leaving and rests. */
export function statementViolations(record: StatementRecord): string[] {
	return record.workers.flatMap(worker => [...limitViolations(worker, record), ...leavingViolations(worker, record), ...restViolations(worker, record)]);
}

function limitViolations({id, requests}: FakePlatformWorker, record: StatementRecord): string[] {
	const stating = requests.filter(({statements}) => statements['Server-Limit'] !== undefined);
	const limit = Number(stating[0]?.statements['Server-Limit']);
	const counted = stating.filter(request => request.at > stating[0]!.at + limitLearningMilliseconds && wasTold(request, stating, record));
	const most = Math.max(0, ...counted.map(({at: start}) => counted.filter(({at}) => at >= start && at < start + spanMilliseconds).length));
	return most > (limit * spanMilliseconds / 1000 * allowedFactor) + allowedRequests ? [`${id} stated a limit of ${limit} a second and got ${most} requests in ${spanMilliseconds} ms`] : [];
}

/** Whether the gateway of a request had been told by one of these responses, and has run since. */
function wasTold(request: WorkerRequest, stating: readonly WorkerRequest[], record: StatementRecord): boolean {
	return stating.some(earlier => earlier.at <= request.at - noticeMilliseconds && binds(earlier, request, record));
}

function leavingViolations({id, requests}: FakePlatformWorker, record: StatementRecord): string[] {
	const stating = requests.filter(({statements}) => statements['Server-Leaving'] === '1');
	const late = requests.find(request => stating.some(earlier => request.at > earlier.at + drainMilliseconds && binds(earlier, request, record)));
	return late === undefined ? [] : [`${id} stated that it leaves and still got ${late.id}`];
}

function restViolations({id, requests}: FakePlatformWorker, record: StatementRecord): string[] {
	for (const refused of requests.filter(({wasRun, statements}) => !wasRun && statements['Retry-After'] !== undefined)) {
		const until = refused.at + (Number(refused.statements['Retry-After']) * 1000);
		const early = requests.filter(request => request.at > refused.at + noticeMilliseconds && request.at < until && binds(refused, request, record));
		if (early.length > allowedWhileResting) {
			return [`${id} asked for rest until ${Math.round(until)} and got ${early.length} requests of one gateway in it`];
		}
	}

	return [];
}

function binds(earlier: WorkerRequest, later: WorkerRequest, {gatewayOf, disturbances}: StatementRecord): boolean {
	const gateway = gatewayOf(earlier);
	return gateway === gatewayOf(later) && !disturbances.some(one => one.gateway === gateway && one.from <= later.at && one.until >= earlier.at);
}
