/** The journal of decisions with their reasons, and the JSON that the operator's command exchanges with an instance. */
export {
	DecisionJournal, ReasonCode, type Decision, type DecisionDetail,
} from './decision-journal.js';
export {
	explainAnswerSchema, quarantineAnswerSchema, releaseRequestSchema, statusAnswerSchema,
	type ExplainAnswer, type QuarantineAnswer, type ReleaseRequest, type StatusAnswer,
} from './operator-protocol.js';
