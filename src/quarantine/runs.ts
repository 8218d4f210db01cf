/** Start of an instance: it may start again under the same id. */
export interface Life {
  readonly id: string;
  readonly born: number;
}

/** A request that an instance has not answered. */
export interface UnansweredRun<D> {
  readonly description: D;
  /** Time at which it ended, in milliseconds of the clock. */
  readonly endedAt: number;
}

/**
 * How long after a run has ended without an answer an answer of the same
 * instance may still be read that was sent before, in milliseconds.
 */
const READ_ORDER_MS = 100;

/**
 * Returns the runs under which an instance may have ended: those after which it
 * has answered nothing.
 *
 * @param lastAnswerAt Time of its last answer, in milliseconds of the clock.
 *
 * @example
 * unansweredSince(runs, lastAnswerAt).length; // 3
 */
export function unansweredSince<D>(
  runs: readonly UnansweredRun<D>[],
  lastAnswerAt: number,
): UnansweredRun<D>[] {
  return runs.filter(({endedAt}) => endedAt >= lastAnswerAt - READ_ORDER_MS);
}

/**
 * Records how a request at an instance ended: with a complete answer, with the
 * statement that it was not run or an answer that can't be used, or without an
 * answer.
 */
export type EndRun = (outcome: 'answered' | 'refused' | 'unanswered') => void;

/** Requests at the instance beside a daemon, until that instance ends. */
export interface InstanceRuns<T> {
  /** Records that a request is sent to the instance. */
  readonly begin: (life: Life, request: T) => EndRun;
  /**
   * Records the proof that the instance has ended unplanned. Later calls for
   * the same life have no effect.
   */
  readonly recordEnd: (life: Life) => void;
}

/** Dependencies of the record of requests at the instance. */
export interface InstanceRunsOptions<T, D> {
  readonly clock: () => number;
  /** Describes a request without its body, which is not kept. */
  readonly describe: (request: T) => D;
  /**
   * Called with the requests that were in flight when the instance ended: those
   * that still run, and those without an answer.
   */
  readonly onEnd: (life: Life, requests: readonly D[]) => void;
  /**
   * Called when a request has ended without an answer: the instance may have
   * ended.
   */
  readonly onUnanswered: (life: Life) => void;
}

/** Largest number of recorded runs that ended without an answer. */
const MAX_UNANSWERED = 64;

/**
 * Creates the record of the requests at the instance beside a daemon.
 *
 * @example
 * const runs = createInstanceRuns({clock, describe, onEnd, onUnanswered});
 * const end = runs.begin(life, request);
 * end('answered');
 */
export function createInstanceRuns<T, D>(
  options: InstanceRunsOptions<T, D>,
): InstanceRuns<T> {
  const {clock, describe} = options;
  let current: Life | undefined;
  let hasEnded = false;
  let lastAnswerAt = -Infinity;
  let running = new Set<{readonly request: T}>();
  let unanswered: UnansweredRun<D>[] = [];
  const isCurrent = ({id, born}: Life) =>
    current?.id === id && current.born === born;
  return {
    begin: (life, request) => {
      if (!isCurrent(life)) {
        current = life;
        hasEnded = false;
        lastAnswerAt = -Infinity;
        running = new Set();
        unanswered = [];
      }
      const run = {request};
      running.add(run);
      return outcome => {
        if (!running.delete(run)) return;
        const now = clock();
        if (outcome !== 'unanswered') {
          lastAnswerAt = now;
          if (unanswered.length > 0)
            unanswered = unansweredSince(unanswered, now);
          return;
        }
        unanswered.push({description: describe(request), endedAt: now});
        if (unanswered.length > MAX_UNANSWERED) unanswered.shift();
        if (!hasEnded) options.onUnanswered(life);
      };
    },
    recordEnd: life => {
      if (!isCurrent(life) || hasEnded) return;
      hasEnded = true;
      const ended = unansweredSince(unanswered, lastAnswerAt);
      unanswered = [];
      options.onEnd(life, [
        ...ended.map(({description}) => description),
        ...[...running].map(({request}) => describe(request)),
      ]);
    },
  };
}
