import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {poolOf} from '../../src/placement/index.js';
import {median} from '../statistics.js';
import type {Result} from '../results.js';
import {fitResults, REPETITIONS} from './figures.js';
import {
  createChunks,
  createMembers,
  FLEET_SIZES,
  SLICE_COUNTS,
} from './records.js';

/**
 * Measures the heap of member and slice records against their number.
 *
 * @example
 * memorySlopes().map(result => result.name);
 */
export function memorySlopes(): readonly Result[] {
  const members = FLEET_SIZES.map(count => ({
    x: count,
    y: measureHeapBytes(() => poolOf(createMembers(count))),
  }));
  const slices = SLICE_COUNTS.map(count => ({
    x: count,
    y: measureHeapBytes(() => createChunks(count)),
  }));
  return [
    ...fitResults('member-heap', members, 'bytes', 'members'),
    ...fitResults('slice-heap', slices, 'bytes', 'slices'),
  ];
}

/** Returns the heap that a value holds, in bytes: the median of some builds. */
function measureHeapBytes(build: () => unknown): number {
  const collect = garbageCollector();
  build();
  const used = Array.from({length: REPETITIONS}, () => {
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
function garbageCollector(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}
