import tap from 'tap';
import {updateKnownEra, checkEra, type KnownEra, unknownEra} from '../../src/policy/eras/index.js';

function receive(known: KnownEra, reported: string | undefined): {type: string; known: KnownEra} {
	const check = checkEra(known, reported);
	return {type: check.type, known: updateKnownEra(known, check, reported)};
}

tap.test('the known era only rises, and an invalid value changes nothing', async t => {
	t.match(receive(unknownEra, undefined), {type: 'same', known: {era: 0, isReported: false}}, 'a store that never names an era');
	const {type, known} = receive(unknownEra, '4');
	t.equal(type, 'same', 'the first era that is named is no change');
	t.match(receive(known, '4'), {type: 'same', known});
	t.match(receive(known, '5'), {type: 'risen', known: {era: 5}});
	t.match(receive(known, '3'), {type: 'outdated', known});
	for (const reported of [undefined, '', 'four', '-1', '4.5', '1e3', '99999999999999999']) {
		t.match(receive(known, reported), {type: 'unreadable', known}, String(reported));
	}
});
