import {
  LAST_KEY,
  changeTerms,
  covers,
  isSameIncarnation,
  splitAt,
  type Incarnation,
  type KeyRange,
  type RangeMap,
  type RangeTerm,
} from './map.js';

/** A range of keys that an incarnation is to get. */
export interface Placement extends KeyRange {
  readonly holder: Incarnation;
}

/** A range that an upstream has released, with the token of its handover. */
export interface Release extends KeyRange {
  readonly handover: string;
}

/**
 * Gives all keys out for the first time.
 *
 * @param placements Ranges in order that cover the key space.
 *
 * @example
 * firstMap([{from: 0, to: LAST_KEY, holder: incarnation}]);
 */
export function createMap(placements: readonly Placement[]): RangeMap {
  const terms = placements.map(({from, to, holder}): RangeTerm => ({
    from,
    to,
    fence: 1,
    holder: holder,
    state: 'held',
    handover: '',
  }));
  return {fence: 1, terms};
}

/**
 * Gives free ranges to incarnations, each with a fencing token above all that
 * were used. Ranges that are not free stay as they are.
 *
 * @example
 * placeFree(map, [{from: 0, to: 99, holder: incarnation}]);
 */
export function placeFree(
  map: RangeMap,
  placements: readonly Placement[],
): RangeMap {
  const fence = map.fence + 1;
  const split = placements.reduce((m, p) => splitAt(m, p.from, p.to), map);
  return changeTerms(split, term => {
    if (term.state !== 'free') return term;
    const placement = placements.find(p => covers(p, term));
    return placement ? startTerm(term, placement.holder, fence) : term;
  });
}

/**
 * Asks the holders of ranges to release them to others.
 *
 * @example
 * startMoves(map, [{from: 0, to: 99, holder: incarnation}]);
 */
export function startMoves(
  map: RangeMap,
  moves: readonly Placement[],
): RangeMap {
  const split = moves.reduce((m, move) => splitAt(m, move.from, move.to), map);
  return changeTerms(split, term => {
    if (term.state !== 'held') return term;
    const move = moves.find(m => covers(m, term));
    if (!move || isSameIncarnation(move.holder, term.holder)) return term;
    return {...term, state: 'moving', next: move.holder};
  });
}

/**
 * Passes on what a holder has provably released: to the next holder where one
 * is named, and otherwise to nobody.
 *
 * @example
 * release(map, incarnation, [{from: 0, to: 99, handover: '5c0e'}]);
 */
export function release(
  map: RangeMap,
  holder: Incarnation,
  released: readonly Release[],
): RangeMap {
  const fence = map.fence + 1;
  const split = released.reduce((m, r) => splitAt(m, r.from, r.to), map);
  return changeTerms(split, term => {
    if (term.state !== 'moving' && term.state !== 'revoked') return term;
    if (!isSameIncarnation(term.holder, holder)) return term;
    const found = released.find(r => covers(r, term));
    if (!found) return term;
    return endTerm({...term, handover: found.handover}, fence);
  });
}

/**
 * Takes the keys of an incarnation back once it is taken to be lost. No grant
 * that is confirmed after this change renews them.
 *
 * @example
 * revoke(map, incarnation);
 */
export function revoke(map: RangeMap, holder: Incarnation): RangeMap {
  const revocation = map.fence + 1;
  const next = changeTerms(map, term => {
    if (!isSameIncarnation(term.holder, holder)) return term;
    const isActive = term.state === 'held' || term.state === 'moving';
    return isActive ? {...term, state: 'revoked', revocation} : term;
  });
  return next === map ? map : {...next, fence: revocation};
}

/**
 * Returns revoked keys to a holder that turned out to live, unless they were
 * given to another meanwhile.
 *
 * @example
 * restore(map, incarnation);
 */
export function restore(map: RangeMap, holder: Incarnation): RangeMap {
  return changeTerms(map, term => {
    if (term.state !== 'revoked' || !isSameIncarnation(term.holder, holder))
      return term;
    const state = term.next ? 'moving' : 'held';
    return {...term, state, revocation: undefined};
  });
}

/**
 * Frees revoked keys of which the last grant has run out.
 *
 * @param revocation The revocation since which the time was measured; keys that
 *     were restored and revoked again since stay as they are. Undefined where
 *     the last grant itself is known.
 *
 * @example
 * expire(map, incarnation, term.revocation);
 */
export function expire(
  map: RangeMap,
  holder: Incarnation,
  revocation?: number,
): RangeMap {
  const fence = map.fence + 1;
  return changeTerms(map, term => {
    if (term.state !== 'revoked' || !isSameIncarnation(term.holder, holder))
      return term;
    if (revocation !== undefined && term.revocation !== revocation) return term;
    return endTerm({...term, handover: ''}, fence);
  });
}

/**
 * Applies the proof that every earlier life beside a daemon has ended: a new
 * life of the same service takes the keys over under a new fencing token, and
 * otherwise they become free.
 *
 * @param successor The new life; undefined when it belongs to another service.
 *
 * @example
 * succeed(map, '10.1.0.8:7620', newIncarnation);
 */
export function takeOver(
  map: RangeMap,
  node: string,
  successor: Incarnation | undefined,
): RangeMap {
  const fence = map.fence + 1;
  return changeTerms(map, term => {
    if (term.holder.node !== node || isSameIncarnation(term.holder, successor))
      return term;
    if (term.state === 'free') return term;
    if (term.next && term.next.node !== node) {
      return endTerm({...term, handover: ''}, fence);
    }
    if (!successor)
      return {...withoutTransition(term), state: 'free', handover: ''};
    return startTerm({...term, handover: ''}, successor, fence);
  });
}

/**
 * Gives terms of a holder a new fencing token, above all that were used, where
 * its instance has seen a higher one than theirs.
 *
 * @example
 * renumber(map, incarnation, {from: 0, to: 99});
 */
export function raiseFence(
  map: RangeMap,
  holder: Incarnation,
  range: KeyRange,
): RangeMap {
  const fence = map.fence + 1;
  return changeTerms(map, term => {
    const isOwn =
      term.state === 'held' && isSameIncarnation(term.holder, holder);
    return isOwn && covers(range, term) ? {...term, fence} : term;
  });
}

/**
 * Withdraws a planned move that the holder has not made yet.
 *
 * @example
 * cancelMoves(map, term => sameLife(term.next, lost));
 */
export function cancelMoves(
  map: RangeMap,
  selects: (term: RangeTerm) => boolean,
): RangeMap {
  return changeTerms(map, term => {
    if (!term.next || !selects(term)) return term;
    const state = term.state === 'moving' ? 'held' : term.state;
    return {...term, state, next: undefined};
  });
}

function startTerm(
  term: RangeTerm,
  holder: Incarnation,
  fence: number,
): RangeTerm {
  return {...withoutTransition(term), holder, fence, state: 'held'};
}

function endTerm(term: RangeTerm, fence: number): RangeTerm {
  if (term.next) return startTerm(term, term.next, fence);
  return {...withoutTransition(term), state: 'free'};
}

function withoutTransition(term: RangeTerm): RangeTerm {
  return {...term, next: undefined, revocation: undefined};
}

/** The whole key space. */
export const ALL_KEYS = {from: 0, to: LAST_KEY} as const;
