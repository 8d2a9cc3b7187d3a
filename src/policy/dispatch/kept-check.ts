/**
 * Load pattern: what engines keep is known only from what was sent to them. Requests of other callers, responses longer
 * than expected and reports that never came displace more than is believed, and then every request that is sent to where
 * its beginning was has it prefilled again, unnoticed.
 *
 * The time to the first event of a prompt that begins at an idle engine shows which one it was. It shows more than that:
 * a busy processor makes any first event late. Parts of requests that run at that moment can't have been evicted; the
 * share of these that look prefilled again is therefore what is late for other reasons, and is taken off.
 */

import {type KeptValue} from './kept-value.js';
import {type Run} from './load-event.js';
import {type EndpointState, type TrackedRun} from './load-state.js';
import {tokensOf} from './prompt-part.js';
import {type PrefillSpeed, prefillMilliseconds} from './speed.js';

/** What was believed of the shared parts of a prompt when it was sent: in use there, cached with a probability, or not cached. */
export type KeptBelief = {readonly type: 'in-use'} | {readonly type: 'cached'; readonly probability: number} | {readonly type: 'gone'};

/** The first event of a prompt that the engine began with at once. */
type FirstEventSample = {
	readonly milliseconds: number;
	/** Predicted time if all shared parts are cached, and prefill of the shared parts. */
	readonly cachedMilliseconds: number;
	readonly sharedMilliseconds: number;
};

/** What one request has shown of the shared parts of its prompt. */
export type KeptFinding = {readonly believed: 'cached' | 'doubtful' | 'gone'; readonly found: 'cached' | 'prefilled'};

/** Shorter prefill of shared parts is not told from the usual differences between first events. */
const leastSharedMilliseconds = 60;
/** A request that is sent at a longer backlog shows nothing of its own prefill. */
const longestBacklogMilliseconds = 5;
/** Factor on the weight of older samples with each new one. */
const retainedWeight = 0.98;
/** Weight of the assumption that beliefs are right, in samples. */
const priorSamples = 10;

type Share = {cached: number; expected: number};

/** How often parts that were believed cached were, over how often that was expected. */
export class KeptCheck {
	static create(): KeptCheck {
		return new KeptCheck();
	}

	readonly #inUse: Share = {cached: 0, expected: 0};
	readonly #believed: Share = {cached: 0, expected: 0};
	/** Factor on the probability that a part is cached, 0 to 1. */
	#factor = 1;

	get factor(): number {
		return this.#factor;
	}

	/** Learns from the first event of a run, if its engine had nothing else to prefill meanwhile. */
	recordFirstEvent({pending, span}: SpanState, {belief, parts, placedAt}: CheckedRun, {speed, now}: {speed: PrefillSpeed; now: number}): void {
		if (belief === undefined || pending.size > 1 || span.prefilledRuns > 0) {
			return;
		}

		const ownTokens = parts.at(-1)?.tokens ?? 0;
		this.#record(belief, {
			milliseconds: now - placedAt,
			cachedMilliseconds: speed.baseMilliseconds + prefillMilliseconds(speed, ownTokens),
			sharedMilliseconds: prefillMilliseconds(speed, tokensOf(parts) - ownTokens),
		});
	}

	#record(belief: KeptBelief, sample: FirstEventSample): void {
		if (sample.sharedMilliseconds < leastSharedMilliseconds) {
			return;
		}

		const wasCached = looksCached(sample);
		switch (belief.type) {
			case 'in-use': {
				addSample(this.#inUse, {wasCached, expected: 1});
				break;
			}

			case 'cached': {
				addSample(this.#believed, {wasCached, expected: belief.probability});
				break;
			}

			case 'gone': {
				return;
			}
		}

		const punctualShare = (this.#inUse.cached + priorSamples) / (this.#inUse.expected + priorSamples);
		this.#factor = Math.min(1, ((this.#believed.cached / punctualShare) + priorSamples) / (this.#believed.expected + priorSamples));
	}
}

/** What is believed of the shared parts of a run that is placed now, if its first event can show whether that is right. */
export function beliefOf({cache, pending}: EndpointState, {parts, prefillTokens}: Run): KeptBelief | undefined {
	return cache.followsMemory && pending.size === 0 && Math.abs(cache.uncachedTokens(parts) - prefillTokens) <= 1 ? cache.belief(parts) : undefined;
}

/** What tells whether an engine had other prompts to prefill, and what was believed of the one that it had. */
type SpanState = Pick<EndpointState, 'pending'> & {readonly span: Pick<EndpointState['span'], 'prefilledRuns'>};
type CheckedRun = Pick<TrackedRun, 'belief' | 'parts' | 'placedAt'>;

/** What the first event of a request shows of the belief by which it was placed; undefined if nothing. */
export function findKept({probability, sharedMilliseconds, waitMilliseconds, fetchMilliseconds}: KeptValue, {expectedMilliseconds, firstEventMilliseconds}: {
	expectedMilliseconds: number; firstEventMilliseconds: number;
}): KeptFinding | undefined {
	if (sharedMilliseconds < leastSharedMilliseconds || waitMilliseconds > longestBacklogMilliseconds || fetchMilliseconds > 0) {
		return undefined;
	}

	const cachedMilliseconds = expectedMilliseconds - (sharedMilliseconds * (1 - probability));
	return {
		believed: probability >= 1 ? 'cached' : (probability > 0 ? 'doubtful' : 'gone'),
		found: looksCached({milliseconds: firstEventMilliseconds, cachedMilliseconds, sharedMilliseconds}) ? 'cached' : 'prefilled',
	};
}

/** Whether a first event came so early that the shared parts were cached: nearer to the time without their prefill than to the time with it. */
function looksCached({milliseconds, cachedMilliseconds, sharedMilliseconds}: FirstEventSample): boolean {
	return milliseconds < cachedMilliseconds + (sharedMilliseconds / 2);
}

function addSample(share: Share, {wasCached, expected}: {wasCached: boolean; expected: number}): void {
	share.cached = (share.cached * retainedWeight) + (wasCached ? 1 : 0);
	share.expected = (share.expected * retainedWeight) + expected;
}
