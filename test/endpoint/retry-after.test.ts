import tap from 'tap';
import {readRetryAfter} from '../../src/endpoint/index.js';

tap.test('the time that a response asks to wait is read in seconds or as a date of the sender', async t => {
	const date = 'Thu, 03 Dec 2026 12:00:00 GMT';
	const read = (text: string | undefined) => readRetryAfter({'retry-after': text, date});
	t.equal(read('2.5'), 2500);
	t.equal(read('0'), 0);
	t.equal(read('Thu, 03 Dec 2026 12:00:03 GMT'), 3000);
	t.equal(read('Thu, 03 Dec 2026 11:00:00 GMT'), 0, 'a date that is past');
	for (const malformed of [undefined, '', ' ', '-1', 'Infinity', 'soon']) {
		t.equal(read(malformed), undefined, String(malformed));
	}

	t.equal(readRetryAfter({'retry-after': 'Thu, 03 Dec 2026 12:00:03 GMT'}), undefined, 'a date without that of the response');
});
