/** A stand-in for a model engine, and the expected response to a body. */
export {FakeEngine, type FakeEngineSettings} from './engine.js';
export {defaultCosts, type EngineCosts} from './batch.js';
export type {EngineFaults} from './faults.js';
export {expectedAnswer} from './answer.js';
