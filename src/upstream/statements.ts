import {
  NO_LIMIT,
  applyAnswer,
  type NamedLimit,
  type StatedAnswer,
} from './limit.js';

/** What is done with what one life of an instance says of itself. */
export interface StatementsContext {
  /** Milliseconds that never go back. */
  readonly clock: () => number;
  /** Told of each change of the limit; undefined where there is none. */
  readonly limited: (perSecond: number | undefined) => void;
  /** Told each time that the instance says that it is about to end. */
  readonly leaving: () => void;
  /** Told of values that can't be read, once for each. */
  readonly unreadable: (message: string) => void;
}

/** What an instance has said of itself in its answers. */
export interface Statements {
  readonly hear: (answer: StatedAnswer) => void;
  /**
   * Takes a limit that the instance has named to another daemon, as long as no
   * answer to this process has named one or could have ended it.
   */
  readonly assume: (perSecond: number) => void;
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
export function createStatements(context: StatementsContext): Statements {
  const {clock, limited, leaving, unreadable} = context;
  let limit: NamedLimit = NO_LIMIT;
  let hasHeard = false;
  let problem = '';

  const take = (next: NamedLimit) => {
    const isChanged = next.perSecond !== limit.perSecond;
    limit = next;
    if (isChanged) limited(next.perSecond);
  };

  const reportProblems = (problems: readonly string[]) => {
    const message = problems.join('; ');
    if (message === problem) return;
    problem = message;
    unreadable(message);
  };

  return {
    hear: answer => {
      const {statement, ran} = answer;
      hasHeard ||= ran || statement.limit !== undefined;
      if (statement.problems.length > 0) reportProblems(statement.problems);
      take(applyAnswer(limit, answer, clock()));
      if (statement.isLeaving) leaving();
    },
    assume: perSecond => {
      if (hasHeard || !(perSecond >= 0)) return;
      const lowest = Math.min(perSecond, limit.perSecond ?? Infinity);
      take({perSecond: lowest, namedAt: clock()});
    },
    begin: () => {
      take(NO_LIMIT);
      hasHeard = false;
      problem = '';
    },
    limit: () => limit.perSecond,
  };
}
