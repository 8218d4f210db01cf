import test from 'ava';
import {
  RATE_BUCKETS,
  LAST_KEY,
  createMap,
  planBalance,
  type Candidate,
  type RequestRates,
  type RangeMap,
} from '../../src/ranges/index.js';

const SETTINGS = {tolerance: 1.2, lowUtilization: 0.55, maxMoves: 4};

/** Requests a second that each candidate of these tests can execute. */
const CAPACITY = 100;

const candidate = (node: string): Candidate => ({
  incarnation: {node, id: `i-${node}`, born: 1},
  capacity: CAPACITY,
});

/** A map in which candidates hold equal parts of the keys, in order. */
function mapOf(holders: readonly Candidate[]): RangeMap {
  const width = (LAST_KEY + 1) / holders.length;
  return createMap(
    holders.map(({incarnation: life}, index) => ({
      from: index * width,
      to: (index + 1) * width - 1,
      holder: life,
    })),
  );
}

/** Heat in which each holder's part has a utilization. */
function ratesOf(utilizations: readonly number[]): RequestRates {
  const parts = RATE_BUCKETS / utilizations.length;
  return utilizations.flatMap(utilization =>
    new Array<number>(parts).fill((utilization * CAPACITY) / parts),
  );
}

const [a, b, c, d] = ['a', 'b', 'c', 'd'].map(candidate);

test('a busy instance gives keys to one with room', t => {
  const moves = planBalance(
    mapOf([a, b]),
    ratesOf([0.9, 0.4]),
    [a, b],
    SETTINGS,
  );
  t.true(moves.length > 0);
  t.true(moves.every(({holder}) => holder === b.incarnation));
});

test('an uneven load that makes nobody wait moves no keys', t => {
  const map = mapOf([a, b]);
  t.deepEqual(planBalance(map, ratesOf([0.5, 0.3]), [a, b], SETTINGS), []);
});

test('an instance that joins gets keys, however low the load', t => {
  const moves = planBalance(mapOf([a, b]), ratesOf([0.2, 0.2]), [a, b, c], {
    ...SETTINGS,
  });
  t.true(moves.length > 0);
  t.true(moves.every(({holder}) => holder === c.incarnation));
});

test('loads near the mean move no keys, however high', t => {
  const map = mapOf([a, b, c, d]);
  const heat = ratesOf([0.95, 0.9, 0.85, 0.9]);
  t.deepEqual(planBalance(map, heat, [a, b, c, d], SETTINGS), []);
});
