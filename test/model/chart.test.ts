import test from 'ava';
import {loadChart} from '../../src/model/index.js';

const door = {
  id: 'door',
  initial: 'shut',
  states: {shut: {on: {OPEN: 'open'}}, open: {on: {SHUT: 'shut'}}},
};

test('a chart has the transitions of its file', t => {
  const chart = loadChart(door);
  t.is(chart.next('shut', 'OPEN'), 'open');
  t.is(chart.next('open', 'OPEN'), 'open');
  t.false(chart.accepts('open', 'OPEN'));
});

test('a transition to an unknown state is rejected', t => {
  const broken = {...door, states: {shut: {on: {OPEN: 'ajar'}}}};
  t.throws(() => loadChart(broken), {instanceOf: RangeError});
});
