import tap from 'tap';
import {expectedAnswers, type PlannedChange, PlannedPlay, plannedRoutes, plannedServices, routesWith, version} from './planned-play.js';

const limits = {maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000};
const tenants = [{name: 'studio-a', apiKeys: ['key-a']}, {name: 'studio-b', apiKeys: ['key-b']}];

const changes: readonly PlannedChange[] = [
	version('lowers the limit of bodies below what is being read', {limits: {...limits, maxBodyBytes: 100}}, 413),
	version('shortens the limits of headers and of idle connections', {limits: {...limits, headerTimeoutMs: 400, idleTimeoutMs: 300}}),
	version('lowers the room of all services', {services: plannedServices.map(service => ({...service, maxConnections: 1}))}),
	version('raises the room of all services', {services: plannedServices.map(service => ({...service, maxConnections: 10_000}))}),
	version('makes engines of all services', {services: plannedServices.map(service => ({...service, engine: {slots: 1, kvCapacity: 1000, stride: 1}}))}),
	version('revokes the key', {tenants: [{name: 'studio-a', apiKeys: ['key-new']}, tenants[1]]}, 401),
	version('removes the workspace', {tenants: [tenants[1]]}, 401),
	version('makes the routes the least urgent', {routes: routesWith({priority: 9})}),
	version('makes the other workspace the most urgent', {tenants: [{...tenants[0], priority: 9}, {...tenants[1], priority: 0}]}),
];

// A request that was read under one version was cut off, or handled by another one, when the next came into force.
for (const {name, apply, refusal} of changes) {
	tap.test(`a version that ${name} leaves the requests in progress their answers`, async t => {
		await using play = await PlannedPlay.create();
		const requests = await play.begin();
		await apply(play);
		t.same(await play.finish(requests), expectedAnswers(requests, refusal));
		t.same(play.abandoned, [], 'no endpoint is cut off');
		await t.resolves(play.released(), 'nothing is held');
	});
}
