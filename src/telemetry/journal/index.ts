/** The journal of decisions with their reasons, and the admin routes that the operator's command uses. */
export {
	DecisionJournal, ReasonCode, type Decision, type DecisionDetail,
} from './decision-journal.js';
export {
	explainAnswerSchema, quarantineAnswerSchema, releaseRequestSchema, statusAnswerSchema,
	type ExplainAnswer, type QuarantineAnswer, type ReleaseRequest, type StatusAnswer,
} from './operator-protocol.js';
export {createOperatorRoutes, type OperatorRoutesOptions} from './operator-routes.js';
