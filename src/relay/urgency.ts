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

/** Mean deviations by which a request may miss its objective. */
const OBJECTIVE_DEVIATIONS = 1;

/** Mean deviations by which a request that starts may miss its deadline. */
const DEADLINE_DEVIATIONS = 2;

/** Times by which admission is to expect an answer. */
export interface Limits {
  readonly objectiveAt: number;
  readonly deadlineAt: number;
}

/**
 * Sets the limits of a request's wait. Admission allows for nearly the longest
 * time that a request may take, which would leave no time to wait where the
 * objective is a few times the mean; so the limits are set later by a part of
 * that.
 *
 * Answers a service whose instances are as busy as they can be, with short
 * waits that most requests survive within their objective.
 *
 * @param spreadMs Mean deviation of the time that a request takes.
 *
 * @example
 * limitsOf({objectiveAt: 400, deadlineAt: 1200}, 70).objectiveAt; // 470
 */
export function limitsOf(
  {objectiveAt, deadlineAt}: Limits,
  spreadMs: number,
): Limits {
  return {
    objectiveAt: objectiveAt + spreadMs * OBJECTIVE_DEVIATIONS,
    deadlineAt: deadlineAt + spreadMs * DEADLINE_DEVIATIONS,
  };
}
