import type {Member} from '../../src/model/index.js';
import {
  createSketch,
  planChunk,
  planMoves,
  createMoveState,
  type SliceLoad,
} from '../../src/placement/index.js';
import type {Point} from '../statistics.js';
import {seeded} from '../random.js';
import type {Result} from '../results.js';
import {figure, fitResults, timeUs} from './figures.js';
import {createMembers, FLEET_SIZES, createService} from './records.js';

/** Seed of the loads and keys. */
export const SEED = 1;

/**
 * Times a steward's plan of one chunk and the moves of a whole service.
 *
 * @example
 * planTimes().map(result => result.name);
 */
export function planTimes(): readonly Result[] {
  const idle: Point[] = [];
  const loss: Point[] = [];
  const moves: Point[] = [];
  for (const size of FLEET_SIZES) {
    const members = createMembers(size);
    const service = createService(16_384);
    const released = () => 0;
    const input = {service, index: 0, members, released};
    const chunk = planChunk({...input, chunk: undefined, ended: () => false});
    const [first] = chunk?.slices[0].terms ?? [];
    const lost = first.lease.instance;
    const unchanged = {...input, chunk, ended: () => false};
    const afterLoss = {
      ...input,
      chunk,
      ended: (id: {instance: string}) => id.instance === lost,
    };
    idle.push({x: size, y: timeUs(20, () => planChunk(unchanged))});
    loss.push({x: size, y: timeUs(20, () => planChunk(afterLoss))});
    moves.push({x: size, y: movePlanTimeUs(members, 16_384)});
  }
  return [
    ...fitResults('plan-chunk-idle', idle, 'us', 'members'),
    ...fitResults('plan-chunk-loss', loss, 'us', 'members'),
    ...fitResults('plan-moves', moves, 'us', 'members'),
  ];
}

function movePlanTimeUs(members: readonly Member[], count: number): number {
  const random = seeded(SEED);
  const meanLoad = (members.length * 12 * 0.45) / count;
  const slices = Array.from({length: count}, (_, slice): SliceLoad => {
    const owner = members[slice % members.length].instance;
    return {slice, owner, load: meanLoad * 2 * random(), isSettled: true};
  });
  const weights = {imbalance: 1, churn: 1, unavailable: 4};
  const servingSince = () => -Infinity;
  const input = {now: 0, weights, members, servingSince, slices};
  return timeUs(3, () => planMoves(createMoveState(0), input));
}

/**
 * Times a key counted by the sketch.
 *
 * @example
 * sketchCosts()[0].value;
 */
export function sketchCosts(): readonly Result[] {
  const random = seeded(SEED);
  const sketch = createSketch(64);
  const keys = Array.from(
    {length: 10_000},
    () => `key-${Math.floor(1_000_000 * random() ** 4)}`,
  );
  let next = 0;
  const add = timeUs(10_000, () => {
    sketch.add(keys[next], 1);
    next = (next + 1) % keys.length;
  });
  return [figure('sketch-add', add, 'us')];
}
