import test from 'ava';
import {
  RATE_BUCKETS,
  LAST_KEY,
  createMap,
  planBalance,
  rateOfRange,
  revoke,
  type Candidate,
  type RequestRates,
  type RangeMap,
} from '../../src/ranges/index.js';

const SETTINGS = {tolerance: 1.2, lowUtilization: 0.55, maxMoves: 4};

/** Requests per second that each candidate can execute. */
const CAPACITY = 100;

const candidate = (node: string): Candidate => ({
  incarnation: {node, id: `i-${node}`, born: 1},
  capacity: CAPACITY,
});

/**
 * Returns a map in which the candidates hold equal parts of the keys, in order.
 */
function mapOf(holders: readonly Candidate[]): RangeMap {
  const width = (LAST_KEY + 1) / holders.length;
  return createMap(
    holders.map(({incarnation}, index) => ({
      from: index * width,
      to: (index + 1) * width - 1,
      holder: incarnation,
    })),
  );
}

/** Returns request rates that give each holder of `mapOf` a utilization. */
function ratesOf(utilizations: readonly number[]): RequestRates {
  const parts = RATE_BUCKETS / utilizations.length;
  return utilizations.flatMap(utilization =>
    new Array<number>(parts).fill((utilization * CAPACITY) / parts),
  );
}

const [a, b, c, d] = ['a', 'b', 'c', 'd'].map(candidate);

test('keys move from a busy instance to one with spare capacity', t => {
  const moves = planBalance(
    mapOf([a, b]),
    ratesOf([0.9, 0.4]),
    [a, b],
    SETTINGS,
  );
  t.true(moves.length > 0);
  t.true(moves.every(({holder}) => holder === b.incarnation));
});

test('a busy holder gives keys away though its load is not known now', t => {
  const all = [a, b, c, d];
  const rates = ratesOf([0.9, 0.4, 0.2, 0.2]);
  const moves = planBalance(mapOf(all), rates, all, SETTINGS, [c]);
  t.true(moves.length > 0);
  t.true(moves.every(({holder}) => holder === c.incarnation));
  t.deepEqual(planBalance(mapOf(all), rates, all, SETTINGS, [a]), []);
});

test('an uneven load below the low utilization moves no keys', t => {
  const map = mapOf([a, b]);
  t.deepEqual(planBalance(map, ratesOf([0.5, 0.3]), [a, b], SETTINGS), []);
});

test('a joining instance gets keys at any load', t => {
  const moves = planBalance(mapOf([a, b]), ratesOf([0.2, 0.2]), [a, b, c], {
    ...SETTINGS,
  });
  t.true(moves.length > 0);
  t.true(moves.every(({holder}) => holder === c.incarnation));
});

test('utilizations near the mean move no keys at any load', t => {
  const map = mapOf([a, b, c, d]);
  const rates = ratesOf([0.95, 0.9, 0.85, 0.9]);
  t.deepEqual(planBalance(map, rates, [a, b, c, d], SETTINGS), []);
});

test('one busy holder gives keys to several others, none more than it can execute', t => {
  const all = [a, b, c, d];
  const rates = ratesOf([4, 0.3, 0.2, 0.1]);
  const moves = planBalance(mapOf(all), rates, all, SETTINGS);
  const others = all.slice(1).map(({incarnation}, index) => {
    const own = [0.3, 0.2, 0.1][index] * CAPACITY;
    return moves
      .filter(({holder}) => holder === incarnation)
      .reduce((sum, {from, to}) => sum + rateOfRange(rates, from, to), own);
  });
  for (const rate of others) {
    t.true(rate > 0.8 * CAPACITY, `${rate}`);
    t.true(rate < 1.1 * CAPACITY, `${rate}`);
  }
});

test('a holder that cannot give keys does not keep others from giving theirs', t => {
  const all = [a, b, c, d];
  const map = revoke(mapOf(all), a.incarnation);
  const moves = planBalance(map, ratesOf([3, 2, 0.2, 0.2]), all, SETTINGS);
  t.true(moves.length > 0);
});

test('the end of a range with the most requests for each key is moved', t => {
  const rates = Array.from({length: RATE_BUCKETS}, (_, bucket) =>
    bucket < RATE_BUCKETS / 2 ? bucket / 1000 : 0,
  );
  const moves = planBalance(mapOf([a, b]), rates, [a, b], SETTINGS);
  const middle = (LAST_KEY + 1) / 2;
  t.deepEqual(
    moves.map(({to}) => to),
    [middle - 1],
  );
});
