/** Load of an instance as observed by one sender of requests. */
export interface Load {
  /** Number of requests sent and not answered yet. */
  readonly inFlight: number;
  /** Moving average of the response time, in milliseconds. */
  readonly latencyMs: number;
  /** Time of the last response, in milliseconds. */
  readonly answeredAt: number;
}

/** Load of an instance to which no request has been sent. */
export const NO_LOAD: Load = {inFlight: 0, latencyMs: 0, answeredAt: 0};

/** A request was sent to an instance, or its response arrived. */
export type LoadEvent =
  | {readonly kind: 'sent'}
  | {readonly kind: 'answered'; readonly latencyMs: number};

/** Weight of a new latency in the moving average. */
const LATENCY_WEIGHT = 0.2;

/** Age at which the weight of a latency has fallen by half. */
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
 * Scores an instance by the estimated time of a new request there; lower is
 * better. The weight of the latency decays with its age, so that an instance
 * that was once slow is tried again.
 *
 * @param slots Number of requests that the instance executes concurrently.
 * @throws {RangeError} when the number of slots is not positive.
 *
 * @example
 * scoreLoad(busy, 12, now) > scoreLoad(NO_LOAD, 12, now); // true
 */
export function scoreLoad(load: Load, slots: number, now: number): number {
  if (!(slots > 0))
    throw new RangeError(`expected a positive number of slots, got ${slots}`);
  const age = Math.max(0, now - load.answeredAt);
  const latencyMs = load.latencyMs * 2 ** (-age / LATENCY_HALF_LIFE_MS);
  return ((load.inFlight + 1) / slots) * (1 + latencyMs);
}

/**
 * Chooses the candidate with the lower score of two random ones (power of two
 * choices).
 *
 * @param random Returns a random number from 0 (inclusive) to 1 (exclusive).
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
