import test from 'ava';
import {
  chooseHotKeys,
  COOL_MS,
  NO_HEAT,
  type Heat,
} from '../../src/placement/index.js';

function choose(heat: Heat, now: number, load: number, isolated: string[]) {
  const keys = [
    {key: 'plain', load: 0.5},
    {key: 'story', load},
  ];
  return chooseHotKeys(heat, {now, slots: 12, keys, isolated});
}

test('isolates a key that takes a large share of the slots, once', t => {
  t.deepEqual(choose(NO_HEAT, 0, 3, []).isolate, ['story']);
  t.deepEqual(choose(NO_HEAT, 0, 3, ['story']).isolate, []);
  t.deepEqual(choose(NO_HEAT, 0, 1, []).isolate, []);
});

test('gives a key back only when it has been cool without a break', t => {
  const cool = choose(NO_HEAT, 0, 0.1, ['story']);
  t.deepEqual(cool.giveBack, []);
  const warm = choose(cool.heat, COOL_MS / 2, 1, ['story']);
  const again = choose(warm.heat, COOL_MS, 0.1, ['story']);
  t.deepEqual(again.giveBack, []);
  const end = choose(again.heat, 2 * COOL_MS, 0.1, ['story']);
  t.deepEqual(end.giveBack, ['story']);
});
