/** Processes and channels: typed js-csp with supervision and bounded buffers. */
export {spawn, type Body, type OnFailure} from './process.js';
export {
	channel, deliver, receive, receiveWithin, send, sleep, tryDeliver, tryReceive, wait, type Selected,
} from './operations.js';
export type {Channel} from 'js-csp';
export {Alarm, type AlarmEvent} from './alarm.js';
export {Timeout} from './timeout.js';
export {passTurn} from './pass-turn.js';
