import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import {createSketch} from '../../src/placement/index.js';

const CAPACITY = 4;
const key = fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f', 'g', 'h');
const stream = fc.array(fc.tuple(key, fc.integer({min: 1, max: 9})), {
  maxLength: 200,
});

testProp(
  'a sketch holds every heavy key and bounds its weight from both sides',
  [stream],
  (t, items) => {
    const sketch = createSketch(CAPACITY);
    const exact = new Map<string, number>();
    for (const [name, weight] of items) {
      sketch.add(name, weight);
      exact.set(name, (exact.get(name) ?? 0) + weight);
    }
    const total = items.reduce((sum, [, weight]) => sum + weight, 0);
    const counted = new Map(sketch.heaviest().map(h => [h.key, h]));
    t.true(counted.size <= CAPACITY);
    for (const [name, weight] of exact) {
      const found = counted.get(name);
      if (weight > total / CAPACITY) t.truthy(found);
      if (!found) continue;
      t.true(found.weight >= weight && found.weight - found.error <= weight);
    }
  },
  {seed: 20261203, numRuns: 300},
);

test('old weight fades', t => {
  const sketch = createSketch(CAPACITY);
  sketch.add('a', 8);
  sketch.decay(0.25);
  sketch.add('b', 3);
  t.deepEqual(sketch.heaviest(), [
    {key: 'b', weight: 3, error: 0},
    {key: 'a', weight: 2, error: 0},
  ]);
  t.throws(() => createSketch(0), {instanceOf: RangeError});
});
