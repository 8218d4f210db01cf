import type {TrackedRequest} from '../../src/admission/index.js';
import {randomExponential, randomZipf, type Random} from './random.js';

/** A kind of request with its share of the load and its cost. */
export interface Kind {
  readonly service: string;
  readonly priority: number;
  /** Share of all requests. */
  readonly share: number;
  readonly meanMs: number;
  readonly deadlineMs: number;
}

/** A request with its arrival time and its service time at the upstream. */
export interface Job {
  readonly work: TrackedRequest;
  readonly arriveAt: number;
  readonly serviceMs: number;
}

/** Distribution that the requests of a run are drawn from. */
export interface Workload {
  readonly kinds: readonly Kind[];
  /** Share of all requests that `GREEDY_CALLER` sends. */
  readonly greedyShare: number;
  /** Share of all requests that are for `HOT_KEY`. */
  readonly hotShare: number;
  /**
   * Returns the factor on the service time, `atMs` after the start of the run.
   */
  readonly slowdownAt: (atMs: number) => number;
}

export const GREEDY_CALLER = 'greedy';
export const HOT_KEY = 'hot';

const CALLERS = 200;
const KEYS = 500;

/** Requests of the newsroom by priority: call-ins, swaps, reads, imports. */
export const NEWSROOM: readonly Kind[] = [
  kind('emergency-call-in', 0, 0.02, 5, 500),
  kind('shift-swaps', 1, 0.1, 10, 500),
  kind('rota-display', 2, 0.8, 5, 250),
  kind('season-import', 3, 0.08, 50, 2000),
];

/** Requests of a single kind, so that all have the same mean cost. */
export const READS: readonly Kind[] = [kind('rota-display', 2, 1, 5, 250)];

/** All kinds of the newsroom, from many callers for many keys. */
export const MIXED: Workload = {
  kinds: NEWSROOM,
  greedyShare: 0,
  hotShare: 0,
  slowdownAt: () => 1,
};

/** Only reads, from many callers for many keys. */
export const READS_ONLY: Workload = {...MIXED, kinds: READS};

/** Reads of 20 ms, long compared with the resolution of real timers. */
export const SLOW_READS: Workload = {
  ...MIXED,
  kinds: [kind('rota-display', 2, 1, 20, 500)],
};

function kind(
  service: string,
  priority: number,
  share: number,
  meanMs: number,
  deadlineMs: number,
): Kind {
  return {service, priority, share, meanMs, deadlineMs};
}

/**
 * Returns the mean service time over all kinds of requests, in milliseconds.
 *
 * @example
 * meanServiceMs(NEWSROOM); // 9.1
 */
export function meanServiceMs(kinds: readonly Kind[]): number {
  return kinds.reduce((sum, {share, meanMs}) => sum + share * meanMs, 0);
}

/**
 * Draws the jobs of a run, which arrive as a Poisson process.
 *
 * @param perSecond Mean number of arrivals per second.
 *
 * @example
 * drawJobs(MIXED, 1000, 60_000, createRandom(7)).length; // about 60,000
 */
export function drawJobs(
  workload: Workload,
  perSecond: number,
  durationMs: number,
  random: Random,
): readonly Job[] {
  const jobs: Job[] = [];
  let at = randomExponential(random, 1000 / perSecond);
  while (at < durationMs) {
    jobs.push(drawJob(workload, jobs.length, at, random));
    at += randomExponential(random, 1000 / perSecond);
  }
  return jobs;
}

function drawJob(
  workload: Workload,
  id: number,
  arriveAt: number,
  random: Random,
): Job {
  const {service, priority, meanMs, deadlineMs} = drawKind(workload, random);
  const isGreedy = random() < workload.greedyShare;
  const isHot = random() < workload.hotShare;
  const caller = isGreedy
    ? GREEDY_CALLER
    : `caller-${randomZipf(random, CALLERS)}`;
  const key = isHot ? HOT_KEY : `key-${randomZipf(random, KEYS)}`;
  const deadlineAt = arriveAt + deadlineMs;
  const slowdown = workload.slowdownAt(arriveAt);
  return {
    work: {id, service, priority, caller, key, deadlineAt},
    arriveAt,
    serviceMs: randomExponential(random, meanMs * slowdown),
  };
}

function drawKind(workload: Workload, random: Random): Kind {
  let left = random();
  for (const kind of workload.kinds) {
    left -= kind.share;
    if (left < 0) return kind;
  }
  return workload.kinds[workload.kinds.length - 1];
}
