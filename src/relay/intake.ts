/** A request that waits until a busy process turns to it. */
export interface Arrival {
  /** Requests of a lower rank go first. */
  readonly rank: number;
  readonly arrivedAt: number;
  /** Deadline; within a rank the nearest one goes first. */
  readonly dueAt: number;
  /** Longest time that it waits, in milliseconds. */
  readonly waitMs: number;
}

/** What becomes of waiting requests in one turn. */
export interface TurnPlan<T extends Arrival> {
  readonly begun: readonly T[];
  readonly refused: readonly T[];
  readonly kept: readonly T[];
}

/** What requests take of a process. */
export interface Pace {
  /** Time in which one request is begun, in milliseconds. */
  readonly beginMs: number;
  /** Time that passes for each request that is begun, reading included. */
  readonly passMs: number;
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
export function planTurn<T extends Arrival>(
  waiting: readonly T[],
  now: number,
  {beginMs, passMs}: Pace,
): TurnPlan<T> {
  const ordered = [...waiting].sort(
    (a, b) => a.rank - b.rank || a.dueAt - b.dueAt,
  );
  const count = Math.max(1, Math.floor(TURN_MS / beginMs));
  const begun: T[] = [];
  const refused: T[] = [];
  const kept: T[] = [];
  for (const arrival of ordered) {
    const {arrivedAt, waitMs} = arrival;
    const aheadMs = (begun.length + kept.length) * passMs;
    if (now - arrivedAt + aheadMs > waitMs) refused.push(arrival);
    else if (begun.length < count) begun.push(arrival);
    else kept.push(arrival);
  }
  return {begun, refused, kept};
}

/** What lets requests in. */
export interface Intake {
  /**
   * Lets a request in, at once where the process keeps up. Where it does not, a
   * request waits for a turn after one in which it would have been heard that its
   * sender has gone.
   *
   * @param isOver Tells whether nobody waits for the request any more.
   * @returns the time after which a refused request may come back, in
   * milliseconds; undefined for one that is let in.
   */
  readonly enter: (
    rank: number,
    dueAt: number,
    waitMs: number,
    isOver: () => boolean,
  ) => Promise<number | undefined> | undefined;
  /** Requests that wait. */
  readonly waiting: () => number;
}

interface Entry extends Arrival {
  readonly turn: number;
  readonly isOver: () => boolean;
  readonly resolve: (retryAfterMs: number | undefined) => void;
}

/** Time of one turn from which the process counts as behind, in milliseconds. */
const BEHIND_MS = 10;

/** Share of the time without rest from which it counts as behind. */
const BUSY_SHARE = 0.8;

/** Time for which it counts as behind after such a turn, in milliseconds. */
const BEHIND_FOR_MS = 250;

/** Weight of the newest turn in the mean pace. */
const PACE_WEIGHT = 0.2;

/** Pace before any was measured. */
const FIRST_PACE: Pace = {beginMs: 2, passMs: 2};

/**
 * Promises that follow each other when a request is begun, until it is sent on;
 * what they take is its cost.
 */
const BEGIN_STEPS = 16;

/** Shortest Retry-After of a request that is refused, in milliseconds. */
const SHORTEST_RETRY_MS = 300;

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
  let waiting: Entry[] = [];
  let turn = 0;
  let isTurning = false;
  let turnedAt = 0;
  let begunInTurn = 0;
  let pace = FIRST_PACE;
  let behindUntil = -Infinity;
  /** End of the last turn, and the time that was idle until then. */
  let closedAt = clock();
  let idleAtClose = idleMs();

  const open = (now: number) => {
    if (isTurning) return;
    isTurning = true;
    turnedAt = now;
    begunInTurn = 0;
    nextTurn(close);
    // What was read before this request has kept it waiting as well.
    const sinceMs = now - closedAt;
    const busyMs = sinceMs - (idleMs() - idleAtClose);
    if (sinceMs >= BEHIND_MS && busyMs >= sinceMs * BUSY_SHARE) {
      behindUntil = now + BEHIND_FOR_MS;
    }
  };

  const measure = (now: number) => {
    const spentMs = now - turnedAt;
    if (spentMs >= BEHIND_MS) behindUntil = now + BEHIND_FOR_MS;
    if (begunInTurn === 0) return;
    const passMs = mean(pace.passMs, spentMs / begunInTurn);
    pace = {...pace, passMs};
  };

  /** Measures what it takes until the requests of a turn are sent on. */
  const measureBegin = async (startedAt: number, count: number) => {
    for (let step = 0; step < BEGIN_STEPS; step++) await undefined;
    const newest = (clock() - startedAt) / count;
    pace = {...pace, beginMs: mean(pace.beginMs, newest)};
  };

  const close = () => {
    const now = clock();
    measure(now);
    closedAt = now;
    idleAtClose = idleMs();
    isTurning = false;
    const ready: Entry[] = [];
    const fresh: Entry[] = [];
    for (const entry of waiting) {
      if (entry.isOver()) entry.resolve(undefined);
      // What arrived in this turn is not heard to be over before the next.
      else if (entry.turn === turn) fresh.push(entry);
      else ready.push(entry);
    }
    const {begun, refused, kept} = planTurn(ready, now, pace);
    waiting = [...kept, ...fresh];
    turn += 1;
    if (waiting.length > 0 || begun.length > 0) open(now);
    begunInTurn = begun.length;
    for (const entry of begun) entry.resolve(undefined);
    if (begun.length > 0) void measureBegin(now, begun.length);
    const retryMs = Math.max(SHORTEST_RETRY_MS, waiting.length * pace.passMs);
    for (const entry of refused) entry.resolve(retryMs);
  };

  return {
    enter: (rank, dueAt, waitMs, isOver) => {
      const now = clock();
      open(now);
      const keepsUp =
        waiting.length === 0 &&
        now >= behindUntil &&
        now - turnedAt < BEHIND_MS;
      if (keepsUp) {
        begunInTurn += 1;
        return undefined;
      }
      return new Promise(resolve => {
        const arrival = {rank, dueAt, waitMs, arrivedAt: now};
        waiting.push({...arrival, turn, isOver, resolve});
      });
    },
    waiting: () => waiting.length,
  };
}

function mean(known: number, newest: number): number {
  return known + PACE_WEIGHT * (newest - known);
}
