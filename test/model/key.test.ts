import test from 'ava';
import {rankByRendezvous, sliceOfKey} from '../../src/model/index.js';

test('a key always maps to the same slice', t => {
  t.is(sliceOfKey('night-desk', 64), sliceOfKey('night-desk', 64));
  t.true(sliceOfKey('night-desk', 64) < 64);
});

test('a number of slices that is not a power of two is rejected', t => {
  t.throws(() => sliceOfKey('a', 48), {instanceOf: RangeError});
});

test('removing a candidate keeps the order of the others', t => {
  const all = ['a', 'b', 'c', 'd', 'e'];
  const ranked = rankByRendezvous('x', all, id => id);
  const without = rankByRendezvous(
    'x',
    all.filter(id => id !== ranked[0]),
    id => id,
  );
  t.deepEqual(without, ranked.slice(1));
});
