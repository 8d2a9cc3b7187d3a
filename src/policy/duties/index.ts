/** Duties of which one instance at a time takes care: who holds them, what is reported, and when. Pure: no clock, network or timer. */
export {claimDelay} from './claim-delay.js';
export {createTimeEstimate, advanceTime, correctTime, estimatedTime, type ClockReadings, type TimeEstimate} from './clock.js';
export {missingContributors, type Contributor} from './contributors.js';
export {applyDutyEvent, medianAhead, ReportOutcome, type DutyEvent} from './events.js';
export {parseDutyLog, type DutyEntry, type DutyLog, type DutySnapshot, type Holder} from './records.js';
export {nextReportStep, mayAct, type ReportStep} from './report-step.js';
export {type Candidate, type DutyClock, type DutySettings} from './settings.js';
export {createDutyState, knownHolder, type DutyState} from './state.js';
export {AppendPurpose, nextStoreStep, type StoreStep} from './store-step.js';
export {totalOf, windowAt, windowEnd, type UsageCounts, type UsageRow} from './usage.js';
