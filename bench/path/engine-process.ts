/** A stand-in engine in a process of its own. The first argument is its costs as JSON. */
import process from 'node:process';
import {type EngineCosts, FakeEngine} from '../../fakes/index.js';

const costs = JSON.parse(process.argv[2] ?? '{}') as Partial<EngineCosts>;
const engine = await FakeEngine.create({models: ['model'], costs});
console.error(JSON.stringify({msg: 'Listening.', address: engine.url}));
await new Promise(resolve => {
	process.once('SIGTERM', resolve);
});
await engine[Symbol.asyncDispose]();
