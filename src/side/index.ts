/** The side (the sidecar process of one endpoint): its queue, its slots, and the only sender of requests to the endpoint. */
export {Side} from './side.js';
export {type SideOptions} from './side-options.js';
export {EndpointWatch, type EndpointObserver} from './endpoint-watch.js';
export {type Backend} from './request-executor-options.js';
export {SideTelemetry} from './side-telemetry.js';
