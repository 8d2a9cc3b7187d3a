import {EngineClass, type EnginePaces} from '../../policy/dispatch/index.js';
import {type Metrics} from '../../telemetry/index.js';

/** Adds the metrics of uneven engines; the result is called to update them. */
export function observePaces(metrics: Metrics, paces: EnginePaces): () => void {
	const engines = metrics.gauge('gateway_engines_by_class', 'Known engines of services whose engines are uneven, by class of speed.', ['class']);
	const speeds = metrics.gauge('gateway_engine_relative_speed', 'Average speed of these engines as a multiple of their service\'s, by class and phase.', ['class', 'phase']);
	return () => {
		for (const engineClass of Object.values(EngineClass)) {
			const {engines: count, reading, steps} = paces.summaryOf(engineClass);
			engines.set(count, {class: engineClass});
			speeds.set(reading, {class: engineClass, phase: 'reading'});
			speeds.set(steps, {class: engineClass, phase: 'steps'});
		}
	};
}
