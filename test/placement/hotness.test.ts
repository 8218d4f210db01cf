import test from 'ava';
import {
  chooseHotKeys,
  MIN_COOL_MS,
  NO_COOL_KEYS,
  type CoolKeys,
} from '../../src/placement/index.js';

function choose(heat: CoolKeys, now: number, load: number, isolated: string[]) {
  const keys = [
    {key: 'plain', load: 0.5},
    {key: 'story', load},
  ];
  return chooseHotKeys(heat, {now, slots: 12, keys, isolated});
}

test('isolates a key that takes a large share of the slots, once', t => {
  t.deepEqual(choose(NO_COOL_KEYS, 0, 3, []).toIsolate, ['story']);
  t.deepEqual(choose(NO_COOL_KEYS, 0, 3, ['story']).toIsolate, []);
  t.deepEqual(choose(NO_COOL_KEYS, 0, 1, []).toIsolate, []);
});

test('gives a key back only when it has been cool without a break', t => {
  const cool = choose(NO_COOL_KEYS, 0, 0.1, ['story']);
  t.deepEqual(cool.toReturn, []);
  const warm = choose(cool.coolKeys, MIN_COOL_MS / 2, 1, ['story']);
  const again = choose(warm.coolKeys, MIN_COOL_MS, 0.1, ['story']);
  t.deepEqual(again.toReturn, []);
  const end = choose(again.coolKeys, 2 * MIN_COOL_MS, 0.1, ['story']);
  t.deepEqual(end.toReturn, ['story']);
});
