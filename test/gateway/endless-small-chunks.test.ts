import tap from 'tap';
import {memoryMegabytes, playEndless, signedHead} from './endless-play.js';

// Each chunk of a byte is an object of Node's before anything of ours sees it: ten thousand of one read, from many connections at the same time.
tap.test('endpoints that send chunks of a byte without end do not take an instance\'s memory, and the others\' requests are served', async t => {
	const {endedBy, peakMegabytes, served, failed} = await playEndless({name: 'in small chunks', head: id => `${signedHead(id)}Transfer-Encoding: chunked\r\n\r\n`, piece: '1\r\nx\r\n'});
	t.equal(endedBy, '', 'the process has not ended');
	t.ok(peakMegabytes < memoryMegabytes, `${Math.round(peakMegabytes)} MB`);
	t.ok(served > 0 && failed.length === 0, `${served} served, others ${failed.join(', ')}`);
});
