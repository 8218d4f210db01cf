import {
  isSameIncarnation,
  findTerm,
  type RangeMap,
  type RangeTerm,
} from '../ranges/index.js';

/** A term whose holder has said that it does not hold the keys now. */
export interface TermRefusal {
  readonly service: string;
  readonly term: RangeTerm;
  /** Time of the first such answer, in milliseconds. */
  readonly since: number;
  /** Time until which the holder is not asked again, in milliseconds. */
  readonly until: number;
}

/** What a daemon was told by the holders of keys. */
export interface RefusalState {
  readonly refusals: readonly TermRefusal[];
  /** Moving mean of the time for which keys on the move had no holder. */
  readonly moveMs?: number;
}

/** What a request does for its key. */
export type HolderVerdict =
  | {readonly kind: 'ask'}
  /** It waits for a change of the view, at most until a time. */
  | {readonly kind: 'wait'; readonly until: number}
  | {readonly kind: 'refuse'; readonly retryAfterMs: number};

/** The state of a daemon that was told nothing yet. */
export const NO_REFUSALS: RefusalState = {refusals: []};

/**
 * Time for which a refusal of keys on the move is relied on, in milliseconds:
 * the change of the map that ends it may be missed while the store is away, and
 * a move lasts two or three heartbeats.
 */
const MOVING_REFUSAL_TTL_MS = 3000;

/**
 * Time for which the refusal of a holder that the map names is relied on, in
 * milliseconds. No change of the map ends it where its daemon has just started,
 * which takes about as long.
 */
const HELD_REFUSAL_TTL_MS = 400;

/** Weight of the newest move in the moving mean; four make up most of it. */
const MOVE_WEIGHT = 0.3;

/**
 * Remembers that the holder of a term does not hold its keys.
 *
 * @example
 * const next = refuseTerm(NO_REFUSALS, 'stock', term, performance.now());
 */
export function recordRefusal(
  state: RefusalState,
  service: string,
  term: RangeTerm,
  now: number,
): RefusalState {
  const isSame = (known: TermRefusal) =>
    known.service === service &&
    known.term.from === term.from &&
    known.term.to === term.to &&
    isSameGrant(known.term, term);
  const since = state.refusals.find(isSame)?.since ?? now;
  const ttlMs =
    term.state === 'held' ? HELD_REFUSAL_TTL_MS : MOVING_REFUSAL_TTL_MS;
  const others = state.refusals.filter(known => !isSame(known));
  const refusal = {service, term, since, until: now + ttlMs};
  return {...state, refusals: [...others, refusal]};
}

/**
 * Drops the refusals that a newer map has made void, and learns from it how long
 * a move lasts.
 *
 * @example
 * const next = settleRefusals(state, 'stock', map, performance.now());
 */
export function applyMap(
  state: RefusalState,
  service: string,
  map: RangeMap,
  now: number,
): RefusalState {
  let {moveMs} = state;
  const refusals = state.refusals.filter(known => {
    if (known.service !== service) return true;
    const term = findTerm(map, known.term.from);
    if (term && isSameGrant(term, known.term)) return true;
    // A change that was seen late tells nothing of how long the move took.
    if (
      term &&
      isSameIncarnation(term.holder, known.term.next) &&
      now < known.until
    ) {
      const durationMs = now - known.since;
      moveMs ??= durationMs;
      moveMs += MOVE_WEIGHT * (durationMs - moveMs);
    }
    return false;
  });
  if (refusals.length === state.refusals.length) return state;
  return {refusals, moveMs};
}

/**
 * Decides what a request does for its key. Where the holder has said that it
 * does not hold the keys, the answer to another request is the same until the
 * map changes; a request waits for that, unless the move is likely to outlast
 * its wait.
 *
 * Answers moves of busy keys, in which each request asked the old holder over
 * and over.
 *
 * @param waitUntil Time until which the request may wait.
 *
 * @example
 * decideHolder(state, 'stock', term, 4711, now + 400, now).kind; // 'ask'
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
    known =>
      known.service === service &&
      known.term.from <= key &&
      key <= known.term.to &&
      now < known.until &&
      isSameGrant(known.term, term),
  );
  if (!refusal) return {kind: 'ask'};
  const endsAt = refusal.since + (state.moveMs ?? 0);
  if (term.state === 'moving' && endsAt > waitUntil) {
    return {kind: 'refuse', retryAfterMs: endsAt - now};
  }
  return {kind: 'wait', until: Math.min(waitUntil, refusal.until)};
}

/** Tells whether a holder's rights to the keys of two terms are the same. */
function isSameGrant(a: RangeTerm, b: RangeTerm): boolean {
  return (
    a.state === b.state &&
    a.fence === b.fence &&
    a.revocation === b.revocation &&
    isSameIncarnation(a.holder, b.holder)
  );
}

/** What a daemon was told by the holders of keys, as it changes. */
export interface HolderRefusals {
  /** Takes the answer of a holder that it does not hold the keys of a term. */
  readonly record: (service: string, term: RangeTerm, now: number) => void;
  /** Decides what a request does, by the newest map of its service. */
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
 * Creates the memory of what the holders of keys have said.
 *
 * @example
 * const holders = createHolders();
 * holders.refused('stock', term, performance.now());
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
