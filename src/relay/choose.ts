import {
  capacityOf,
  estimateMs,
  usualLoadOf,
  type Candidate,
  type UsualLoad,
} from './estimate.js';
import {limitDelayMs} from './load.js';

/**
 * Chooses the instance with the lowest estimate among those that are not
 * avoided; if all are, the one that is avoided for the shortest time. Of the
 * instances whose last report is old, only a few at random are compared, at the
 * usual usage of their slots. One that has not reported yet counts as
 * usual, but idle.
 *
 * Instances of services without keys differ in speed, utilization and rate
 * limits, and fail independently.
 *
 * @param random Returns a number from 0 to less than 1.
 *
 * @example
 * chooseInstance(candidates, performance.now())?.node;
 */
export function chooseInstance<T extends Candidate>(
  candidates: readonly T[],
  now: number,
  bytes = 0,
  random = Math.random,
): T | undefined {
  const usual = usualLoadOf(candidates);
  let best: T | undefined;
  let bestMs = Infinity;
  for (const candidate of comparedOf(candidates, now, usual, random)) {
    const {avoidedUntil, suspectedUntil} = candidate.load;
    const until = Math.max(avoidedUntil, suspectedUntil);
    const penaltyMs = Math.max(0, until - now) * AVOID_PENALTY;
    const ms = estimateMs(candidate, now, bytes, usual) + penaltyMs;
    if (ms >= bestMs) continue;
    best = candidate;
    bestMs = ms;
  }
  return best;
}

/**
 * Chooses those that are compared: of the ones that are neither avoided nor at
 * their rate limit, if any.
 */
function comparedOf<T extends Candidate>(
  candidates: readonly T[],
  now: number,
  usual: UsualLoad,
  random: () => number,
): readonly T[] {
  const available = candidates.filter(
    ({load}) => Math.max(load.avoidedUntil, load.suspectedUntil) <= now,
  );
  if (available.length === 0) return candidates;
  const free = available.filter(({load}) => limitDelayMs(load, now) === 0);
  return free.length > 0
    ? sampleCandidates(free, now, usual, random)
    : available;
}

/**
 * Age up to which a report tells the load of an instance, in milliseconds: about
 * the duration of a request or two.
 */
const RECENT_REPORT_MS = 500;

/** Instances with older reports that are compared for one request. */
const SAMPLE_COUNT = 2;

/**
 * Chooses the instances that are compared for one request: those with a recent
 * report, and a few others at random, by their capacity.
 *
 * In a large fleet most reports are old. If each daemon compared all instances,
 * all would choose the same few, which were the fastest when they last reported.
 */
function sampleCandidates<T extends Candidate>(
  candidates: readonly T[],
  now: number,
  usual: UsualLoad,
  random: () => number,
): readonly T[] {
  const compared: T[] = [];
  const others: T[] = [];
  for (const candidate of candidates) {
    const isRecent = now - candidate.load.reportedAt <= RECENT_REPORT_MS;
    (isRecent ? compared : others).push(candidate);
  }
  if (others.length <= SAMPLE_COUNT) return candidates;
  for (let count = 0; count < SAMPLE_COUNT; count++) {
    const total = others.reduce(
      (sum, other) => sum + capacityOf(other, usual),
      0,
    );
    let rest = random() * total;
    const index = others.findIndex(
      other => (rest -= capacityOf(other, usual)) < 0,
    );
    compared.push(...others.splice(index, 1));
  }
  return compared;
}

/**
 * Cost per millisecond of the remaining avoidance, so that any other reachable
 * instance is preferred.
 */
const AVOID_PENALTY = 1000;
