import fc from 'fast-check';
import tap from 'tap';
import {AcceptTurns, maxAcceptTurns} from '../../src/policy/lateness/index.js';

/** What each turn is used for, by whether it accepted a connection. */
function play(accepted: readonly boolean[]): string[] {
	let state = AcceptTurns.create();
	return accepted.map(isAccepting => {
		const {type, next} = (isAccepting ? state.accept() : state).endTurn();
		state = next;
		return type;
	});
}

tap.test('a request is begun at once where no connection waits, and after those that wait', async t => {
	t.same(play([false, false]), ['begin', 'begin']);
	t.same(play([true, true, false, true, false]), ['accept', 'accept', 'begin', 'accept', 'begin']);
});

// A flood of connections would hold up every request.
tap.test('a request is begun within a limited number of turns, however many connections come', async t => {
	fc.assert(fc.property(fc.array(fc.boolean(), {maxLength: 200}), accepted => {
		const uses = play(accepted).map(type => type === 'begin' ? 'B' : 'a').join('');
		return !uses.includes('a'.repeat(maxAcceptTurns + 1));
	}), {seed: 72, numRuns: 300});
	t.equal(play(Array.from({length: 100}, () => true)).filter(type => type === 'begin').length, Math.floor(100 / (maxAcceptTurns + 1)));
});
