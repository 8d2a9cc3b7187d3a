import {explainAnswerSchema, quarantineAnswerSchema, statusAnswerSchema, type StatusAnswer} from '../telemetry/index.js';
import {type OperatorContext} from './context.js';
import {receivedValues, queryInstances, describeUnresponsive, findInstances, type InstanceResponse, type InstanceRequest} from './instances.js';
import {formatTable, formatTime, OperatorExit, type CommandResult} from './result.js';

/** Shows the phase, the queue and the catalogue offset in force of every instance. */
export async function showStatus(context: OperatorContext): Promise<CommandResult> {
	const responses = await queryFleet(context, {method: 'GET', path: '/status', schema: statusAnswerSchema});
	const statuses = receivedValues(responses).toSorted((first, second) => sortKey(first) < sortKey(second) ? -1 : 1);
	const rows = statuses.map(status => [
		status.role,
		status.instance,
		status.zone,
		status.phase,
		status.endpoint,
		status.targets?.join(' '),
		status.running,
		status.slots,
		status.waiting.join(' / '),
		status.quarantined,
		status.peers,
		status.catalogueOffset,
	]);
	const table = formatTable(['role', 'instance', 'zone', 'phase', 'endpoint', 'targets', 'running', 'slots', 'waiting by tier', 'quarantined', 'peers', 'catalogue'], rows);
	return finish(responses, {instances: statuses, silent: describeUnresponsive(responses)}, table);
}

/** Shows the decisions about a request from all instances that handled it, in chronological order. */
export async function explainRequest(context: OperatorContext, request: string): Promise<CommandResult> {
	const responses = await queryFleet(context, {method: 'GET', path: `/explain/${encodeURIComponent(request)}`, schema: explainAnswerSchema});
	const decisions = receivedValues(responses)
		.flatMap(response => response.decisions.map(decision => ({instance: response.instance, role: response.role, ...decision})))
		.toSorted((first, second) => first.time - second.time);
	if (decisions.length === 0 && receivedValues(responses).length > 0) {
		const text = [`No instance that responded knows ${request}: its decisions have been replaced, or its instance has stopped.`, ...describeUnresponsive(responses)].join('\n');
		return {exit: OperatorExit.notFound, value: {decisions, silent: describeUnresponsive(responses)}, text};
	}

	const rows = decisions.map(({time, role, instance, code, detail}) => [
		formatTime(time), role, instance, code, Object.entries(detail).map(([name, value]) => `${name}: ${value}`).join('\n'),
	]);
	return finish(responses, {decisions, silent: describeUnresponsive(responses)}, formatTable(['time', 'role', 'instance', 'decision', 'detail'], rows));
}

/** Lists the requests that are refused because they crashed endpoints. */
export async function listQuarantine(context: OperatorContext): Promise<CommandResult> {
	const responses = await queryFleet(context, {method: 'GET', path: '/quarantine', schema: quarantineAnswerSchema});
	const quarantined = new Map(receivedValues(responses).flatMap(response => response.quarantined).map(item => [item.fingerprint, item]));
	const rows = [...quarantined.values()].map(({fingerprint, since, endpoints}) => [fingerprint, formatTime(since), endpoints.join(' ')]);
	return finish(responses, {quarantined: [...quarantined.values()], silent: describeUnresponsive(responses)}, formatTable(['fingerprint', 'since', 'endpoints it crashed'], rows));
}

/** Releases a request from quarantine. The first instance that accepts the release propagates it to all others. */
export async function releaseQuarantine(context: OperatorContext, fingerprint: string): Promise<CommandResult> {
	const urls = await findInstances(context.instances, context.members);
	const silent: string[] = [];
	for (const url of urls) {
		const body = {release: fingerprint, author: context.author};
		const [response] = await queryInstances([url], {method: 'POST', path: '/quarantine', body, schema: quarantineAnswerSchema});
		if (response?.type === 'answered') {
			const {instance} = response.value;
			return {exit: OperatorExit.ok, value: {released: fingerprint, by: context.author, at: instance}, text: `Released ${fingerprint} at ${instance}, which propagates it to all others.`};
		}

		silent.push(...describeUnresponsive([response!]));
	}

	return {exit: OperatorExit.notFound, value: {silent}, text: ['No instance released the fingerprint.', ...silent].join('\n')};
}

async function queryFleet<Value>(context: OperatorContext, request: InstanceRequest<Value>): Promise<ReadonlyArray<InstanceResponse<Value>>> {
	return queryInstances(await findInstances(context.instances, context.members), request);
}

/** Creates a command's result, with a line for each instance that did not respond; the command failed if none responded. */
function finish(responses: ReadonlyArray<InstanceResponse<unknown>>, value: unknown, text: string): CommandResult {
	const exit = receivedValues(responses).length === 0 ? OperatorExit.unreachable : OperatorExit.ok;
	const notes = responses.length === 0 ? ['No instance is known: give --members-url or --instance.'] : describeUnresponsive(responses);
	return {exit, value, text: [text, ...notes].join('\n')};
}

function sortKey({role, zone, instance}: StatusAnswer): string {
	return `${role} ${zone} ${instance}`;
}
