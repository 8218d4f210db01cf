import {
  NO_LIMIT,
  updateLimit,
  type ReportedLimit,
  type ReceivedStatement,
} from './limit.js';

/** Clock and callbacks of a statement tracker. */
export interface StatementTrackerContext {
  /** Monotonic time in milliseconds. */
  readonly clock: () => number;
  /** Called when the limit changes, with undefined if it was removed. */
  readonly onLimitChange: (perSecond: number | undefined) => void;
  /** Called for each response with the leaving flag. */
  readonly onLeaving: () => void;
  /** Called with invalid header values; identical ones in succession are skipped. */
  readonly onInvalidValue: (message: string) => void;
}

/** Tracks the rate limit of an instance from the statements in its responses. */
export interface StatementTracker {
  /** Records the statement of a response. */
  readonly record: (received: ReceivedStatement) => void;
  /**
   * Records a limit that the instance reported to another daemon. Ignored after
   * this process has received a response that states a limit, or any response
   * to an executed request, which could have removed the limit, until `begin`
   * is called. If several limits are adopted, the lowest applies.
   */
  readonly adoptLimit: (perSecond: number) => void;
  /** Clears all state at the start of a new process of the instance. */
  readonly begin: () => void;
  /** Returns the limit in requests per second; undefined without a limit. */
  readonly limit: () => number | undefined;
}

/**
 * Creates the tracker of one instance. No limit applies at first.
 *
 * @example
 * const statements = createStatementTracker({
 *   clock, onLimitChange, onLeaving, onInvalidValue});
 * statements.record({statement, sentAt, ran: true});
 */
export function createStatementTracker(
  context: StatementTrackerContext,
): StatementTracker {
  const {clock, onLimitChange, onLeaving, onInvalidValue} = context;
  let limit: ReportedLimit = NO_LIMIT;
  let hasDirectReport = false;
  let lastProblems = '';

  const setLimit = (next: ReportedLimit) => {
    const isChanged = next.perSecond !== limit.perSecond;
    limit = next;
    if (isChanged) onLimitChange(next.perSecond);
  };

  const reportProblems = (problems: readonly string[]) => {
    const message = problems.join('; ');
    if (message === lastProblems) return;
    lastProblems = message;
    onInvalidValue(message);
  };

  return {
    record: received => {
      const {statement, ran} = received;
      hasDirectReport ||= ran || statement.limit !== undefined;
      if (statement.problems.length > 0) reportProblems(statement.problems);
      setLimit(updateLimit(limit, received, clock()));
      if (statement.isLeaving) onLeaving();
    },
    adoptLimit: perSecond => {
      if (hasDirectReport || !(perSecond >= 0)) return;
      const lowest = Math.min(perSecond, limit.perSecond ?? Infinity);
      setLimit({perSecond: lowest, reportedAt: clock()});
    },
    begin: () => {
      setLimit(NO_LIMIT);
      hasDirectReport = false;
      lastProblems = '';
    },
    limit: () => limit.perSecond,
  };
}
