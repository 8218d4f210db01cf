import test from 'ava';
import {loadChart} from '../../src/model/index.js';

const door = {
  id: 'door',
  initial: 'shut',
  states: {shut: {on: {OPEN: 'open'}}, open: {on: {SHUT: 'shut'}}},
};

test('a chart follows its file', t => {
  const chart = loadChart(door);
  t.is(chart.next('shut', 'OPEN'), 'open');
  t.is(chart.next('open', 'OPEN'), 'open');
  t.false(chart.accepts('open', 'OPEN'));
});

test('a transition to an unknown state is refused', t => {
  const broken = {...door, states: {shut: {on: {OPEN: 'ajar'}}}};
  t.throws(() => loadChart(broken), {instanceOf: RangeError});
});
