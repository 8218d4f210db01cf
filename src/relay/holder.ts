import {
  isSameIncarnation,
  findTerm,
  type RangeMap,
  type RangeTerm,
} from '../ranges/index.js';

/** A term whose holder answered that it does not hold the keys now. */
export interface TermRefusal {
  readonly service: string;
  readonly term: RangeTerm;
  /** Time of the first such answer, in milliseconds. */
  readonly since: number;
  /**
   * Time until which no request is forwarded to the holder, in milliseconds.
   */
  readonly until: number;
}

/** Refusals by holders of keys, as a daemon received them. */
export interface RefusalState {
  readonly refusals: readonly TermRefusal[];
  /** Moving mean of the time for which moving keys had no holder. */
  readonly moveMs?: number;
}

/** Decision on a request by its key. */
export type HolderVerdict =
  | {readonly kind: 'forward'}
  /** Wait for a change of the view, at most until a time. */
  | {readonly kind: 'wait'; readonly until: number}
  | {readonly kind: 'refuse'; readonly retryAfterMs: number};

/** State without any refusal. */
export const NO_REFUSALS: RefusalState = {refusals: []};

/**
 * Time for which the refusal of moving keys is valid, in milliseconds: the
 * change of the map that ends it may be missed during an outage of the store,
 * and a move takes two or three heartbeats.
 */
const MOVING_REFUSAL_TTL_MS = 3000;

/**
 * Time for which the refusal of a holder that the map names is valid, in
 * milliseconds. If its daemon has just started, no change of the map ends the
 * refusal; the start takes about as long.
 */
const HELD_REFUSAL_TTL_MS = 400;

/**
 * Weight of the newest move in the moving mean; the last four make up most of
 * it.
 */
const MOVE_WEIGHT = 0.3;

/**
 * Records that the holder of a term does not hold its keys.
 *
 * @example
 * const next = recordRefusal(NO_REFUSALS, 'stock', term, performance.now());
 */
export function recordRefusal(
  state: RefusalState,
  service: string,
  term: RangeTerm,
  now: number,
): RefusalState {
  const isSame = (recorded: TermRefusal) =>
    recorded.service === service &&
    recorded.term.from === term.from &&
    recorded.term.to === term.to &&
    isSameGrant(recorded.term, term);
  const since = state.refusals.find(isSame)?.since ?? now;
  const ttlMs =
    term.state === 'held' ? HELD_REFUSAL_TTL_MS : MOVING_REFUSAL_TTL_MS;
  const others = state.refusals.filter(recorded => !isSame(recorded));
  const refusal = {service, term, since, until: now + ttlMs};
  return {...state, refusals: [...others, refusal]};
}

/**
 * Removes the refusals that a newer map makes obsolete, and updates the mean
 * duration of moves.
 *
 * @example
 * const next = applyMap(state, 'stock', map, performance.now());
 */
export function applyMap(
  state: RefusalState,
  service: string,
  map: RangeMap,
  now: number,
): RefusalState {
  let {moveMs} = state;
  const refusals = state.refusals.filter(recorded => {
    if (recorded.service !== service) return true;
    const term = findTerm(map, recorded.term.from);
    if (term && isSameGrant(term, recorded.term)) return true;
    // A change that was observed late does not show the duration of the move.
    if (
      term &&
      isSameIncarnation(term.holder, recorded.term.next) &&
      now < recorded.until
    ) {
      const durationMs = now - recorded.since;
      moveMs ??= durationMs;
      moveMs += MOVE_WEIGHT * (durationMs - moveMs);
    }
    return false;
  });
  if (refusals.length === state.refusals.length) return state;
  return {refusals, moveMs};
}

/**
 * Decides whether a request is forwarded to the holder of its key. After a
 * refusal, other requests would get the same answer until the map changes. A
 * request therefore waits for the change, unless the move is expected to
 * outlast its wait.
 *
 * Without this, each request would be sent to the old holder repeatedly while
 * busy keys move.
 *
 * @param waitUntil Time until which the request may wait.
 *
 * @example
 * decideHolder(state, 'stock', term, 4711, now + 400, now).kind; // 'forward'
 */
export function decideHolder(
  state: RefusalState,
  service: string,
  term: RangeTerm,
  key: number,
  waitUntil: number,
  now: number,
): HolderVerdict {
  const refusal = state.refusals.find(
    recorded =>
      recorded.service === service &&
      recorded.term.from <= key &&
      key <= recorded.term.to &&
      now < recorded.until &&
      isSameGrant(recorded.term, term),
  );
  if (!refusal) return {kind: 'forward'};
  const endsAt = refusal.since + (state.moveMs ?? 0);
  if (term.state === 'moving' && endsAt > waitUntil) {
    return {kind: 'refuse', retryAfterMs: endsAt - now};
  }
  return {kind: 'wait', until: Math.min(waitUntil, refusal.until)};
}

/** Tells whether two terms give their holder the same rights to the keys. */
function isSameGrant(a: RangeTerm, b: RangeTerm): boolean {
  return (
    a.state === b.state &&
    a.fence === b.fence &&
    a.revocation === b.revocation &&
    isSameIncarnation(a.holder, b.holder)
  );
}

/** Refusals by holders of keys, updated by answers and by maps. */
export interface HolderRefusals {
  /**
   * Records the answer of a holder that it does not hold the keys of a term.
   */
  readonly record: (service: string, term: RangeTerm, now: number) => void;
  /** Decides on a request by the newest map of its service. */
  readonly decide: (
    service: string,
    map: RangeMap,
    term: RangeTerm,
    key: number,
    waitUntil: number,
    now: number,
  ) => HolderVerdict;
}

/**
 * Creates the record of refusals by holders of keys.
 *
 * @example
 * const refusals = createHolderRefusals();
 * refusals.record('stock', term, performance.now());
 */
export function createHolderRefusals(): HolderRefusals {
  const appliedMaps = new Map<string, RangeMap>();
  let state = NO_REFUSALS;
  return {
    record: (service, term, now) => {
      state = recordRefusal(state, service, term, now);
    },
    decide: (service, map, term, key, waitUntil, now) => {
      if (state.refusals.length > 0 && appliedMaps.get(service) !== map) {
        appliedMaps.set(service, map);
        state = applyMap(state, service, map, now);
      }
      return decideHolder(state, service, term, key, waitUntil, now);
    },
  };
}
