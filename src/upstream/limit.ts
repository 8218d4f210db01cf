import type {Statement} from './statement.js';

/** The rate limit of an instance, as reported in its responses. */
export interface ReportedLimit {
  /** Requests per second from all daemons together; undefined without a limit. */
  readonly perSecond?: number;
  /** Time of the last response with a limit, in milliseconds of the clock. */
  readonly reportedAt: number;
}

/** No limit has been reported. */
export const NO_LIMIT: ReportedLimit = {reportedAt: -Infinity};

/** A statement, with the circumstances in which it was received. */
export interface ReceivedStatement {
  readonly statement: Statement;
  /** Time at which the request was sent, in milliseconds of the clock. */
  readonly sentAt: number;
  /** The instance executed the request. */
  readonly ran: boolean;
}

/**
 * Returns the limit after a response. Any response can set a limit. A response
 * without a limit removes it only if the request was executed, as refusals may
 * omit the limit, and only if the request was sent after the last response with a
 * limit, as responses on different connections overtake each other. A statement
 * with invalid values changes nothing.
 *
 * @param now Time at which the response arrived.
 *
 * @example
 * const received = {statement, sentAt: 1000, ran: true};
 * updateLimit(NO_LIMIT, received, 1020).perSecond; // 18.1
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
