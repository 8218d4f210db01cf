import {createRandom, type Random} from '../../src/load/random.js';
import {
  applyQueueEvent,
  createQueue,
  nextQueueTickAt,
  type QueueEvent,
} from '../../src/relay/index.js';

/** Requests of one kind that arrive at random. Times are in milliseconds. */
export interface PlayedKind {
  readonly name: string;
  readonly priority: number;
  readonly perSecond: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  /** Longest time of one attempt; that of the caller by default. */
  readonly attemptMs?: number;
  /** Retries of the caller after a refusal. */
  readonly retries: number;
  /** Factor of the rate at a time; 1 by default. */
  readonly rateFactor?: (now: number) => number;
  readonly runMs: (random: Random, now: number) => number;
  /** Time that an attempt needs to reach the queue; none by default. */
  readonly transitMs?: (random: Random) => number;
}

/** What callers got of the requests of one kind. */
export interface PlayedResults {
  readonly arrived: number;
  readonly inTime: number;
  readonly late: number;
  /** Requests without an answer after their last attempt. */
  readonly refused: number;
  /** Refused attempts. */
  readonly refusals: number;
  /** Time that attempts waited for a refusal, in milliseconds. */
  readonly refusalWaitMs: number;
  /** Runs that held a slot beyond the deadline. */
  readonly abandoned: number;
}

/** Results of a play. */
export interface Play {
  readonly byKind: ReadonlyMap<string, PlayedResults>;
  /** Time for which a slot was free while a request waited, in milliseconds. */
  readonly wastedMs: number;
  /** Time for which a slot was free, in milliseconds. */
  readonly idleMs: number;
}

/** Settings of `play`. */
export interface PlaySettings {
  readonly slots: number;
  readonly kinds: readonly PlayedKind[];
  readonly seed: number;
  readonly lengthMs: number;
}

/** Share of the remaining time for which a caller obeys a Retry-After. */
const RETRY_AFTER_SHARE = 1 / 3;

/** Time between a refusal and the arrival of the retry, in milliseconds. */
const RETRY_TRANSIT_MS = 20;

interface Attempt {
  readonly kind: PlayedKind;
  readonly firstAt: number;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  readonly retriesLeft: number;
  /** Random numbers of the request, so that plays differ only by decisions. */
  readonly random: Random;
}

const NO_RESULTS: PlayedResults = {
  arrived: 0,
  inTime: 0,
  late: 0,
  refused: 0,
  refusals: 0,
  refusalWaitMs: 0,
  abandoned: 0,
};

/**
 * Plays the queue of an instance in virtual time, with callers that obey a
 * Retry-After.
 *
 * @example
 * play({slots: 13, kinds: [order], seed: 1, lengthMs: 60_000}).byKind;
 */
export function play({slots, kinds, seed, lengthMs}: PlaySettings): Play {
  const timers: {at: number; run: () => void}[] = [];
  const attempts = new Map<number, Attempt>();
  const results = new Map<string, PlayedResults>();
  let state = createQueue(slots);
  let now = 0;
  let nextId = 1;
  let tickAt = Infinity;
  let wastedMs = 0;
  let idleMs = 0;

  const schedule = (at: number, run: () => void) => {
    let low = 0;
    let high = timers.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (timers[middle].at > at) low = middle + 1;
      else high = middle;
    }
    timers.splice(low, 0, {at, run});
  };

  const add = (
    {name}: PlayedKind,
    field: keyof PlayedResults,
    amount: number,
  ) => {
    const known = results.get(name) ?? NO_RESULTS;
    results.set(name, {...known, [field]: known[field] + amount});
  };

  const apply = (event: QueueEvent) => {
    const step = applyQueueEvent(state, event, now);
    state = step.state;
    for (const verdict of step.verdicts) {
      if (verdict.kind === 'start') start(verdict.id);
      else refuse(verdict.id, verdict.retryAfterMs);
    }
    const at = nextQueueTickAt(state);
    if (at >= tickAt) return;
    tickAt = at;
    schedule(at, () => {
      if (tickAt !== at) return;
      tickAt = Infinity;
      apply({kind: 'tick'});
    });
  };

  const start = (id: number) => {
    const attempt = attempts.get(id) as Attempt;
    const {kind, firstAt, deadlineAt} = attempt;
    const endsAt = now + kind.runMs(attempt.random, now);
    const ran = endsAt <= deadlineAt;
    schedule(Math.min(endsAt, deadlineAt), () => {
      apply({kind: 'finish', id, ran});
      const objectiveAt = firstAt + kind.objectiveMs;
      if (!ran) add(kind, 'abandoned', 1);
      else if (now <= objectiveAt) add(kind, 'inTime', 1);
      else add(kind, 'late', 1);
    });
  };

  const refuse = (id: number, retryAfterMs: number) => {
    const {kind, firstAt, arrivedAt, retriesLeft, random} = attempts.get(
      id,
    ) as Attempt;
    add(kind, 'refusals', 1);
    add(kind, 'refusalWaitMs', now - arrivedAt);
    const leftMs = firstAt + kind.deadlineMs - now;
    const waitMs = Math.min(retryAfterMs, leftMs * RETRY_AFTER_SHARE);
    if (retriesLeft === 0 || waitMs <= 0) return add(kind, 'refused', 1);
    schedule(now + waitMs, () => send(kind, firstAt, retriesLeft - 1, random));
  };

  const send = (
    kind: PlayedKind,
    firstAt: number,
    retriesLeft: number,
    random: Random,
  ) => {
    const {transitMs = () => 0} = kind;
    const isRetry = retriesLeft < kind.retries;
    const onTheWayMs = transitMs(random) + (isRetry ? RETRY_TRANSIT_MS : 0);
    const attemptDueAt = now + (kind.attemptMs ?? Infinity);
    schedule(now + onTheWayMs, () => {
      const id = nextId++;
      const dueAt = firstAt + kind.deadlineMs;
      const deadlineAt = Math.min(dueAt, attemptDueAt);
      const objectiveAt = firstAt + kind.objectiveMs;
      attempts.set(id, {
        kind,
        firstAt,
        arrivedAt: now,
        deadlineAt,
        retriesLeft,
        random,
      });
      const {name, priority} = kind;
      const times = {arrivedAt: now, objectiveAt, deadlineAt};
      apply({kind: 'arrive', request: {id, kind: name, priority, ...times}});
    });
  };

  kinds.forEach((kind, index) => {
    const arrivals = createRandom(seed * SEED_STEP + index);
    const {perSecond, rateFactor = () => 1} = kind;
    const arrive = () => {
      add(kind, 'arrived', 1);
      const own = createRandom(Math.floor(arrivals() * 2 ** 32));
      send(kind, now, kind.retries, own);
      scheduleNext();
    };
    const scheduleNext = () => {
      const meanWaitMs = MS_PER_SECOND / (perSecond * rateFactor(now));
      const at = now - Math.log(1 - arrivals()) * meanWaitMs;
      if (at < lengthMs) schedule(at, arrive);
    };
    scheduleNext();
  });
  for (let timer = timers.pop(); timer; timer = timers.pop()) {
    const free = state.slots - state.running.length;
    if (timer.at <= lengthMs) idleMs += free * (timer.at - now);
    const idle = Math.min(free, state.waiting.length);
    wastedMs += idle * (timer.at - now);
    now = timer.at;
    timer.run();
  }
  return {byKind: results, wastedMs, idleMs};
}

/** Difference between the seeds of plays, beyond the number of kinds. */
const SEED_STEP = 100;

const MS_PER_SECOND = 1000;

/**
 * Returns a log-normal time with a tail.
 *
 * @param spread Standard deviation of its logarithm.
 * @param tail Share of the times that are `tailFactor` times as long.
 *
 * @example
 * logNormal({meanMs: 380, spread: 0.8, tail: 0.01, tailFactor: 5});
 */
export function logNormal({
  meanMs,
  spread,
  tail = 0,
  tailFactor = 1,
  maxMs = Infinity,
}: {
  readonly meanMs: number;
  readonly spread: number;
  readonly tail?: number;
  readonly tailFactor?: number;
  readonly maxMs?: number;
}): (random: Random) => number {
  return random => {
    const radius = Math.sqrt(-2 * Math.log(1 - random()));
    const normal = radius * Math.cos(2 * Math.PI * random());
    const factor = random() < tail ? tailFactor : 1;
    const ms = meanMs * Math.exp(spread * normal - spread ** 2 / 2) * factor;
    return Math.min(maxMs, ms);
  };
}
