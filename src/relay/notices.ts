import type {Incarnation} from '../ranges/index.js';
import {
  NO_LIMIT,
  updateLimit,
  type ReportedLimit,
  type ReceivedStatement,
} from '../upstream/index.js';

/**
 * Rate limits and leaving notices that instances stated in answers which this
 * daemon forwarded.
 */
export interface InstanceNotices {
  /** Records the statements of an answer about the incarnation that sent it. */
  readonly record: (
    incarnation: Incarnation,
    answer: ReceivedStatement,
    now: number,
  ) => void;
  /**
   * Tells whether an instance announced that it leaves and its grace period has
   * passed.
   */
  readonly hasLeft: (incarnation: Incarnation, now: number) => boolean;
  /**
   * Returns the rate limit that an instance stated last, in requests a second;
   * undefined without a limit.
   */
  readonly rateLimit: (incarnation: Incarnation) => number | undefined;
}

/** Statements of one incarnation about itself. */
interface Notice {
  readonly limit: ReportedLimit;
  /** Time at which it first announced that it leaves; Infinity before. */
  readonly leavingAt: number;
}

const NO_NOTICE: Notice = {limit: NO_LIMIT, leavingAt: Infinity};

/**
 * Largest number of recorded incarnations; the least recently updated one is
 * evicted first.
 */
const MAX_INCARNATIONS = 4096;

/**
 * Creates the record of statements. The record is kept in memory for the
 * lifetime of the process, for at most 4096 incarnations; the least recently
 * updated one is evicted. A leaving instance thus gets no requests from here
 * even where neither the daemon beside it nor the store has a record of its
 * leaving.
 *
 * @param gracePeriodMs Returns the time for which a leaving instance still
 *     accepts requests, in milliseconds.
 *
 * @example
 * const notices = createInstanceNotices(() => 800);
 * notices.record(lifeOf(member), answer, performance.now());
 */
export function createInstanceNotices(
  gracePeriodMs: () => number,
): InstanceNotices {
  const notices = new Map<string, Notice>();
  const noticeOf = (incarnation: Incarnation) =>
    notices.get(keyOf(incarnation)) ?? NO_NOTICE;
  return {
    record: (incarnation, answer, now) => {
      const key = keyOf(incarnation);
      const previous = notices.get(key) ?? NO_NOTICE;
      const limit = updateLimit(previous.limit, answer, now);
      const {isLeaving} = answer.statement;
      const leavingAt = Math.min(
        previous.leavingAt,
        isLeaving ? now : Infinity,
      );
      const isEmpty = limit === NO_LIMIT && leavingAt === Infinity;
      notices.delete(key);
      if (isEmpty) return;
      notices.set(key, {limit, leavingAt});
      if (notices.size <= MAX_INCARNATIONS) return;
      const [oldest] = notices.keys();
      notices.delete(oldest);
    },
    hasLeft: (incarnation, now) => {
      if (notices.size === 0) return false;
      return now >= noticeOf(incarnation).leavingAt + gracePeriodMs();
    },
    rateLimit: incarnation => {
      if (notices.size === 0) return undefined;
      return noticeOf(incarnation).limit.perSecond;
    },
  };
}

function keyOf({node, id, born}: Incarnation): string {
  return `${node} ${id} ${born}`;
}
