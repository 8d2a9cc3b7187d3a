/** The gateway as a program and as a process, which a platform's adapter completes. */
export {type GatewayAdapter, type GatewayStore} from './gateway-adapter.js';
export {GatewayProcess} from './gateway-process.js';
export {runGateway} from './gateway-program.js';
