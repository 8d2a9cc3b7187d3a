import tap from 'tap';
import {updateKnownEra, checkEra, type KnownEra, unknownEra} from '../../src/policy/eras/index.js';

function hear(known: KnownEra, said: string | undefined): {type: string; known: KnownEra} {
	const verdict = checkEra(known, said);
	return {type: verdict.type, known: updateKnownEra(known, verdict, said)};
}

tap.test('an era only rises, and what can\'t be read changes nothing', async t => {
	t.match(hear(unknownEra, undefined), {type: 'same', known: {era: 0, isReported: false}}, 'a store that never says one');
	const {type, known} = hear(unknownEra, '4');
	t.equal(type, 'same', 'the first one that is said is no change');
	t.match(hear(known, '4'), {type: 'same', known});
	t.match(hear(known, '5'), {type: 'risen', known: {era: 5}});
	t.match(hear(known, '3'), {type: 'outdated', known});
	for (const said of [undefined, '', 'four', '-1', '4.5', '1e3', '99999999999999999']) {
		t.match(hear(known, said), {type: 'unreadable', known}, String(said));
	}
});
