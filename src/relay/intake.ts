/** A request that waits for admission while the process is overloaded. */
export interface IntakeRequest {
  /** Requests of a lower rank are started first. */
  readonly rank: number;
  readonly arrivedAt: number;
  /** Deadline; within a rank, the earliest deadline is started first. */
  readonly dueAt: number;
  /**
   * Maximum time that the request may wait in the queue, in milliseconds.
   */
  readonly waitMs: number;
}

/** Decisions on the queued requests in one turn of the event loop. */
export interface TurnPlan<T extends IntakeRequest> {
  readonly started: readonly T[];
  readonly refused: readonly T[];
  readonly deferred: readonly T[];
}

/** Measured cost of a request to the process. */
export interface RequestCost {
  /** Time to start one request, in milliseconds. */
  readonly startMs: number;
  /** Elapsed time per started request, including reads, in milliseconds. */
  readonly cycleMs: number;
}

/** Time of one turn for starting requests, in milliseconds. */
const TURN_MS = 25;

/**
 * Plans a turn: starts as many requests as fit into their time, by rank
 * and then by deadline, refuses those whose turn would come after their maximum
 * wait, and defers the rest to the next turn. At least one request is started
 * per turn unless all are refused.
 *
 * This sheds load when more requests arrive than the processor can handle, as
 * after a restart with cold code; running requests whose callers have given up
 * would keep the process behind. Look-ups, which are requests that another
 * request makes while it runs, have the earliest deadlines and are therefore
 * started first; without their results, the requests that depend on them could
 * not finish.
 *
 * @example
 * const {started, refused, deferred} =
 *   planTurn(waiting, performance.now(), cost);
 */
export function planTurn<T extends IntakeRequest>(
  waiting: readonly T[],
  now: number,
  {startMs, cycleMs}: RequestCost,
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
  return {started, refused, deferred};
}

/**
 * Admission control of the process: queues requests while its event loop is
 * overloaded.
 */
export interface Intake {
  /**
   * Admits a request: immediately while the process keeps up, otherwise through
   * the queue. A queued request is considered from the turn after its arrival,
   * when a disconnect of its caller would have been detected.
   *
   * @param isAbandoned Tells whether the request was stopped or its deadline
   *     has passed, so that it is taken out of the queue.
   * @returns undefined if admitted immediately; otherwise a promise of the
   *     time after which it may be retried, in milliseconds, if refused, or of
   *     undefined if the request was admitted or abandoned.
   */
  readonly admit: (
    rank: number,
    dueAt: number,
    waitMs: number,
    isAbandoned: () => boolean,
  ) => Promise<number | undefined> | undefined;
  /** Returns the number of queued requests. */
  readonly queueLength: () => number;
}

interface QueuedRequest extends IntakeRequest {
  readonly turn: number;
  readonly isAbandoned: () => boolean;
  readonly resolve: (retryAfterMs: number | undefined) => void;
}

/**
 * Duration of a turn from which the process counts as overloaded, in
 * milliseconds.
 */
const LONG_TURN_MS = 10;

/** Share of busy time from which the process counts as overloaded. */
const BUSY_SHARE = 0.8;

/**
 * Time for which the process counts as overloaded after such a turn, in
 * milliseconds.
 */
const OVERLOADED_FOR_MS = 250;

/** Weight of the newest sample in the moving means of the cost. */
const COST_WEIGHT = 0.2;

/** Cost that is assumed before the first measurement. */
const INITIAL_COST: RequestCost = {startMs: 2, cycleMs: 2};

/**
 * Microtasks from the start of a request until it is forwarded; the time that
 * they take is the cost of starting it.
 */
const START_MICROTASKS = 16;

/** Shortest Retry-After of a refused request, in milliseconds. */
const MIN_RETRY_MS = 300;

/**
 * Creates the admission control of a process.
 *
 * @param nextTurn Calls back after the event loop has read all pending input.
 * @param idleMs Returns the idle time of the event loop since the start of the
 *     process, in milliseconds.
 *
 * @example
 * const idleMs = () => performance.eventLoopUtilization().idle;
 * const intake = createIntake(() => performance.now(), setImmediate, idleMs);
 * const isAbandoned = () => response.destroyed;
 * const refusedMs = await intake.admit(0, dueAt, 200, isAbandoned);
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
  /** End of the last turn, and the idle time of the event loop up to it. */
  let turnEndedAt = clock();
  let idleMsAtTurnEnd = idleMs();

  const beginTurn = (now: number) => {
    if (isInTurn) return;
    isInTurn = true;
    turnStartedAt = now;
    startedInTurn = 0;
    nextTurn(endTurn);
    // Input that was read before this request in the same turn has delayed it
    // too.
    const sinceMs = now - turnEndedAt;
    if (sinceMs < LONG_TURN_MS) return;
    const busyMs = sinceMs - (idleMs() - idleMsAtTurnEnd);
    if (busyMs >= sinceMs * BUSY_SHARE) {
      overloadedUntil = now + OVERLOADED_FOR_MS;
    }
  };

  const updateCycleMs = (now: number) => {
    const spentMs = now - turnStartedAt;
    if (spentMs >= LONG_TURN_MS) overloadedUntil = now + OVERLOADED_FOR_MS;
    if (startedInTurn === 0) return;
    const cycleMs = movingMean(cost.cycleMs, spentMs / startedInTurn);
    cost = {...cost, cycleMs};
  };

  /** Measures the time until the started requests of a turn are forwarded. */
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
      // A disconnect of a caller whose request arrived in this turn is detected
      // in the next turn at the earliest.
      else if (entry.turn === turn) arrivedInTurn.push(entry);
      else ready.push(entry);
    }
    const {started, refused, deferred} = planTurn(ready, now, cost);
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
        waiting.push({...arrival, turn, isAbandoned, resolve});
      });
    },
    queueLength: () => waiting.length,
  };
}

function movingMean(previous: number, newest: number): number {
  return previous + COST_WEIGHT * (newest - previous);
}
