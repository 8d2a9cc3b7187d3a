/**
 * When requests end that reach their route's timeout, at one gateway that stands still for a part of each period: how many end well before that time, and how
 * many have no end half a second after it, which the users' rules count each.
 */
import {type CommandModule} from 'yargs';
import {quantile} from '../gateway-waits/waits.js';
import {type AnswerKind, earlyMilliseconds, heldMilliseconds, playEnds} from './play.js';

type Settings = {stand: string; callers: number; seconds: number; seed: number; port: number; program?: string; kinds: string};

export const gatewayEndsCommand: CommandModule<unknown, Settings> = {
	command: 'gateway-ends',
	describe: 'Ends of requests beyond their route\'s timeout at a gateway that stands still in periods: too early, too late',
	builder: {
		stand: {type: 'string', default: '0/100,50/100,300/500,525/700,720/1200', describe: 'milliseconds of each period for which the gateway stands still, and the period'},
		kinds: {type: 'string', default: 'begun,none', describe: 'whether answers have begun by then'},
		callers: {type: 'number', default: 120},
		seconds: {type: 'number', default: 15},
		seed: {type: 'number', default: 1},
		port: {type: 'number', default: 24_100, describe: 'the first of four'},
		program: {type: 'string', describe: 'the bundled program of another version, to play in place of this one'},
	},
	async handler({stand, kinds, callers, seconds, seed, port, program}) {
		console.log(`stand/period answer: ends, over ${earlyMilliseconds} ms early, none after ${heldMilliseconds} ms; half, nine tenths, last (ms after the timeout); longest stand: longer than asked for where the bench itself was late`);
		for (const span of stand.split(',')) {
			const [standMilliseconds, periodMilliseconds] = span.split('/').map(Number) as [number, number];
			for (const kind of kinds.split(',') as AnswerKind[]) {
				const {milliseconds, standStillMilliseconds} = await playEnds({kind, standMilliseconds, periodMilliseconds, callers, seconds, seed, firstPort: port, program});
				const shown = [0.5, 0.9, 1].map(share => Math.round(quantile(milliseconds, share)));
				const early = milliseconds.filter(end => end < -earlyMilliseconds).length;
				const held = milliseconds.filter(end => end > heldMilliseconds).length;
				console.log(`${span} ${kind}: ${milliseconds.length}, ${early}, ${held}; ${shown.join(', ')}; longest stand ${Math.round(standStillMilliseconds)}`);
			}
		}
	},
};
