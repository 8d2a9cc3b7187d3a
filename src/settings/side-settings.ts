import {z} from 'zod';
import {defineSettings, type SettingsOf} from './definition/index.js';
import {ipNumber, nameList, port, serviceUrl, settingName} from './schemas.js';
import {checkTransport, platformSettings, processSettings, transportSettings} from './shared-settings.js';

/** Settings of `cassiaflow-side`. */
export const sideSettings = defineSettings({
	program: 'cassiaflow-side',
	summary: 'Stands beside one endpoint, queues its requests and is the only one to send to it.',
	settings: {
		listenHost: {schema: ipNumber.default('127.0.0.1'), description: 'IP number to take entries\' connections on.'},
		listenPort: {schema: port.default(0), description: 'Port for the same; 0 takes any free one.'},
		endpoint: {schema: settingName, description: 'Name of the endpoint, unique in the fleet.'},
		endpointUrl: {schema: serviceUrl, description: 'Address of the endpoint.'},
		endpointKind: {schema: z.enum(['engine', 'service'], 'engine or service is needed').default('engine'), description: 'What the endpoint is: engine (model engine) or service (plain service).'},
		targets: {schema: nameList, description: 'Models or services that the endpoint serves, with commas between them.'},
		fencing: {schema: z.enum(['checks', 'ignores'], 'checks or ignores is needed').default('ignores'), description: 'Whether the endpoint checks fencing numbers of orders: checks or ignores.'},
		...processSettings,
		...platformSettings,
		weightsUrl: {schema: serviceUrl.optional(), description: 'Address of the platform\'s weight store.'},
		...transportSettings,
	},
	check: checkTransport,
});
export type SideSettings = SettingsOf<typeof sideSettings.settings>;
