import test from 'ava';
import {
  HEAT_PARTS,
  LAST_KEY,
  firstMap,
  planBalance,
  type Candidate,
  type Heat,
  type RangeMap,
} from '../../src/ranges/index.js';

const SETTINGS = {tolerance: 1.2, ease: 0.55, moves: 4};

/** Requests a second that each candidate of these tests can execute. */
const CAPACITY = 100;

const candidate = (node: string): Candidate => ({
  life: {node, id: `i-${node}`, born: 1},
  capacity: CAPACITY,
});

/** A map in which candidates hold equal parts of the keys, in order. */
function mapOf(holders: readonly Candidate[]): RangeMap {
  const width = (LAST_KEY + 1) / holders.length;
  return firstMap(
    holders.map(({life}, index) => ({
      from: index * width,
      to: (index + 1) * width - 1,
      holder: life,
    })),
  );
}

/** Heat in which each holder's part has a utilization. */
function heatOf(utilizations: readonly number[]): Heat {
  const parts = HEAT_PARTS / utilizations.length;
  return utilizations.flatMap(utilization =>
    new Array<number>(parts).fill((utilization * CAPACITY) / parts),
  );
}

const [a, b, c, d] = ['a', 'b', 'c', 'd'].map(candidate);

test('a busy instance gives keys to one with room', t => {
  const moves = planBalance(
    mapOf([a, b]),
    heatOf([0.9, 0.4]),
    [a, b],
    SETTINGS,
  );
  t.true(moves.length > 0);
  t.true(moves.every(({holder}) => holder === b.life));
});

test('an uneven load that makes nobody wait moves no keys', t => {
  const map = mapOf([a, b]);
  t.deepEqual(planBalance(map, heatOf([0.5, 0.3]), [a, b], SETTINGS), []);
});

test('an instance that joins gets keys, however low the load', t => {
  const moves = planBalance(mapOf([a, b]), heatOf([0.2, 0.2]), [a, b, c], {
    ...SETTINGS,
  });
  t.true(moves.length > 0);
  t.true(moves.every(({holder}) => holder === c.life));
});

test('loads near the mean move no keys, however high', t => {
  const map = mapOf([a, b, c, d]);
  const heat = heatOf([0.95, 0.9, 0.85, 0.9]);
  t.deepEqual(planBalance(map, heat, [a, b, c, d], SETTINGS), []);
});
