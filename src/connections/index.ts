/** The connections of an HTTP server. */
export {CallerConnections, type CallerConnectionsOptions} from './caller-connections.js';
export {malformedEvent, PipelinedResponse} from './pipelined-response.js';
