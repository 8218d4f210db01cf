import test from 'ava';
import {explore} from './commands.js';

const RUNS = 60;

test('a slice never has two owners under random faults, with upstreams that enforce grants', t => {
  t.notThrows(() => explore({seed: 20261203, runs: RUNS}));
});

test('a slice never has two owners under random faults, with upstreams that ignore grants', t => {
  t.notThrows(() => explore({seed: 20261204, runs: RUNS, fencing: 'ignored'}));
});

test('a slice never has two owners under random faults, with upstreams that announce their shutdown', t => {
  t.notThrows(() =>
    explore({seed: 20261205, runs: RUNS, upstreamsLeave: true}),
  );
});
