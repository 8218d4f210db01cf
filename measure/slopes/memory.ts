import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {poolOf} from '../../src/placement/index.js';
import {median} from '../fit.js';
import type {Result} from '../results.js';
import {fitted, REPEATS} from './figures.js';
import {chunksOf, fleet, FLEETS, SLICES} from './fleet.js';

/**
 * Measures the heap of member and slice records against their number.
 *
 * @example
 * memorySlopes().map(result => result.name);
 */
export function memorySlopes(): readonly Result[] {
  const members = FLEETS.map(count => ({
    x: count,
    y: heapOf(() => poolOf(fleet(count))),
  }));
  const slices = SLICES.map(count => ({
    x: count,
    y: heapOf(() => chunksOf(count)),
  }));
  return [
    ...fitted('member-heap', members, 'bytes', 'members'),
    ...fitted('slice-heap', slices, 'bytes', 'slices'),
  ];
}

/** Returns the heap that a value holds, in bytes: the median of some builds. */
function heapOf(build: () => unknown): number {
  const collect = collector();
  build();
  const used = Array.from({length: REPEATS}, () => {
    collect();
    const before = process.memoryUsage().heapUsed;
    const kept = [build()];
    collect();
    const after = process.memoryUsage().heapUsed;
    return kept.length > 0 ? after - before : 0;
  });
  return median(used);
}

/** Returns the garbage collector of this process. */
function collector(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}
