import tap from 'tap';
import {Timeout} from '../../src/concurrency/index.js';
import {VirtualTime} from '../gateway/virtual-time.js';

tap.test('a timeout calls back once, and not before its time', async t => {
	using time = VirtualTime.install();
	const late: number[] = [];
	using _timeout = Timeout.start(1000, lateMilliseconds => {
		late.push(lateMilliseconds);
	});
	time.runFor(999);
	t.same(late, []);
	time.runFor(5000);
	t.equal(late.length, 1);
	t.ok(late[0]! <= 1, `${late[0]} ms late`);
});

tap.test('a timeout that was disposed of in any of its steps does not call back', async t => {
	using time = VirtualTime.install();
	for (const milliseconds of [0, 300, 600, 999]) {
		const timeout = Timeout.start(1000, () => {
			t.fail(`disposed of after ${milliseconds} ms`);
		});
		time.runFor(milliseconds);
		timeout[Symbol.dispose]();
		time.runFor(5000);
	}
});

// A busy instance gave up what had arrived, since the one timer of a call fired before the sockets were read.
tap.test('a timeout leaves a loop whose turns are late several turns', async t => {
	const turns = await new Promise<number>(resolve => {
		let count = 0;
		let isOver = false;
		Timeout.start(20, () => {
			isOver = true;
		});
		const turn = (): void => {
			count += 1;
			const until = performance.now() + 60;
			while (performance.now() < until) {
				// The event loop reads nothing meanwhile.
			}

			if (isOver) {
				resolve(count);
			} else {
				setImmediate(turn);
			}
		};

		setImmediate(turn);
	});
	t.ok(turns >= 4, `${turns} turns`);
});
