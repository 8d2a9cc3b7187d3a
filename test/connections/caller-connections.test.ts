import tap from 'tap';
import {runCallers} from './caller-thread.js';
import {answer, requestOf, ServerBed} from './server-bed.js';

const workMilliseconds = 400;
const laterMilliseconds = 100;

// Headers that came too late behind a running request get 408; the rest of them was read all the same, and the request was served before the 408.
tap.test('a request whose headers came too late behind a running one is not served when they do come', async t => {
	await using bed = await ServerBed.create({headersMilliseconds: laterMilliseconds, serve(request, response) {
		setTimeout(answer, request.url === '/first' ? 2 * workMilliseconds : 0, request, response);
	}});
	const [result] = await runCallers(bed.port, [{
		writes: [{atMilliseconds: 0, text: `${requestOf('/first')}GET /late HTTP/1.1\r\n`}, {atMilliseconds: workMilliseconds, text: 'Host: studio.example\r\n\r\n'}],
	}]);
	t.same(bed.served, ['/first']);
	t.match(result!.text, /^HTTP\/1\.1 200 [\s\S]*answer to \/firstHTTP\/1\.1 408 /v);
});
