import type {Incarnation} from '../ranges/index.js';
import {
  NO_LIMIT,
  updateLimit,
  type ReportedLimit,
  type ReceivedStatement,
} from '../upstream/index.js';

/** What answers that this daemon passed on have said of their instances. */
export interface Heard {
  /** Takes what an answer says of the life of the instance that made it. */
  readonly hear: (
    life: Incarnation,
    answer: ReceivedStatement,
    now: number,
  ) => void;
  /** Tells whether an instance has left by its own account. */
  readonly hasLeft: (life: Incarnation, now: number) => boolean;
  /** Requests a second that an instance named last; undefined without a limit. */
  readonly limit: (life: Incarnation) => number | undefined;
}

/** What a life of an instance has said of itself. */
interface Account {
  readonly limit: ReportedLimit;
  /** Time at which it first said that it leaves; Infinity before. */
  readonly leavingAt: number;
}

const SILENT: Account = {limit: NO_LIMIT, leavingAt: Infinity};

/** Lives that are remembered; the ones heard of longest ago are forgotten. */
const MOST_LIVES = 4096;

/**
 * Creates the memory of what instances said in answers that were passed on. It
 * lasts as long as the process, so that an instance that leaves gets no requests
 * from here even where the daemon beside it or the store has no record of it.
 *
 * @param openMs Time for which an instance that leaves still takes requests.
 *
 * @example
 * const heard = createHeard(() => 800);
 * heard.hear(lifeOf(member), answer, performance.now());
 */
export function createHeard(openMs: () => number): Heard {
  const accounts = new Map<string, Account>();
  const accountOf = (life: Incarnation) => accounts.get(nameOf(life)) ?? SILENT;
  return {
    hear: (life, answer, now) => {
      const name = nameOf(life);
      const known = accounts.get(name) ?? SILENT;
      const limit = updateLimit(known.limit, answer, now);
      const {isLeaving} = answer.statement;
      const leavingAt = Math.min(known.leavingAt, isLeaving ? now : Infinity);
      const isSilent = limit === NO_LIMIT && leavingAt === Infinity;
      accounts.delete(name);
      if (isSilent) return;
      accounts.set(name, {limit, leavingAt});
      if (accounts.size <= MOST_LIVES) return;
      const [oldest] = accounts.keys();
      accounts.delete(oldest);
    },
    hasLeft: (life, now) => {
      if (accounts.size === 0) return false;
      return now >= accountOf(life).leavingAt + openMs();
    },
    limit: life => {
      if (accounts.size === 0) return undefined;
      return accountOf(life).limit.perSecond;
    },
  };
}

function nameOf({node, id, born}: Incarnation): string {
  return `${node} ${id} ${born}`;
}
