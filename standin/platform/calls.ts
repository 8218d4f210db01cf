import type {CallKind} from '../../src/store/index.js';

/** Number of calls in total and in the busiest second. */
export interface CallCount {
  readonly total: number;
  readonly peakPerSecond: number;
}

/** Counts of calls by kind, and of all kinds together. */
export type CallCounts = Readonly<Record<CallKind | 'all', CallCount>>;

/** Counts calls by kind and second. */
export interface CallCounter {
  readonly count: (kind: CallKind, nowMs: number) => void;
  readonly counts: () => CallCounts;
}

const KINDS = ['get', 'list', 'put', 'delete', 'watch', 'all'] as const;

interface Tally {
  total: number;
  second: number;
  inSecond: number;
  peakPerSecond: number;
}

/**
 * Creates a counter of calls.
 *
 * @example
 * const counter = createCallCounter();
 * counter.count('get', Date.now());
 * counter.counts().get.total; // 1
 */
export function createCallCounter(): CallCounter {
  const tallies = new Map(KINDS.map(kind => [kind, emptyTally()]));
  return {
    count: (kind, nowMs) => {
      const second = Math.floor(nowMs / 1000);
      countCall(tallies.get(kind)!, second);
      countCall(tallies.get('all')!, second);
    },
    counts: () =>
      Object.fromEntries(
        [...tallies].map(([kind, {total, peakPerSecond}]) => [
          kind,
          {total, peakPerSecond},
        ]),
      ) as CallCounts,
  };
}

function emptyTally(): Tally {
  return {total: 0, second: -1, inSecond: 0, peakPerSecond: 0};
}

function countCall(tally: Tally, second: number): void {
  tally.inSecond = tally.second === second ? tally.inSecond + 1 : 1;
  tally.second = second;
  tally.total += 1;
  tally.peakPerSecond = Math.max(tally.peakPerSecond, tally.inSecond);
}
