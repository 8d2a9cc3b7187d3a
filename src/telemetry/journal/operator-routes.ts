import {type AdminRoute} from '../admin-server.js';
import {type DecisionJournal} from './decision-journal.js';
import {
	releaseRequestSchema, type ExplainAnswer, type QuarantineAnswer, type ReleaseRequest, type StatusAnswer,
} from './operator-protocol.js';

export type OperatorRoutesOptions = {
	readonly instance: string;
	readonly role: 'entry' | 'side';
	readonly journal: DecisionJournal;
	/** Left out by a process that judges no requests. */
	readonly quarantine?: {
		list(): QuarantineAnswer['quarantined'];
		/** Resolves once the release is on its way to every instance; false: nothing is held against it. */
		release(request: ReleaseRequest): Promise<boolean>;
	};
	status(): Omit<StatusAnswer, 'instance' | 'role'>;
};

/** The admin port's routes that the operator's command asks. */
export function createOperatorRoutes(options: OperatorRoutesOptions): readonly AdminRoute[] {
	const {instance, role, journal, quarantine} = options;
	const listQuarantined = (): QuarantineAnswer => ({instance, quarantined: quarantine?.list() ?? []});
	return [
		{method: 'GET', prefix: '/status', handle: () => ({status: 200, value: {instance, role, ...options.status()}})},
		{method: 'GET', prefix: '/explain', handle: ({rest}) => ({status: 200, value: explain({instance, role, journal}, rest)})},
		{method: 'GET', prefix: '/quarantine', handle: () => ({status: 200, value: listQuarantined()})},
		{
			method: 'POST',
			prefix: '/quarantine',
			async handle({body}) {
				const parsed = releaseRequestSchema.safeParse(body);
				if (!parsed.success) {
					return {status: 400, value: {error: {message: 'Send {"release": FINGERPRINT, "author": NAME}.'}}};
				}

				const released = await quarantine?.release(parsed.data) ?? false;
				return released ? {status: 200, value: listQuarantined()} : {status: 404, value: {error: {message: 'Nothing is held against this fingerprint here.'}}};
			},
		},
	];
}

function explain({instance, role, journal}: {instance: string; role: 'entry' | 'side'; journal: DecisionJournal}, request: string): ExplainAnswer {
	return {instance, role, decisions: [...journal.explain(request)].map(decision => ({...decision, detail: {...decision.detail}}))};
}
