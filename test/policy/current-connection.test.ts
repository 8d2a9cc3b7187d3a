import fc from 'fast-check';
import tap from 'tap';
import {chooseConnection, type ConnectionView} from '../../src/policy/membership/index.js';

const phase = fc.constantFrom('serving', 'leaving', 'down', undefined);
const views: fc.Arbitrary<ConnectionView[]> = fc.array(fc.record({phase}), {maxLength: 5});

tap.test('the newest connection that serves gets new requests, or the newest one if none serves', async () => {
	fc.assert(fc.property(views, connections => {
		const chosen = chooseConnection(connections);
		const open = connections.filter(connection => connection.phase === undefined || connection.phase === 'serving');
		return chosen === (open.length > 0 ? open : connections).at(-1);
	}), {seed: 87});
});
