import test from 'ava';
import {fitLine, median} from '../../measure/statistics.js';
import {drawPlot} from '../../measure/plot.js';
import {formatResults} from '../../measure/results.js';

test('fits a line exactly to points on a line', t => {
  const line = fitLine([1, 2, 5].map(x => ({x, y: 2 * x + 1})));
  t.is(line.slope, 2);
  t.is(line.intercept, 1);
  t.is(line.r2, 1);
  t.throws(() => fitLine([{x: 1, y: 1}]), {instanceOf: RangeError});
});

test('returns the lower middle value as the median', t => {
  t.is(median([4, 1, 3, 2]), 2);
});

test('formats each result as one JSON line with its run', t => {
  const run = {command: 'npm run measure -- x', seed: 3, date: '2026-01-01'};
  const text = formatResults(run, [{name: 'a', value: 1, unit: 'ms'}]);
  t.deepEqual(JSON.parse(text), {name: 'a', value: 1, unit: 'ms', ...run});
});

test('draws every series and escapes its name', t => {
  const points = [
    {x: 0, y: 1},
    {x: 1, y: 100},
  ];
  const labels = {title: 'T', xLabel: 'x', yLabel: 'y', logY: true};
  const svg = drawPlot({...labels, series: [{name: 'a<b', points}]});
  t.true(svg.includes('points="70.0,350.0 560.0,40.0"'));
  t.true(svg.includes('a&lt;b'));
});
