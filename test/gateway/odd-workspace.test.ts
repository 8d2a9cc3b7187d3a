import tap from 'tap';
import {desiredState} from '../../fakes/platform-state.js';
import {eventually, Testbed} from './testbed.js';

/** Names that cannot stand in a header, in which endpoints are told the workspace. */
const oddNames: ReadonlyArray<{readonly name: string; readonly workspace: string}> = [
	{name: 'a line break', workspace: 'studio\r\nTenant: studio-b'},
	{name: 'a zero byte', workspace: 'studio\0'},
	{name: 'an unpaired surrogate', workspace: 'studio\u{D800}'},
];

function stateWith(version: number, workspace: string): Record<string, unknown> {
	return desiredState(version, {tenants: [{name: 'studio-b', apiKeys: ['key-b']}, {name: workspace, apiKeys: ['key-odd']}]});
}

// One such name had the whole version refused: keys that it revoked still worked, those that it added did not, and instances that started were never ready.
for (const {name, workspace} of oddNames) {
	tap.test(`a version in which the name of one workspace has ${name} is in force for all others`, async t => {
		await using testbed = await Testbed.create();
		const gateway = await testbed.startGateway();
		testbed.store.put('keyed.op', 'config', stateWith(2, workspace));
		await eventually(() => gateway.routingState.table?.version === 2);
		t.equal(await testbed.statusOf({key: 'key-a'}), 401, 'a revoked key');
		t.equal(await testbed.statusOf({key: 'key-b'}), 200);
		t.equal(await testbed.statusOf({key: 'key-odd', id: 'odd'}), 401, 'its endpoint could not be told whose request it is');
		t.equal(testbed.attemptCount('odd'), 0);
		t.ok(testbed.logLines.some(({msg}) => String(msg).includes('left out')));
		const late = await testbed.startGateway({instance: 'late'});
		t.equal(await testbed.statusOf({key: 'key-b'}, late), 200, 'so does one that starts now');
	});
}
