import {
  NO_LIMIT,
  applyAnswer,
  type LocalInstance,
  type NamedLimit,
  type StatedAnswer,
} from '../relay/index.js';
import type {Log} from '../telemetry/index.js';
import {SIDECAR_EVENTS} from './events.js';

/** A life of an instance beside a daemon. */
export type Life = Pick<LocalInstance, 'id' | 'born'>;

/** What is done with the statements of the instance beside a daemon. */
export interface StatementsContext {
  readonly clock: () => number;
  /** The instance beside; undefined while none is known. */
  readonly life: () => Life | undefined;
  /** Told of each change of the limit; undefined where there is none. */
  readonly limited: (perSecond: number | undefined) => void;
  /** Told once that the instance is about to end. */
  readonly leaving: () => void;
  readonly log: Log;
}

/** What the instance beside a daemon has said of itself in its answers. */
export interface Statements {
  /** Takes what an answer says; one of another life is passed over. */
  readonly hear: (from: Life, answer: StatedAnswer) => void;
  /**
   * Takes a limit that the instance has named to another daemon, as long as this
   * process has had no answer from it.
   */
  readonly assume: (upstream: string, perSecond: number) => void;
  /** Forgets an earlier life. */
  readonly begin: () => void;
  /** Requests a second that the instance takes; undefined without a limit. */
  readonly limit: () => number | undefined;
}

/**
 * Creates the memory of what the instance beside a daemon says of itself.
 *
 * @example
 * const statements = createStatements(context);
 * statements.hear(local, {statement, sentAt, ran: true});
 */
export function createStatements(context: StatementsContext): Statements {
  const {clock, life, limited, leaving, log} = context;
  let limit: NamedLimit = NO_LIMIT;
  let isLeaving = false;
  let hasHeard = false;
  let problem = '';

  const changeLimit = (upstream: string, next: NamedLimit) => {
    const {perSecond} = next;
    const isChanged = perSecond !== limit.perSecond;
    limit = next;
    if (!isChanged) return;
    limited(perSecond);
    if (perSecond === undefined) log(SIDECAR_EVENTS.limitEnded, {upstream});
    else log(SIDECAR_EVENTS.limitNamed, {upstream, perSecond});
  };

  const reportProblems = (upstream: string, problems: readonly string[]) => {
    const message = problems.join('; ');
    if (message === problem) return;
    problem = message;
    log(SIDECAR_EVENTS.statementUnreadable, {upstream, message});
  };

  return {
    hear: (from, answer) => {
      const own = life();
      if (own?.id !== from.id || own.born !== from.born) return;
      hasHeard = true;
      const {statement} = answer;
      const upstream = from.id;
      if (statement.problems.length > 0) {
        reportProblems(upstream, statement.problems);
      }
      changeLimit(upstream, applyAnswer(limit, answer, clock()));
      if (!statement.isLeaving || isLeaving) return;
      isLeaving = true;
      log(SIDECAR_EVENTS.leavingStated, {upstream});
      leaving();
    },
    assume: (upstream, perSecond) => {
      if (hasHeard || life()?.id !== upstream || !(perSecond >= 0)) return;
      const lowest = Math.min(perSecond, limit.perSecond ?? Infinity);
      changeLimit(upstream, {perSecond: lowest, namedAt: clock()});
    },
    begin: () => {
      hasHeard = false;
      limit = NO_LIMIT;
      isLeaving = false;
      problem = '';
    },
    limit: () => limit.perSecond,
  };
}
