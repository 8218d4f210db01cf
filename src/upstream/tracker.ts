import {
  NO_LIMIT,
  updateLimit,
  type ReportedLimit,
  type ReceivedStatement,
} from './limit.js';

/** What is done with what one life of an instance says of itself. */
export interface StatementTrackerContext {
  /** Milliseconds that never go back. */
  readonly clock: () => number;
  /** Told of each change of the limit; undefined where there is none. */
  readonly onLimitChange: (perSecond: number | undefined) => void;
  /** Told each time that the instance says that it is about to end. */
  readonly onLeaving: () => void;
  /** Told of values that can't be read, once for each. */
  readonly onInvalidValue: (message: string) => void;
}

/** What an instance has said of itself in its answers. */
export interface StatementTracker {
  readonly record: (received: ReceivedStatement) => void;
  /**
   * Takes a limit that the instance has named to another daemon, as long as no
   * answer to this process has named one or could have ended it.
   */
  readonly adoptLimit: (perSecond: number) => void;
  /** Forgets an earlier life, and that it named a limit. */
  readonly begin: () => void;
  /** Requests a second that the instance takes; undefined without a limit. */
  readonly limit: () => number | undefined;
}

/**
 * Creates the memory of what an instance says of itself.
 *
 * @example
 * const statements = createStatements({clock, limited, leaving, unreadable});
 * statements.hear({statement, sentAt, ran: true});
 */
export function createStatementTracker(
  context: StatementTrackerContext,
): StatementTracker {
  const {
    clock,
    onLimitChange: onLimitChange,
    onLeaving: onLeaving,
    onInvalidValue: onInvalidValue,
  } = context;
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
