/** The caller protocol: routes, validated request bodies, and responses and failures in the OpenAI formats. */
export {routeCall, type Route} from './route.js';
export {parseModelCall, type ModelCall, type ModelRoute} from './model-call.js';
export {createMalformedError, readBody} from './body.js';
export {type ResponseWriter} from './response-writer.js';
export {StreamingResponse} from './streaming-response.js';
export {BufferedResponse} from './buffered-response.js';
export {failureBody, failureHeaders, sendFailure} from './failure-response.js';
export {HeaderName} from './headers.js';
export {drainedOrClosed} from './drain.js';
