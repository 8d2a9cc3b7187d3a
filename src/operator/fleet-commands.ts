import {explainAnswerSchema, quarantineAnswerSchema, statusAnswerSchema, type StatusAnswer} from '../telemetry/index.js';
import {type OperatorContext} from './context.js';
import {answered, askInstances, describeSilent, findInstances, type Answer, type Question} from './instances.js';
import {formatTable, formatTime, OperatorExit, type CommandResult} from './result.js';

/** Every instance: its phase, its queue and the catalogue it has in force. */
export async function showStatus(context: OperatorContext): Promise<CommandResult> {
	const answers = await askFleet(context, {method: 'GET', path: '/status', schema: statusAnswerSchema});
	const statuses = answered(answers).toSorted((first, second) => sortKey(first) < sortKey(second) ? -1 : 1);
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
	return finish(answers, {instances: statuses, silent: describeSilent(answers)}, table);
}

/** What was decided about a request, gathered from the instances that saw it, in the order of time. */
export async function explainRequest(context: OperatorContext, request: string): Promise<CommandResult> {
	const answers = await askFleet(context, {method: 'GET', path: `/explain/${encodeURIComponent(request)}`, schema: explainAnswerSchema});
	const decisions = answered(answers)
		.flatMap(answer => answer.decisions.map(decision => ({instance: answer.instance, role: answer.role, ...decision})))
		.toSorted((first, second) => first.time - second.time);
	if (decisions.length === 0 && answered(answers).length > 0) {
		const text = [`No instance that answered knows of ${request}: it came too long ago, or its instance is gone.`, ...describeSilent(answers)].join('\n');
		return {exit: OperatorExit.notFound, value: {decisions, silent: describeSilent(answers)}, text};
	}

	const rows = decisions.map(({time, role, instance, code, detail}) => [
		formatTime(time), role, instance, code, Object.entries(detail).map(([name, value]) => `${name}: ${value}`).join('\n'),
	]);
	return finish(answers, {decisions, silent: describeSilent(answers)}, formatTable(['time', 'role', 'instance', 'decision', 'detail'], rows));
}

/** The requests that are refused because they crashed endpoints. */
export async function listQuarantine(context: OperatorContext): Promise<CommandResult> {
	const answers = await askFleet(context, {method: 'GET', path: '/quarantine', schema: quarantineAnswerSchema});
	const held = new Map(answered(answers).flatMap(answer => answer.quarantined).map(item => [item.fingerprint, item]));
	const rows = [...held.values()].map(({fingerprint, since, endpoints}) => [fingerprint, formatTime(since), endpoints.join(' ')]);
	return finish(answers, {quarantined: [...held.values()], silent: describeSilent(answers)}, formatTable(['fingerprint', 'since', 'endpoints it crashed'], rows));
}

/** Lets a quarantined request run again. One instance that takes the release spreads it to all. */
export async function releaseQuarantine(context: OperatorContext, fingerprint: string): Promise<CommandResult> {
	const urls = await findInstances(context.instances, context.members);
	const silent: string[] = [];
	for (const url of urls) {
		const body = {release: fingerprint, author: context.author};
		const [answer] = await askInstances([url], {method: 'POST', path: '/quarantine', body, schema: quarantineAnswerSchema});
		if (answer?.type === 'answered') {
			const {instance} = answer.value;
			return {exit: OperatorExit.ok, value: {released: fingerprint, by: context.author, at: instance}, text: `Released ${fingerprint} at ${instance}; it spreads from there.`};
		}

		silent.push(...describeSilent([answer!]));
	}

	return {exit: OperatorExit.notFound, value: {silent}, text: ['No instance released it.', ...silent].join('\n')};
}

async function askFleet<Value>(context: OperatorContext, question: Question<Value>): Promise<ReadonlyArray<Answer<Value>>> {
	return askInstances(await findInstances(context.instances, context.members), question);
}

function finish(answers: ReadonlyArray<Answer<unknown>>, value: unknown, text: string): CommandResult {
	const exit = answered(answers).length === 0 ? OperatorExit.unreachable : OperatorExit.ok;
	const notes = answers.length === 0 ? ['No instance is known: give --members-url or --instance.'] : describeSilent(answers);
	return {exit, value, text: [text, ...notes].join('\n')};
}

function sortKey({role, zone, instance}: StatusAnswer): string {
	return `${role} ${zone} ${instance}`;
}
