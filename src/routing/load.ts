/** What one side observes of an instance by its own requests. */
export interface Load {
  /** Requests that were sent and not answered yet. */
  readonly inFlight: number;
  /** Moving average of the time to an answer, in milliseconds. */
  readonly latencyMs: number;
  /** Time of the last answer, in milliseconds. */
  readonly answeredAt: number;
}

/** The load of an instance to which nothing has been sent. */
export const NO_LOAD: Load = {inFlight: 0, latencyMs: 0, answeredAt: 0};

/** A request was sent to an instance, or its answer arrived. */
export type LoadEvent =
  | {readonly kind: 'sent'}
  | {readonly kind: 'answered'; readonly latencyMs: number};

/** Share of a new latency in the moving average. */
const LATENCY_WEIGHT = 0.2;

/** Time after which an old latency counts half, in milliseconds. */
const LATENCY_HALF_LIFE_MS = 2000;

/**
 * Applies an event to the observed load of an instance.
 *
 * @param now Time of the event in milliseconds.
 *
 * @example
 * observeLoad(NO_LOAD, {kind: 'sent'}, now).inFlight; // 1
 */
export function observeLoad(load: Load, event: LoadEvent, now: number): Load {
  if (event.kind === 'sent') return {...load, inFlight: load.inFlight + 1};
  const {latencyMs} = event;
  const isFirst = load.answeredAt === 0;
  const before = isFirst ? latencyMs : load.latencyMs;
  return {
    inFlight: Math.max(0, load.inFlight - 1),
    latencyMs: before + LATENCY_WEIGHT * (latencyMs - before),
    answeredAt: now,
  };
}

/**
 * Estimates the time a new request would take at an instance, as a score to
 * compare instances. A latency seen long ago counts less, so that an instance
 * that was slow once is tried again.
 *
 * @param slots Requests that the instance executes at a time.
 * @throws {RangeError} when the number of slots is not positive.
 *
 * @example
 * scoreLoad(busy, 12, now) > scoreLoad(NO_LOAD, 12, now); // true
 */
export function scoreLoad(load: Load, slots: number, now: number): number {
  if (!(slots > 0)) throw new RangeError(`slots must be positive: ${slots}`);
  const age = Math.max(0, now - load.answeredAt);
  const latencyMs = load.latencyMs * 2 ** (-age / LATENCY_HALF_LIFE_MS);
  return ((load.inFlight + 1) / slots) * (1 + latencyMs);
}

/**
 * Chooses one of two random candidates, the one with the lower score.
 *
 * @param random Returns a number from 0 (included) to 1 (excluded).
 * @returns undefined when there is no candidate.
 *
 * @example
 * chooseOfTwo(members, member => scoreOf(member), Math.random);
 */
export function chooseOfTwo<T>(
  candidates: readonly T[],
  score: (candidate: T) => number,
  random: () => number,
): T | undefined {
  const {length} = candidates;
  if (length <= 1) return candidates[0];
  const first = Math.floor(random() * length);
  const step = 1 + Math.floor(random() * (length - 1));
  const a = candidates[first];
  const b = candidates[(first + step) % length];
  return score(b) < score(a) ? b : a;
}
