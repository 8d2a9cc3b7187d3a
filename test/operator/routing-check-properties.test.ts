import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import fc from 'fast-check';
import tap from 'tap';
import {splitAddress} from '../../src/model/index.js';
import {checkTable, compareTables, type Target} from '../../src/operator/index.js';
import {chooseService, type Route, RoutingTable, type RoutingTableInput} from '../../src/routing/index.js';
import {Testbed} from '../gateway/testbed.js';
import {routeOf, serviceOf, tableOf, workspaceOf} from './routing-tables.js';

/** A request as far as routes are found by it. */
type Request = {readonly host: string; readonly path: string};

const hosts = ['a.example', 'b.example', 'a.example:80', 'A.example', 'a b', '*.example', '[::1]', '[::1]:80', '', 'a/b'];
const prefixes = ['', '/', '/x', '/x/', '/x/y', '/x/y/', '/x/yy/', 'x/', '/x?y/', '/x/ /', '/*/', '/\u{E9}/', '/a#b/', '/X/'];
const services = ['s', 't', 'u'];
const weight = fc.constantFrom(0, 1, 3);
const share = fc.record({service: fc.constantFrom(...services), weight});
const route = fc.record({host: fc.constantFrom(...hosts), pathPrefix: fc.constantFrom(...prefixes), shares: fc.array(share, {maxLength: 3}), isPublic: fc.boolean()}).map(more => routeOf(more));
const routes = fc.array(route, {maxLength: 8}).map(list => list.map((one, index) => ({...one, name: `r${index}`})));
const keys = fc.option(fc.array(fc.subarray(['k', 'l', 'm']), {maxLength: 3}), {nil: undefined});
const table = fc.record({routes, keys}).map(({keys: lists, ...more}): RoutingTableInput => tableOf({
	...more, services: services.map(name => serviceOf({name})), workspaces: lists?.map((list, index) => workspaceOf(`w${index}`, ...list)),
}));
const request: fc.Arbitrary<Request> = fc.record({
	host: fc.oneof(fc.constantFrom(...hosts), fc.domain()),
	path: fc.oneof(fc.constantFrom(...prefixes), fc.tuple(fc.constantFrom(...prefixes), fc.constantFrom('', '/', 'y', 'y/', '*', '%20')).map(parts => parts.join('')), fc.webPath()),
}).filter(one => isRequest(one));

/** Whether a caller can send such a request: its Host header is of a URL, and Node's parser lets its path pass. */
function isRequest({host, path}: Request): boolean {
	const isHost = host === '' || (URL.canParse(`http://${host}/`) && !/[\s\/]/v.test(host));
	return isHost && (path === '' || /^\/[\u0021-\u003E\u0040-\u007E]*$/v.test(path));
}

/** Requests at and around what a route names. */
function requestsAround({host, pathPrefix}: Route): readonly Request[] {
	return [host, `${host}:8080`].flatMap(one => ['', '/', 'z', '/z', '%20/'].map(end => ({host: one, path: `${pathPrefix}${end}`}))).filter(one => isRequest(one));
}

function deadRoutes(input: RoutingTableInput): ReadonlySet<string> {
	return new Set(checkTable(input).flatMap(finding => finding.type === 'never-matches' ? [finding.route] : []));
}

// Guards against a warning for which an operator deletes a route that is in use.
tap.test('no route reported as never matching is matched by a request', async t => {
	fc.assert(fc.property(table, fc.array(request, {maxLength: 30}), (input, requests) => {
		const dead = deadRoutes(input);
		const inForce = RoutingTable.create(input);
		const all = [...requests, ...input.routes.flatMap(one => requestsAround(one))];
		return all.every(({host, path}) => !dead.has(inForce.findRoute(host, path)?.name ?? ''));
	}), {seed: 11, numRuns: 1000});
	t.pass();
});

// Guards against a route that is never used and not reported.
tap.test('each route that no request at or around it matches is reported', async t => {
	fc.assert(fc.property(table, input => {
		const dead = deadRoutes(input);
		const inForce = RoutingTable.create(input);
		return input.routes.every(one => dead.has(one.name) !== requestsAround(one).some(({host, path}) => inForce.findRoute(host, path)?.name === one.name));
	}), {seed: 12, numRuns: 1000});
	t.pass();
});

// Guards against a movement of requests that the comparison does not tell, and against one that is none.
tap.test('the comparison names exactly the requests that go elsewhere', async t => {
	fc.assert(fc.property(table, table, (before, after) => {
		const {movements} = compareTables(before, after);
		const tables = [RoutingTable.create(before), RoutingTable.create(after)] as const;
		const all = [...before.routes, ...after.routes].flatMap(one => requestsAround(one));
		return all.every(({host, path}) => {
			const [earlier, later] = tables.map(one => sampleTarget(one, {host, path}));
			const region = movements.filter(one => one.host === host.replace(/:\d+$/v, '').toLowerCase() && path.startsWith(one.pathPrefix));
			const prefix = longestPrefix([...before.routes, ...after.routes], {host, path});
			return region.some(one => one.pathPrefix === prefix) === (earlier !== later);
		});
	}), {seed: 13, numRuns: 1000});
	t.pass();
});

tap.test('a table compared with itself has no differences, whatever the order of its entries', async t => {
	fc.assert(fc.property(table, input => {
		const {entries, movements, keys: movedKeys} = compareTables(input, {...input, services: input.services.toReversed()});
		return entries.length + movements.length + movedKeys.length === 0;
	}), {seed: 14, numRuns: 300});
	t.pass();
});

/** What becomes of many requests that differ in their ids only. */
function sampleTarget(inForce: RoutingTable, {host, path}: Request): string {
	const found = inForce.findRoute(host, path);
	if (found === undefined || found.shares.length === 0) {
		return 'nowhere';
	}

	const draws = Array.from({length: 840}, (_, index) => chooseService(found, (index + 0.5) / 840));
	return JSON.stringify([inForce.access(found, undefined).type, services.map(service => draws.filter(draw => draw === service).length)]);
}

function longestPrefix(all: readonly Route[], {host, path}: Request): string | undefined {
	const name = host.replace(/:\d+$/v, '').toLowerCase();
	const matching = all.filter(one => one.host === name && path.startsWith(one.pathPrefix)).toSorted((left, right) => right.pathPrefix.length - left.pathPrefix.length);
	return matching[0]?.pathPrefix;
}

// The characters that a check takes for impossible are those that a gateway refuses, on any processor, and the mark of the query. What Node's parser
// lets pass differs between processors.
tap.test('a prefix is reported for a character if and only if no path that a gateway takes has it', async t => {
	await using testbed = await Testbed.create({services: []});
	testbed.store.put('keyed.servers', 'other', {service: 'other', address: '127.0.0.1:1', zone: 'zone-a', slots: 1, state: 'ready', seq: 1});
	const {gateway} = await testbed.startGateway();
	const paths: string[] = [];
	for (let code = 1; code <= 255; code++) {
		if (await isTaken(splitAddress(gateway.address).port, Buffer.from([0x2F, code, 0x2F]))) {
			paths.push(`/${String.fromCodePoint(code)}/`.split('?', 1)[0]!);
		}
	}

	for (let code = 1; code <= 255; code++) {
		const pathPrefix = `/${String.fromCodePoint(code)}/`;
		const isDead = checkTable(tableOf({routes: [routeOf({pathPrefix})]})).some(({type}) => type === 'never-matches');
		t.equal(isDead, !paths.includes(pathPrefix), `character ${code}`);
	}
});

/** Whether a gateway looks for the route of a path; there is none, so that it answers 404 then. */
async function isTaken(port: number, path: Uint8Array): Promise<boolean> {
	const socket = connect(port, '127.0.0.1');
	let answer = '';
	socket.on('error', () => undefined);
	socket.on('data', (bytes: Uint8Array) => {
		answer += String(bytes);
	});
	socket.write(Buffer.concat([Buffer.from('GET '), path, Buffer.from(' HTTP/1.1\r\nHost: x\r\nRequest-Id: p\r\nConnection: close\r\n\r\n')]));
	await once(socket, 'close');
	return answer.startsWith('HTTP/1.1 404 ');
}

const target = (service: string, more: Partial<Extract<Target, {type: 'services'}>> = {}): Target => ({
	type: 'services', route: 'r', destinations: [{service, share: 1}], opensTo: 'everyone', ...more,
});

tap.test('a comparison tells entries with their values, requests and keys', async t => {
	const before = tableOf({routes: [routeOf(), routeOf({name: 'gone', pathPrefix: '/gone/'})], workspaces: [workspaceOf('v', 'k', 'l'), workspaceOf('w', 'm')]});
	const after = tableOf({
		routes: [routeOf({timeoutMilliseconds: 2000, shares: [{service: 's', weight: 3}, {service: 't', weight: 1}]}), routeOf({name: 'new', pathPrefix: '/x/new/', isPublic: true})],
		services: [serviceOf({scale: {leastEndpoints: 1, mostEndpoints: 2, bootMilliseconds: 5}}), serviceOf({name: 't'})],
		workspaces: [workspaceOf('v', 'k'), workspaceOf('w', 'm', 'l')],
	});
	const difference = compareTables(before, after);
	t.same(difference.entries.map(({type, kind, name}) => `${type} ${kind} ${name}`), [
		'removed route gone', 'changed route r', 'added route new', 'changed service s', 'added service t', 'changed workspace v', 'changed workspace w',
	]);
	t.match(difference.entries.find(({name}) => name === 'r'), {fields: [{field: 'shares'}, {field: 'timeoutMilliseconds', before: 1000, after: 2000}]});
	t.same(difference.movements, [
		{host: 'a.example', pathPrefix: '/gone/', before: target('s', {route: 'gone', opensTo: 'keys'}), after: {type: 'nowhere'}},
		{host: 'a.example', pathPrefix: '/x/', before: target('s', {opensTo: 'keys'}), after: target('s', {opensTo: 'keys', destinations: [{service: 's', share: 0.75}, {service: 't', share: 0.25}]})},
		{host: 'a.example', pathPrefix: '/x/new/', before: target('s', {opensTo: 'keys'}), after: target('s', {route: 'new'})},
	]);
	t.match(difference.keys, [{before: 'v', after: 'w'}]);
	t.notMatch(JSON.stringify(difference), /"[klm]"/v, 'no key is told');
});
