import tap from 'tap';
import {type ExchangeOptions} from '../../src/gateway/requests/exchange-options.js';
import {RequestEnd} from '../../src/gateway/requests/request-end.js';
import {StopSchedule} from '../../src/gateway/stopping/index.js';

const arrivedAt = 1000;
/** The loop was late: the request can have arrived a turn before it was read. */
const readAt = 1150;
const lagMilliseconds = 100;
const deadlineMilliseconds = 4000;

/** When a request in a late loop is ended, by whether its answer has begun. */
function endOf(hasResponse: boolean, stop = StopSchedule.create(), longestMilliseconds = lagMilliseconds): RequestEnd {
	return RequestEnd.create({
		arrivedAt, readAt, stop, facts: {deadlineMilliseconds}, route: {timeoutMilliseconds: 9000}, caller: {hasResponse},
		lateness: {isMeasured: true, milliseconds: lagMilliseconds, longestMilliseconds},
	} as unknown as ExchangeOptions);
}

// Its deadline was counted from the earliest moment at which it can have arrived: streams broke off by a turn of the loop too early.
tap.test('an answer that has begun goes on until its caller\'s time is over for certain', async t => {
	const end = endOf(true);
	t.equal(end.at, readAt + deadlineMilliseconds);
	t.equal(end.onceBegunAt, end.at);
	t.equal(end.nextLookAt, arrivedAt + deadlineMilliseconds, 'looked at once more where it can be over, and not ended there');
});

// Half a second after their callers' time streams had no end, in a process that stood still for as long again after that time.
tap.test('where the next look may come half a second late, it is ended within the span in which its caller\'s time ends', async t => {
	t.equal(endOf(true, undefined, 500).at, ((arrivedAt + readAt) / 2) + deadlineMilliseconds);
	t.equal(endOf(true, undefined, 5000).at, arrivedAt + deadlineMilliseconds);
	const stop = StopSchedule.create();
	stop.begin({endsAt: 9000, lastStreamAt: 9000});
	t.equal(endOf(true, stop, 5000).at, readAt + deadlineMilliseconds, 'not so in a stop');
});

tap.test('one that has not is ended as long before the earliest end of that time as the loop is late', async t => {
	const end = endOf(false);
	t.equal(end.at, arrivedAt + deadlineMilliseconds - lagMilliseconds);
	t.equal(end.onceBegunAt, readAt + deadlineMilliseconds, 'the endpoint of a stream may work on');
});

tap.test('a stop ends both', async t => {
	const stop = StopSchedule.create();
	stop.begin({endsAt: 3000, lastStreamAt: 2000});
	for (const hasResponse of [true, false]) {
		t.equal(endOf(hasResponse, stop).at, 3000);
	}
});

// A stream that broke off in a stop was not resumed, by an estimate of a whole run, although another endpoint would have sent the rest in time.
tap.test('an answer that has begun may go on elsewhere until the end of a stop, and nothing else beyond what others took', async t => {
	const stop = StopSchedule.create();
	stop.begin({endsAt: 3000, lastStreamAt: 2000});
	t.equal(endOf(true, stop).lastStartAt, 3000);
	t.ok(endOf(false, stop).lastStartAt < 3000);
});

// By the earliest end of its time it seemed to fit into the stop, and was cut there before its time was over.
tap.test('a request fits into a stop only if its time is over before for certain', async t => {
	const stop = StopSchedule.create();
	stop.begin({endsAt: readAt + deadlineMilliseconds - 1, lastStreamAt: 2000});
	t.not(endOf(false, stop).lastStartAt, Infinity);
});
