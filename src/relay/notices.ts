import type {Incarnation} from '../ranges/index.js';
import {
  NO_LIMIT,
  updateLimit,
  type ReportedLimit,
  type ReceivedStatement,
} from '../upstream/index.js';

/** What answers that this daemon passed on have said of their instances. */
export interface InstanceNotices {
  /** Takes what an answer says of the life of the instance that made it. */
  readonly record: (
    incarnation: Incarnation,
    answer: ReceivedStatement,
    now: number,
  ) => void;
  /** Tells whether an instance has left by its own account. */
  readonly hasLeft: (incarnation: Incarnation, now: number) => boolean;
  /** Requests a second that an instance named last; undefined without a limit. */
  readonly rateLimit: (incarnation: Incarnation) => number | undefined;
}

/** What a life of an instance has said of itself. */
interface Notice {
  readonly limit: ReportedLimit;
  /** Time at which it first said that it leaves; Infinity before. */
  readonly leavingAt: number;
}

const NO_NOTICE: Notice = {limit: NO_LIMIT, leavingAt: Infinity};

/** Lives that are remembered; the ones heard of longest ago are forgotten. */
const MAX_INCARNATIONS = 4096;

/**
 * Creates the memory of what instances said in answers that were passed on. It
 * lasts as long as the process, so that an instance that leaves gets no requests
 * from here even where the daemon beside it or the store has no record of it.
 *
 * @param gracePeriodMs Time for which an instance that leaves still takes requests.
 *
 * @example
 * const heard = createHeard(() => 800);
 * heard.hear(lifeOf(member), answer, performance.now());
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
