import type {TrackedRequest} from '../../src/admission/index.js';
import {randomExponential, randomZipf, type Random} from './random.js';

/** One kind of request. */
export interface Kind {
  readonly service: string;
  readonly priority: number;
  /** Share of the requests. */
  readonly share: number;
  readonly meanMs: number;
  readonly deadlineMs: number;
}

/** A request with the time that the upstream will take for it. */
export interface Job {
  readonly work: TrackedRequest;
  readonly arriveAt: number;
  readonly serviceMs: number;
}

/** How requests are drawn. */
export interface Workload {
  readonly kinds: readonly Kind[];
  /** Share of all requests that one caller sends. */
  readonly greedyShare: number;
  /** Share of all requests that are for one key. */
  readonly hotShare: number;
  /** Factor on the service time, by time since the start in milliseconds. */
  readonly slowdownAt: (atMs: number) => number;
}

export const GREEDY_CALLER = 'greedy';
export const HOT_KEY = 'hot';

const CALLERS = 200;
const KEYS = 500;

/** Requests of the newsroom: call-in before swaps before reads before imports. */
export const NEWSROOM: readonly Kind[] = [
  kind('emergency-call-in', 0, 0.02, 5, 500),
  kind('shift-swaps', 1, 0.1, 10, 500),
  kind('rota-display', 2, 0.8, 5, 250),
  kind('season-import', 3, 0.08, 50, 2000),
];

/** Requests of one kind, so that each counts the same. */
export const READS: readonly Kind[] = [kind('rota-display', 2, 1, 5, 250)];

/** The newsroom's requests from many callers for many keys. */
export const MIXED: Workload = {
  kinds: NEWSROOM,
  greedyShare: 0,
  hotShare: 0,
  slowdownAt: () => 1,
};

/** Reads alone, from many callers for many keys. */
export const READS_ONLY: Workload = {...MIXED, kinds: READS};

/** Reads of 20 ms, long against the grain of real timers. */
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
 * Returns the mean service time of a workload, in milliseconds.
 *
 * @example
 * meanServiceMs(NEWSROOM); // 9.1
 */
export function meanServiceMs(kinds: readonly Kind[]): number {
  return kinds.reduce((sum, {share, meanMs}) => sum + share * meanMs, 0);
}

/**
 * Draws the jobs of a run, as a Poisson process.
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
