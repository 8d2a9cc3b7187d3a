export {
	breakMilliseconds, type CrashEvidence, type CrashSign, type DismissalReason, type EvidenceAction, type EvidenceEvent, isSettled, nextEvidenceAt, noEvidence, silenceMilliseconds, stepEvidence, type UnansweredRequest,
} from './evidence.js';
