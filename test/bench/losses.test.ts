import tap from 'tap';
import {lossesOf, parseReport} from '../../bench/losses/report.js';

const group = {n: 10, in_aim: 5, late: 2, refused: 2, failed: 1, worth: 0.6};
const report = {
	G: 0.55, served: 0.6, parts: [['whole day', 0.75, 0.8], ['worst windows', 0.15, 0.4], ['worst class', 0.1, 0.6]],
	prices: [['tokens', 1200, 0.05], ['small', 3, 0.001]],
	classes: [{...group, name: 'a'}, {...group, name: 'b', worth: 0.9}], windows: [{...group, name: '0'}, {...group, name: '2', worth: 0.2}, {...group, name: '4', worth: 0.9}],
	unserved_by: [['503', 3, ['trace']]],
};

tap.test('the losses by cause and the remaining worth add up to 1', async t => {
	const losses = lossesOf(parseReport(JSON.stringify(report)));
	const remaining = (0.75 * 0.8) + (0.15 * 0.4) + (0.1 * 0.6) - 0.051;
	t.ok(Math.abs(losses.reduce((sum, {worth}) => sum + worth, 0) + remaining - 1) < 1e-9);
	t.equal(losses[0]!.cause, 'whole day');
	t.match(losses.find(({cause}) => cause === 'worst windows')!.detail, /^second 2: 0\.20/v);
	t.match(losses.find(({cause}) => cause === 'worst class')!.detail, 'a: 0.60');
	t.ok(losses.some(({cause}) => cause === 'price: tokens') && losses.some(({cause}) => cause === 'other prices'));
	t.throws(() => parseReport('{"G": 1}'));
	t.throws(() => parseReport('no json'));
});
