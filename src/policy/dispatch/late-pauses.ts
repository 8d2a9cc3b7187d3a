/**
 * Load pattern: few engines that are alike, with little traffic. Which prompts an engine happens to read makes it look faster or slower than others for
 * seconds, and streams that follow such speeds leave engines where they were in time. Speeds matter only where streams are late by the
 * engines' pauses; elsewhere nothing is to be gained by them.
 *
 * The share of latency-critical streams with a pause beyond their limit is smoothed over the last ones. Once it is high, speeds are needed
 * for as long as the engines of the service are uneven: streams are in time again because of them.
 */

/** Share of late streams from which on speeds are needed. */
const neededShare = 0.15;
/** Weight of one stream: some ten decide, which an instance has within seconds. */
const streamWeight = 0.1;

/** What one service's streams have shown. */
type ServicePauses = {readonly lateShare: number; readonly isNeeded: boolean};

/** Before any stream has ended, little speaks for either: a late one among the first shows more than one among many in time. */
const noPauses: ServicePauses = {lateShare: 0.1, isNeeded: false};

/** Whether the speeds of engines are needed, by service. */
export class LatePauses {
	static create(): LatePauses {
		return new LatePauses();
	}

	readonly #services = new Map<string, ServicePauses>();

	/** Records a stream that has ended; a pause for which this instance itself was late shows nothing of an engine. */
	record(service: string, {pauseMilliseconds, lagMilliseconds, maxPauseMilliseconds}: {pauseMilliseconds: number; lagMilliseconds: number; maxPauseMilliseconds: number}): void {
		const before = this.#services.get(service) ?? noPauses;
		const isLate = pauseMilliseconds - lagMilliseconds > maxPauseMilliseconds;
		const lateShare = before.lateShare + (((isLate ? 1 : 0) - before.lateShare) * streamWeight);
		this.#services.set(service, {lateShare, isNeeded: before.isNeeded || lateShare >= neededShare});
	}

	isNeeded(service: string): boolean {
		return this.#services.get(service)?.isNeeded ?? false;
	}

	/** The engines of the service are alike, as far as is known: whether speeds are needed is open again. */
	reset(service: string): void {
		const before = this.#services.get(service);
		if (before?.isNeeded === true) {
			this.#services.set(service, {...before, isNeeded: before.lateShare >= neededShare});
		}
	}
}
