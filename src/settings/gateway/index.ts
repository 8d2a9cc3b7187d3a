/** The settings of the gateway, apart from those of programs with flags: its start reads none of these. */
export {type DutyProgramSettings, type GatewaySettings, parseDutySettings, parseGatewaySettings, readGatewaySettings} from './gateway-settings.js';
export {parseTuning, tuningOf} from './tuning.js';
