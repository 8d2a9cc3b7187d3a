import tap from 'tap';
import {type Endless, memoryMegabytes, playEndless, signedHead} from './endless-play.js';

/** What a faulty endpoint sends without end, until its connection closes. */
const endless: readonly Endless[] = [
	{name: 'in place of a head', head: () => '', piece: 'x'},
	{name: 'in a header', head: id => `${signedHead(id)}X-Odd: `, piece: 'x'},
	{name: 'in a body', head: id => `${signedHead(id)}\r\n`, piece: 'x'},
	{name: 'in an event', head: id => `${signedHead(id)}\r\nid: 1\ndata: `, piece: 'x'},
	{name: 'in the length of a chunk', head: id => `${signedHead(id)}Transfer-Encoding: chunked\r\n\r\n`, piece: '0'},
];

// Faulty endpoints sent bytes without end; the instance kept them until it ran out of memory, and the requests of all other callers ended with it.
for (const one of endless) {
	tap.test(`endpoints that send bytes ${one.name} without end do not take an instance's memory, and the others' requests are served`, async t => {
		const {endedBy, peakMegabytes, served, failed} = await playEndless(one);
		t.equal(endedBy, '', 'the process has not ended');
		t.ok(peakMegabytes < memoryMegabytes, `${Math.round(peakMegabytes)} MB`);
		t.ok(served > 0 && failed.length === 0, `${served} served, others ${failed.join(', ')}`);
	});
}
