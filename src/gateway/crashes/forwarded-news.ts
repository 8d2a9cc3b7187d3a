import {isForwarder, type QuarantineRecord} from '../../policy/quarantine/index.js';
import {type CrashNews} from './crash-records.js';

/** Whether there is nothing to tell. */
export function isEmptyNews({records, pending, runs}: CrashNews): boolean {
	return records.length === 0 && pending.length === 0 && runs.length === 0;
}

/** What an instance forwards of the news that it was told, so that it reaches instances without a link to its writer. */
export function forwardedNews({records, pending, runs}: CrashNews, instance: string, instances: readonly string[]): CrashNews {
	return {
		records: records.filter(record => isForwarder(keyOf(record), instance, instances)),
		pending: pending.filter(({crash}) => isForwarder(crash, instance, instances)),
		runs: runs.filter(({fingerprint}) => isForwarder(fingerprint, instance, instances)),
	};
}

/** Of a crash its incarnation, of anything else the request or part that it speaks of. */
function keyOf(record: QuarantineRecord): string {
	return record.type === 'crashed' ? record.crash : record.fingerprint;
}
