/** The caller protocol: routes, checked bodies, and answers and failures in the OpenAI shapes. */
export {routeCall, type Route} from './route.js';
export {parseModelCall, type ModelCall, type ModelRoute} from './model-call.js';
export {readBody} from './body.js';
export {type Answer} from './answer.js';
export {StreamAnswer} from './stream-answer.js';
export {WholeAnswer} from './whole-answer.js';
export {failureBody, failureHeaders, sendFailure} from './failure-response.js';
export {HeaderName} from './headers.js';
export {drainedOrClosed} from './drain.js';
