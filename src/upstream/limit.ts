import type {Statement} from './statement.js';

/** The limit that an instance names, as far as its answers tell. */
export interface ReportedLimit {
  /** Requests a second from all daemons together; undefined without a limit. */
  readonly perSecond?: number;
  /** Time of the last answer that named it, in milliseconds of the clock. */
  readonly reportedAt: number;
}

/** Nothing is known of a limit. */
export const NO_LIMIT: ReportedLimit = {reportedAt: -Infinity};

/** An answer in which an instance says something of itself. */
export interface ReceivedStatement {
  readonly statement: Statement;
  /** Time at which the request was sent, in milliseconds of the clock. */
  readonly sentAt: number;
  /** The instance ran the request. */
  readonly ran: boolean;
}

/**
 * Applies what an answer says of a limit. Any answer names one; only an answer
 * to a request that ran ends it, as refusals may say less, and only if the
 * request was sent after the last answer that named the limit, as answers on
 * several connections overtake each other.
 *
 * @param now Time at which the answer arrived.
 *
 * @example
 * const answer = {statement, sentAt: 1000, ran: true};
 * applyAnswer(NO_LIMIT, answer, 1020).perSecond; // 18.1
 */
export function updateLimit(
  known: ReportedLimit,
  {statement, sentAt, ran}: ReceivedStatement,
  now: number,
): ReportedLimit {
  if (statement.problems.length > 0) return known;
  const {limit} = statement;
  if (limit !== undefined) return {perSecond: limit, reportedAt: now};
  const isNewer = ran && sentAt >= known.reportedAt;
  return isNewer ? NO_LIMIT : known;
}
