import test from 'ava';
import {explore} from './commands.js';

const RUNS = 60;

test('no two owners, whatever fails, where upstreams check grants', t => {
  t.notThrows(() => explore({seed: 20261203, runs: RUNS}));
});

test('no two owners, whatever fails, where upstreams ignore grants', t => {
  t.notThrows(() => explore({seed: 20261204, runs: RUNS, fencing: 'ignored'}));
});

test('no two owners, whatever fails, where upstreams say that they leave', t => {
  t.notThrows(() =>
    explore({seed: 20261205, runs: RUNS, upstreamsLeave: true}),
  );
});
