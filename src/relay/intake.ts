/** A request that waits until a busy process turns to it. */
export interface IntakeRequest {
  /** Requests of a lower rank go first. */
  readonly rank: number;
  readonly arrivedAt: number;
  /** Deadline; within a rank the nearest one goes first. */
  readonly dueAt: number;
  /** Longest time that it waits, in milliseconds. */
  readonly waitMs: number;
}

/** What becomes of waiting requests in one turn. */
export interface TurnPlan<T extends IntakeRequest> {
  readonly started: readonly T[];
  readonly refused: readonly T[];
  readonly deferred: readonly T[];
}

/** What requests take of a process. */
export interface RequestCost {
  /** Time in which one request is begun, in milliseconds. */
  readonly startMs: number;
  /** Time that passes for each request that is begun, reading included. */
  readonly cycleMs: number;
}

/** Time for which one turn begins requests, in milliseconds. */
const TURN_MS = 25;

/**
 * Plans a turn: begins as many requests as the turn has time for, by rank and
 * then by deadline, and refuses those that would not be reached in time. The
 * others wait for the next turn.
 *
 * Answers more requests than the processor bears, as after a restart with cold
 * code: work on what nobody waits for any more would keep the process behind.
 * Look-ups, without which the work of others is lost, have the nearest deadlines.
 *
 * @example
 * const {begun, refused, kept} = planTurn(waiting, performance.now(), pace);
 */
export function planTurn<T extends IntakeRequest>(
  waiting: readonly T[],
  now: number,
  {startMs: startMs, cycleMs: cycleMs}: RequestCost,
): TurnPlan<T> {
  const ordered = [...waiting].sort(
    (a, b) => a.rank - b.rank || a.dueAt - b.dueAt,
  );
  const count = Math.max(1, Math.floor(TURN_MS / startMs));
  const started: T[] = [];
  const refused: T[] = [];
  const deferred: T[] = [];
  for (const request of ordered) {
    const {arrivedAt, waitMs} = request;
    const aheadMs = (started.length + deferred.length) * cycleMs;
    if (now - arrivedAt + aheadMs > waitMs) refused.push(request);
    else if (started.length < count) started.push(request);
    else deferred.push(request);
  }
  return {started: started, refused, deferred: deferred};
}

/** What lets requests in. */
export interface Intake {
  /**
   * Lets a request in, at once where the process keeps up. Where it does not, a
   * request waits for a turn after one in which it would have been heard that its
   * sender has gone.
   *
   * @param isAbandoned Tells whether nobody waits for the request any more.
   * @returns the time after which a refused request may come back, in
   * milliseconds; undefined for one that is let in.
   */
  readonly admit: (
    rank: number,
    dueAt: number,
    waitMs: number,
    isAbandoned: () => boolean,
  ) => Promise<number | undefined> | undefined;
  /** Requests that wait. */
  readonly queueLength: () => number;
}

interface QueuedRequest extends IntakeRequest {
  readonly turn: number;
  readonly isAbandoned: () => boolean;
  readonly resolve: (retryAfterMs: number | undefined) => void;
}

/** Time of one turn from which the process counts as behind, in milliseconds. */
const LONG_TURN_MS = 10;

/** Share of the time without rest from which it counts as behind. */
const BUSY_SHARE = 0.8;

/** Time for which it counts as behind after such a turn, in milliseconds. */
const OVERLOADED_FOR_MS = 250;

/** Weight of the newest turn in the mean pace. */
const COST_WEIGHT = 0.2;

/** Pace before any was measured. */
const INITIAL_COST: RequestCost = {startMs: 2, cycleMs: 2};

/**
 * Promises that follow each other when a request is begun, until it is sent on;
 * what they take is its cost.
 */
const START_MICROTASKS = 16;

/** Shortest Retry-After of a request that is refused, in milliseconds. */
const MIN_RETRY_MS = 300;

/**
 * Creates an intake.
 *
 * @param nextTurn Calls back once the process has read what has arrived.
 * @param idleMs Returns the time for which the process has waited for something to
 *     arrive since its start, in milliseconds.
 *
 * @example
 * const idleMs = () => performance.eventLoopUtilization().idle;
 * const intake = createIntake(() => performance.now(), setImmediate, idleMs);
 * const isGone = () => response.destroyed;
 * const refusedMs = await intake.enter(0, dueAt, 200, isGone);
 */
export function createIntake(
  clock: () => number,
  nextTurn: (call: () => void) => unknown,
  idleMs: () => number,
): Intake {
  let waiting: QueuedRequest[] = [];
  let turn = 0;
  let isInTurn = false;
  let turnStartedAt = 0;
  let startedInTurn = 0;
  let cost = INITIAL_COST;
  let overloadedUntil = -Infinity;
  /** End of the last turn, and the time that was idle until then. */
  let turnEndedAt = clock();
  let idleMsAtTurnEnd = idleMs();

  const beginTurn = (now: number) => {
    if (isInTurn) return;
    isInTurn = true;
    turnStartedAt = now;
    startedInTurn = 0;
    nextTurn(endTurn);
    // What was read before this request has kept it waiting as well.
    const sinceMs = now - turnEndedAt;
    const busyMs = sinceMs - (idleMs() - idleMsAtTurnEnd);
    if (sinceMs >= LONG_TURN_MS && busyMs >= sinceMs * BUSY_SHARE) {
      overloadedUntil = now + OVERLOADED_FOR_MS;
    }
  };

  const updateCycleMs = (now: number) => {
    const spentMs = now - turnStartedAt;
    if (spentMs >= LONG_TURN_MS) overloadedUntil = now + OVERLOADED_FOR_MS;
    if (startedInTurn === 0) return;
    const cycleMs = movingMean(cost.cycleMs, spentMs / startedInTurn);
    cost = {...cost, cycleMs: cycleMs};
  };

  /** Measures what it takes until the requests of a turn are sent on. */
  const updateStartMs = async (startedAt: number, count: number) => {
    for (let step = 0; step < START_MICROTASKS; step++) await undefined;
    const newest = (clock() - startedAt) / count;
    cost = {...cost, startMs: movingMean(cost.startMs, newest)};
  };

  const endTurn = () => {
    const now = clock();
    updateCycleMs(now);
    turnEndedAt = now;
    idleMsAtTurnEnd = idleMs();
    isInTurn = false;
    const ready: QueuedRequest[] = [];
    const arrivedInTurn: QueuedRequest[] = [];
    for (const entry of waiting) {
      if (entry.isAbandoned()) entry.resolve(undefined);
      // What arrived in this turn is not heard to be over before the next.
      else if (entry.turn === turn) arrivedInTurn.push(entry);
      else ready.push(entry);
    }
    const {
      started: started,
      refused,
      deferred: deferred,
    } = planTurn(ready, now, cost);
    waiting = [...deferred, ...arrivedInTurn];
    turn += 1;
    if (waiting.length > 0 || started.length > 0) beginTurn(now);
    startedInTurn = started.length;
    for (const entry of started) entry.resolve(undefined);
    if (started.length > 0) void updateStartMs(now, started.length);
    const retryMs = Math.max(MIN_RETRY_MS, waiting.length * cost.cycleMs);
    for (const entry of refused) entry.resolve(retryMs);
  };

  return {
    admit: (rank, dueAt, waitMs, isAbandoned) => {
      const now = clock();
      beginTurn(now);
      const isKeepingUp =
        waiting.length === 0 &&
        now >= overloadedUntil &&
        now - turnStartedAt < LONG_TURN_MS;
      if (isKeepingUp) {
        startedInTurn += 1;
        return undefined;
      }
      return new Promise(resolve => {
        const arrival = {rank, dueAt, waitMs, arrivedAt: now};
        waiting.push({...arrival, turn, isAbandoned: isAbandoned, resolve});
      });
    },
    queueLength: () => waiting.length,
  };
}

function movingMean(previous: number, newest: number): number {
  return previous + COST_WEIGHT * (newest - previous);
}
