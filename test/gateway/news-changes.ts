/** News of endpoints, of what they may be used for, and of what runs there. None of it is a reason to end a request in progress. */
import {plannedServices, routesWith} from './planned-play.js';
import {type NewsPlay, sleep} from './news-play.js';
import {eventually} from './testbed.js';

export type News = {readonly name: string; readonly apply: (play: NewsPlay) => Promise<void>};

const pruneLaterMilliseconds = 200_000;
const stormMilliseconds = 50;
const othersCount = 80;
const otherService = routesWith({timeoutMs: 20_000, service: 'other'});

/** Waits until the gateway takes the endpoints for ended. */
async function whenEnded({gateway, workers}: NewsPlay): Promise<void> {
	await eventually(() => workers.every(({id}) => gateway.routingState.directory.entries.get(id)?.endedAt !== undefined));
}

/** Sends so many requests at a time that each endpoint gets one. */
async function sendOthers({testbed}: NewsPlay): Promise<void> {
	await Promise.all(Array.from({length: othersCount}, async (_, number) => testbed.send({path: number % 2 === 0 ? '/lookup/3' : '/chart/3', method: 'POST', id: `later-${number}`, body: `more ${number}`})));
}

export const leavingNews: readonly News[] = [
	{
		async apply(play) {
			play.tell('peer', {isLeaving: true});
			play.tell('store', {isLeaving: true}, 'removed');
			await whenEnded(play);
		}, name: 'a peer, and then the store, tells that the endpoints leave',
	},
	{
		async apply(play) {
			play.tell('store', 'removed');
			play.tell('peer', {isLeaving: true}, 'removed');
			await whenEnded(play);
		}, name: 'the store, and then a peer, tells that the endpoints have left',
	},
	{
		async apply(play) {
			play.tell('peer', 'removed', {}, 'removed', {});
			play.tell('store', {}, 'removed');
			await whenEnded(play);
		}, name: 'the endpoints are told as removed and registered in turns',
	},
	{
		async apply(play) {
			play.gateway.routingState.applyEndpointSnapshot(play.othersRegistered, play.era, performance.now());
			await whenEnded(play);
		}, name: 'a snapshot of the store lacks the endpoints',
	},
	{
		async apply({gateway: {routingState}, era}) {
			routingState.applyEndpointSnapshot([], era + 1, performance.now());
			routingState.applyEndpointSnapshot([], era + 1, performance.now());
		}, name: 'a restored store lacks the endpoints',
	},
	{
		async apply(play) {
			for (const worker of play.workers) {
				worker.statements = {'Server-Leaving': '1'};
			}

			await sendOthers(play);
			await whenEnded(play);
		}, name: 'the endpoints state in other responses that they leave',
	},
	{
		async apply(play) {
			play.tell('store', 'removed');
			await whenEnded(play);
			play.gateway.routingState.prune(performance.now() + pruneLaterMilliseconds);
			await sleep(stormMilliseconds);
			await play.register({});
		}, name: 'the endpoints are forgotten and come back',
	},
	{
		async apply(play) {
			play.tell('store', 'removed');
			await whenEnded(play);
			const {routingState} = play.gateway;
			const taken = play.workers.map(({id}, index) => ({...routingState.directory.entries.get(id)!.record, id: `taken-${index}`, service: index === 0 ? 'other' : 'models', revision: 1}));
			routingState.applyEndpointChanges(taken.map(record => ({type: 'registered', era: play.era, offset: 2_000_000, record})), 'store', performance.now());
		}, name: 'the addresses are assigned to other ids, of this and of other services',
	},
	{
		async apply(play) {
			play.tell('store', {address: '127.0.0.1:9'});
		}, name: 'the endpoints are registered at another address',
	},
	{
		async apply(play) {
			play.tell('store', {service: 'other'});
		}, name: 'the endpoints are registered for another service',
	},
	{
		async apply(play) {
			play.tell('store', {build: 'v9'});
		}, name: 'the endpoints are registered with another build',
	},
];

export const otherNews: readonly News[] = [
	{
		async apply(play) {
			await play.register({slots: 1});
			await play.publish({services: plannedServices.map(service => ({...service, maxConnections: 1, engine: {slots: 1, kvCapacity: 10, stride: 1}}))});
		}, name: 'slots, connections and memory shrink below what is in use',
	},
	{
		async apply(play) {
			for (const worker of play.workers) {
				worker.statements = {'Server-Limit': '0.01'};
			}

			await sendOthers(play);
		}, name: 'the endpoints state limits in other responses',
	},
	{
		async apply(play) {
			await Promise.all(Array.from({length: 4}, async (_, number) => play.testbed.send({path: `/release/${number}`, method: 'POST', id: `broken-${number}`, body: 'other'})));
			await eventually(() => play.testbed.logLines.some(({msg}) => String(msg).includes('Endpoint suspended.')));
		}, name: 'an endpoint is suspended as unreachable',
	},
	{
		async apply(play) {
			for (let number = 0; number < 6; number++) {
				const more = number % 2 === 0 ? {routes: [], services: [], tenants: []} : {routes: otherService};
				await play.publish(more);
				await sleep(stormMilliseconds);
			}
		}, name: 'versions in a storm drop the routes, their services and the keys, and move the routes',
	},
	{
		async apply(play) {
			await play.publish({
				routes: routesWith({timeoutMs: 400, gapAimMs: 10, targetLatencyMs: 10, maxAttempts: 1, kind: 'unsafe', resumable: false}),
				limits: {maxHeaderBytes: 16_384, maxBodyBytes: 1, headerTimeoutMs: 100, idleTimeoutMs: 100},
			});
		}, name: 'a version tightens every limit',
	},
	{
		async apply(play) {
			play.testbed.store.fault = () => 'silent';
			await sleep(stormMilliseconds);
		}, name: 'the store is silent',
	},
	{
		async apply(play) {
			play.testbed.store.fault = () => 'reset';
			await sleep(stormMilliseconds);
		}, name: 'the store is out of reach',
	},
];
