import type {Route} from './configuration.js';

/** Where a request stands among those that wait for the same instance. */
export interface Urgency {
  /** Lower ones go first. */
  readonly priority: number;
  /** Time by which it is to be answered to count in full. */
  readonly objectiveAt: number;
}

/** Ranks of one priority: short work, then all other. */
const RANKS = 2;

/**
 * Ranks a request. Within a priority short work goes first: it delays longer
 * work by little, and it is mostly called by a request that already runs and is
 * wasted without it. For the same reason it counts in full up to its deadline.
 *
 * Answers a service whose slots are short while running requests of another
 * service depend on its look-ups.
 *
 * @example
 * rank(route, true, now, now + 400).objectiveAt; // now + 400
 */
export function rank(
  route: Route,
  isShort: boolean,
  startedAt: number,
  deadlineAt: number,
): Urgency {
  if (isShort) {
    return {priority: route.priority * RANKS, objectiveAt: deadlineAt};
  }
  return {
    priority: route.priority * RANKS + 1,
    objectiveAt: startedAt + route.objectiveMs,
  };
}

/** Mean deviations by which a request with little time may miss its deadline. */
const SHORT_DEVIATIONS = 3;

/** What is known of the time that requests of a rank take, in milliseconds. */
export interface Spread {
  /** Mean deviation from the mean. */
  readonly deviationMs: number;
  /** A time that nearly all of them stay under. */
  readonly cautiousMs: number;
}

/**
 * Sets the time by which admission is to expect an answer. Admission allows for
 * nearly the longest time that a request may take. One whose whole time is less
 * than that would never wait, however short the queue, so it is allowed to miss
 * its deadline now and then.
 *
 * Answers routes with time limits near the time that their requests take.
 *
 * @example
 * admissionDeadline(300, 0, {deviationMs: 50, cautiousMs: 320}); // 450
 */
export function admissionDeadline(
  deadlineAt: number,
  now: number,
  {deviationMs, cautiousMs}: Spread,
): number {
  if (deadlineAt - now > cautiousMs) return deadlineAt;
  return deadlineAt + deviationMs * SHORT_DEVIATIONS;
}
