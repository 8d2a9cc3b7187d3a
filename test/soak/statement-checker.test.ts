import tap from 'tap';
import {statementViolations} from '../../bench/gateway-soak/statement-checker.js';
import {FakePlatformWorker} from '../../fakes/platform-worker.js';

type Arrival = {readonly at: number; readonly gateway?: number; readonly wasRun?: boolean; readonly statements: Readonly<Record<string, string>>};

async function check(arrivals: readonly Arrival[], restartedAt = Infinity): Promise<string[]> {
	await using worker = await FakePlatformWorker.create('w', 's');
	for (const {at, gateway = 0, wasRun = true, statements} of arrivals) {
		worker.requests.push({id: `g${gateway}`, method: 'GET', path: '/', headers: {}, body: '', at, statements, wasRun});
	}

	return statementViolations({workers: [worker], gatewayOf: ({id}) => Number(id.slice(1)), disturbances: [{gateway: 0, from: restartedAt, until: restartedAt + 100}]});
}

const limited = {'Server-Limit': '2'};
const leaving = {'Server-Leaving': '1'};
const resting = {'Retry-After': '2'};

tap.test('the checker of statements finds a limit that is exceeded by two gateways together', async t => {
	const steady = (pause: number): Arrival[] => Array.from({length: Math.ceil(8000 / pause)}, (_, number) => ({at: number * pause, gateway: number % 2, statements: limited}));
	t.same(await check(steady(300)), []);
	t.match(await check(steady(150)), [/limit of 2 a second/v]);
});

tap.test('the checker of statements finds requests to an endpoint that leaves, but for those of a gateway that was restarted', async t => {
	t.same(await check([{at: 0, statements: leaving}, {at: 1900, statements: leaving}]), []);
	t.match(await check([{at: 0, statements: leaving}, {at: 2100, statements: leaving}]), [/leaves/v]);
	t.same(await check([{at: 0, statements: leaving}, {at: 2100, gateway: 1, statements: leaving}]), [], 'the other one was not told');
	t.same(await check([{at: 0, statements: leaving}, {at: 2100, statements: leaving}], 1000), []);
});

tap.test('the checker of statements finds more than two requests in a rest', async t => {
	const inRest = (count: number): Arrival[] => [{at: 0, wasRun: false, statements: resting}, ...Array.from({length: count}, (_, number) => ({at: 600 + number, statements: {}}))];
	t.same(await check(inRest(2)), []);
	t.match(await check(inRest(3)), [/rest/v]);
	t.same(await check([{at: 0, wasRun: false, statements: resting}, ...[100, 200, 300, 2001].map(at => ({at, statements: {}}))]), []);
});
