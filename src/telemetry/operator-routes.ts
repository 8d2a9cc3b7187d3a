import {type AdminRoute} from './admin-server.js';
import {
	releaseRequestSchema, type DecisionJournal, type ExplainAnswer, type QuarantineAnswer, type ReleaseRequest, type StatusAnswer,
} from './journal/index.js';

export type OperatorRoutesOptions = {
	readonly instance: string;
	readonly role: 'entry' | 'side';
	readonly journal: DecisionJournal;
	/** Absent in a process that has no quarantine; it then lists no fingerprints and releases none. */
	readonly quarantine?: {
		list(): QuarantineAnswer['quarantined'];
		/** Resolves once the release has been published to all instances; resolves to false if the fingerprint is not quarantined. */
		release(request: ReleaseRequest): Promise<boolean>;
	};
	status(): Omit<StatusAnswer, 'instance' | 'role'>;
};

/** Creates the admin routes that the operator's command calls. */
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
				return released ? {status: 200, value: listQuarantined()} : {status: 404, value: {error: {message: 'This fingerprint is not quarantined here.'}}};
			},
		},
	];
}

function explain({instance, role, journal}: {instance: string; role: 'entry' | 'side'; journal: DecisionJournal}, request: string): ExplainAnswer {
	return {instance, role, decisions: [...journal.explain(request)].map(decision => ({...decision, detail: {...decision.detail}}))};
}
