import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import type {Weights} from '../../src/model/index.js';
import {
  MIN_STAY_MS,
  HOT_MIN_STAY_MS,
  MOVES_PER_PLAN,
  planMoves,
  NO_RETURN_MS,
  createMoveState,
  type MoveInput,
  type MoveState,
  type SliceLoad,
} from '../../src/placement/index.js';
import {fleet, member} from './fixtures.js';

const EVEN: Weights = {imbalance: 1, churn: 1, unavailable: 1};

function input(
  loads: ReadonlyArray<readonly [owner: string, load: number]>,
  changes: Partial<MoveInput> = {},
): MoveInput {
  const slices = loads.map(([owner, load], slice): SliceLoad => {
    return {slice, owner, load, isSettled: true};
  });
  const members = fleet(3);
  const servingSince = () => -Infinity;
  return {now: 0, weights: EVEN, members, servingSince, slices, ...changes};
}

test('relieves a hot member at once, whatever the weights', t => {
  const weights = {imbalance: 1, churn: 50, unavailable: 50};
  const loads = [
    ['a', 5],
    ['a', 6],
    ['b', 5],
    ['c', 4],
  ] as const;
  const {moves} = planMoves(createMoveState(0), input(loads, {weights}));
  t.deepEqual(moves, [{slice: 0, to: 'c'}]);
});

test('does not move a slice that would only carry the heat along', t => {
  const loads = [
    ['a', 11],
    ['a', 0.5],
    ['b', 3],
    ['c', 3],
  ] as const;
  const {moves} = planMoves(createMoveState(0), input(loads));
  t.deepEqual(moves, [{slice: 1, to: 'b'}]);
});

test('starts balancing outside the band and ends well within it', t => {
  const at = (peak: number) =>
    input([
      ['a', 0.5],
      ['a', peak],
      ['b', 3.5],
      ['c', 4.2],
    ]);
  const state = createMoveState(0);
  t.deepEqual(planMoves(state, at(3.9)).moves, []);
  t.is(planMoves(state, at(4.7)).moves.length, 1);
  const balancing: MoveState = {...state, isBalancing: true};
  t.is(planMoves(balancing, at(3.9)).moves.length, 1);
});

test('moves less where the site weighs disruption more', t => {
  const loads = [
    ['a', 0.4],
    ['a', 4.6],
    ['b', 4],
    ['c', 3.6],
  ] as const;
  const count = (weights: Weights) =>
    planMoves(createMoveState(0), input(loads, {weights})).moves.length;
  t.is(count({imbalance: 4, churn: 1, unavailable: 1}), 1);
  t.is(count({imbalance: 1, churn: 4, unavailable: 4}), 0);
});

test('gives a cold upstream less than a warm one', t => {
  const loads = [
    ['a', 4],
    ['a', 4],
    ['b', 3],
  ] as const;
  const servingSince = (name: string) => (name === 'c' ? 0 : -Infinity);
  const {moves} = planMoves(createMoveState(0), input(loads, {servingSince}));
  t.deepEqual(moves, [{slice: 0, to: 'b'}]);
});

test('makes a bounded number of moves in one plan', t => {
  const loads = Array.from({length: 1000}, () => ['a', 0.01] as const);
  const state = {...createMoveState(0), budget: 200};
  t.is(planMoves(state, input(loads)).moves.length, MOVES_PER_PLAN);
});

test('leaves slices alone whose earlier terms are not released', t => {
  const slices = [{slice: 0, owner: 'a', load: 5, settled: false}];
  t.deepEqual(planMoves(createMoveState(0), input([], {slices})).moves, []);
});

const tickLength = fc.constantFrom(5_000, 60_000);
const loadHistory = fc.array(
  fc.array(fc.constantFrom(0, 1, 3, 6), {
    minLength: 12,
    maxLength: 12,
  }),
  {minLength: 1, maxLength: 60},
);

interface MadeMove {
  readonly slice: number;
  readonly from: string;
  readonly to: string;
  readonly at: number;
}

/** Plans tick by tick while every planned move takes effect at once. */
function replay(
  history: readonly (readonly number[])[],
  tickMs: number,
): readonly MadeMove[] {
  const members = ['a', 'b', 'c', 'd'].map(name => member(name));
  const owners = history[0].map((_, i) => members[i % 4].instance);
  const made: MadeMove[] = [];
  let state = createMoveState(0);
  history.forEach((loads, tick) => {
    const now = tick * tickMs;
    const pairs = loads.map((load, i) => [owners[i], load] as const);
    const plan = planMoves(state, input(pairs, {now, members}));
    state = plan.state;
    for (const {slice, to} of plan.moves) {
      made.push({slice, from: owners[slice], to, at: now});
      owners[slice] = to;
    }
  });
  return made;
}

testProp(
  'no history of loads moves a slice back, too soon again, or over budget',
  [loadHistory, tickLength],
  (t, history, tickMs) => {
    const made = replay(history, tickMs);
    made.forEach((move, i) => {
      const earlier = made.slice(0, i).filter(m => m.slice === move.slice);
      t.true(earlier.every(m => move.at - m.at >= HOT_MIN_STAY_MS));
      t.false(
        earlier.some(m => m.from === move.to && move.at - m.at < NO_RETURN_MS),
      );
      t.not(move.from, move.to);
    });
    const perMinute = 0.1 * history[0].length;
    const minutes = (history.length * tickMs) / 60_000;
    t.true(made.length <= 4 + perMinute * minutes);
    t.true(MIN_STAY_MS > HOT_MIN_STAY_MS);
  },
  {seed: 20261203, numRuns: 300},
);
