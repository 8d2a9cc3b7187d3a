import tap from 'tap';
import {FakeMembers, FakeWeights} from '../../fakes/index.js';
import {HttpMembershipClient, HttpWeightStoreClient, PlatformError, type Member} from '../../src/platform/index.js';

const timeoutMilliseconds = 2000;
const side: Member = {instance: 's1', role: 'side', address: '127.0.0.1:1', zone: 'a', state: 'live', endpoint: 'e1', targets: ['model']};

tap.test('the list shows the members, or an outdated or wrong list if the fake is set so', async t => {
	await using members = await FakeMembers.create();
	await using client = HttpMembershipClient.create({baseUrl: members.url, timeoutMilliseconds});
	members.set(side);
	t.same(await client.list(), [side]);
	members.faults.lagMilliseconds = 60_000;
	t.same(await client.list(), [], 'a minute behind');
	members.faults.lagMilliseconds = 0;
	members.faults.hidden = ['s1'];
	members.faults.phantoms = [{...side, instance: 'ghost'}];
	const wrong = await client.list();
	t.same(wrong.map(member => member.instance), ['ghost']);
	members.faults.mode = 'error';
	await t.rejects(client.list(), PlatformError);
});

tap.test('members are registered and removed over HTTP', async t => {
	await using members = await FakeMembers.create();
	await using client = HttpMembershipClient.create({baseUrl: members.url, timeoutMilliseconds});
	await fetch(`${members.url}/members/s1`, {method: 'PUT', body: JSON.stringify({...side, state: 'leaving'})});
	t.match(await client.list(), [{instance: 's1', state: 'leaving'}]);
	await fetch(`${members.url}/members/s1`, {method: 'DELETE'});
	t.same(await client.list(), []);
});

tap.test('an unchanged list is not sent again, and a change is returned by the next read', async t => {
	await using members = await FakeMembers.create();
	await using client = HttpMembershipClient.create({baseUrl: members.url, timeoutMilliseconds: 1000});
	const side = {instance: 'side-1', role: 'side', address: '127.0.0.1:1', zone: 'a', state: 'live'} as const;
	members.set(side);
	const first = await client.list();
	t.equal(await client.list(), first, 'the cached list');
	members.set({...side, state: 'leaving'});
	t.match(await client.list(), [{state: 'leaving'}]);
});

tap.test('a fetch over the weight store\'s rate limit fails with the time until a retry', async t => {
	await using weights = await FakeWeights.create({faults: {fetchesAtOnce: 1, fetchMilliseconds: 200, retryAfterSeconds: 3}});
	await using client = HttpWeightStoreClient.create({baseUrl: weights.url, timeoutMilliseconds, endpoint: 'e1'});
	const outcomes = await Promise.allSettled([client.fetch('model', '1'), client.fetch('model', '2')]);
	const refused = outcomes.find(outcome => outcome.status === 'rejected');
	t.match(refused?.reason, {failure: {type: 'status', status: 429, retryAfterMilliseconds: 3000}});
	t.equal(weights.fetched.length, 1);
});
