import {type EndpointRecord} from '../../routing/index.js';
import {type PartLogger} from '../../telemetry/index.js';
import {type EvidenceVerdict} from './crash-monitor.js';
import {type CrashNews} from './crash-records.js';

/** What is to be stored: a crash that this instance noticed, or that it was none; runs that speak for a request; a crash that it was told of and that nobody is known to have stored. */
export type StoredNews = 'crash' | 'runs' | 'told';

/** What a ledger of crashes needs, and whom it tells. */
export type CrashLedgerOptions = {
	readonly instance: string;
	/** Names of the known instances, with or without this one. */
	readonly instances: () => readonly string[];
	readonly logger: PartLogger;
	/** Whether an incarnation's registration has ended without an announced shutdown. */
	readonly isLost: (record: EndpointRecord) => boolean;
	/** Called with what the other instances need. */
	readonly onNews: (news: CrashNews) => void;
	/** Called when this instance has something to store. */
	readonly onOwnNews: (kind: StoredNews) => void;
	/** Called with what became of the evidence of a crash. */
	readonly onEvidence: (verdict: EvidenceVerdict) => void;
};
