/**
 * Load pattern: engines of one service that are not of one make. If all are taken to be equally fast, slow ones get as many prompts as
 * the others: their backlogs are longer than believed, and every prompt that is sent there is late, while fast engines idle.
 *
 * The speed of an engine is that of its service times a factor: the time that its spans of continuous prefill should have taken by the
 * service's speed, over the time that they took. Few samples leave it near 1.
 */
import {type PrefillSpan, type PrefillSpeed, predictedSpanMilliseconds} from './speed.js';

/** Sums over the spans of one engine, in which older ones count ever less. */
export type EngineSpeed = {readonly predictedMilliseconds: number; readonly takenMilliseconds: number};

/** Weight of the assumption that an engine is as fast as its service, as if it had been seen for this long. */
const priorMilliseconds = 800;
/** Factor on the weight of older spans with each new one. */
const retainedWeight = 0.97;
/** Engines of one service differ by less than this. */
const factorBounds = {low: 0.4, high: 2.5};

export function createEngineSpeed(): EngineSpeed {
	return {predictedMilliseconds: 0, takenMilliseconds: 0};
}

/** Learns from one span. */
export function learnEngineSpeed(engine: EngineSpeed, service: PrefillSpeed, span: PrefillSpan): EngineSpeed {
	return {
		predictedMilliseconds: (engine.predictedMilliseconds * retainedWeight) + predictedSpanMilliseconds(service, span),
		takenMilliseconds: (engine.takenMilliseconds * retainedWeight) + span.milliseconds,
	};
}

/** The engine's speed as a multiple of its service's. */
export function speedFactor({predictedMilliseconds, takenMilliseconds}: EngineSpeed): number {
	const factor = (priorMilliseconds + predictedMilliseconds) / (priorMilliseconds + takenMilliseconds);
	return Math.min(factorBounds.high, Math.max(factorBounds.low, factor));
}
