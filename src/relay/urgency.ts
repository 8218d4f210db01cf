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
