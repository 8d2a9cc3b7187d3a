/** The process beside one endpoint: its queue, its slots, and the only sender to it. */
export {Side, type SideOptions} from './side.js';
export {EndpointWatch, type EndpointObserver} from './endpoint-watch.js';
export {type Backend} from './work.js';
export {SideTelemetry} from './side-telemetry.js';
