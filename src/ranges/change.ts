import {
  EMPTY_MAP,
  LAST_KEY,
  changeTerms,
  covers,
  isSameIncarnation,
  orderOf,
  splitAt,
  type Incarnation,
  type KeyRange,
  type RangeMap,
  type RangeTerm,
} from './map.js';

/** A range of keys to assign to an incarnation. */
export interface Placement extends KeyRange {
  readonly holder: Incarnation;
}

/** A range that an upstream has released, with its handover token. */
export interface Release extends KeyRange {
  readonly handover: string;
}

/**
 * Creates the first map of a service, with all keys held.
 *
 * @param placements Ranges in key order that cover the key space.
 * @param empty Map without terms, whose tokens are not used again.
 *
 * @example
 * createMap([{from: 0, to: LAST_KEY, holder: incarnation}]);
 */
export function createMap(
  placements: readonly Placement[],
  empty: RangeMap = EMPTY_MAP,
): RangeMap {
  const fence = empty.fence + 1;
  const terms = placements.map(({from, to, holder}): RangeTerm => ({
    from,
    to,
    fence,
    holder,
    state: 'held',
    handover: '',
  }));
  return {...empty, fence, terms};
}

/**
 * Assigns free ranges to incarnations under a fencing token above all earlier
 * ones. Ranges that are not free are left unchanged.
 *
 * @example
 * placeFree(map, [{from: 0, to: 99, holder: incarnation}]);
 */
export function placeFree(
  map: RangeMap,
  placements: readonly Placement[],
): RangeMap {
  if (map.isRecovering) return map;
  const fence = map.fence + 1;
  const split = placements.reduce((m, p) => splitAt(m, p.from, p.to), map);
  return changeTerms(split, term => {
    if (term.state !== 'free') return term;
    const placement = placements.find(p => covers(p, term));
    return placement ? startTerm(term, placement.holder, fence) : term;
  });
}

/**
 * Marks held ranges as moving to another holder. The current holder keeps the
 * keys until it has released them.
 *
 * @example
 * startMoves(map, [{from: 0, to: 99, holder: incarnation}]);
 */
export function startMoves(
  map: RangeMap,
  moves: readonly Placement[],
): RangeMap {
  if (map.isRecovering) return map;
  const split = moves.reduce((m, move) => splitAt(m, move.from, move.to), map);
  return changeTerms(split, term => {
    if (term.state !== 'held') return term;
    const move = moves.find(m => covers(m, term));
    if (!move || isSameIncarnation(move.holder, term.holder)) return term;
    return {...term, state: 'moving', next: move.holder};
  });
}

/**
 * Ends the terms that a holder has provably released: a range with a next
 * holder goes to that one, any other range becomes free.
 *
 * @example
 * release(map, incarnation, [{from: 0, to: 99, handover: '5c0e'}]);
 */
export function release(
  map: RangeMap,
  holder: Incarnation,
  released: readonly Release[],
): RangeMap {
  if (map.isRecovering) return map;
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
 * Revokes the keys of an incarnation that is considered lost. A grant confirmed
 * against the map after this change does not renew them.
 *
 * @example
 * revoke(map, incarnation);
 */
export function revoke(map: RangeMap, holder: Incarnation): RangeMap {
  return revokeTerms(map, term => isSameIncarnation(term.holder, holder));
}

function revokeTerms(
  map: RangeMap,
  selects: (term: RangeTerm) => boolean,
): RangeMap {
  const revocation = map.fence + 1;
  const next = changeTerms(map, term => {
    const isActive = term.state === 'held' || term.state === 'moving';
    if (!isActive || !selects(term)) return term;
    return {...term, state: 'revoked', revocation};
  });
  return next === map ? map : {...next, fence: revocation};
}

/**
 * Cancels the revocation of keys whose holder turned out to be alive. Keys that
 * have been reassigned since stay with their new holder.
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
 * Ends revoked terms whose last grant has expired: the keys go to the next
 * holder if there is one, and become free otherwise.
 *
 * @param revocation Number of the revocation from which the time was measured;
 *     keys that were restored and revoked again since are left unchanged.
 *     Undefined if the time of the last grant itself is known.
 *
 * @example
 * expire(map, incarnation, term.revocation);
 */
export function expire(
  map: RangeMap,
  holder: Incarnation,
  revocation?: number,
): RangeMap {
  if (map.isRecovering) return map;
  const fence = map.fence + 1;
  return changeTerms(map, term => {
    if (term.state !== 'revoked' || !isSameIncarnation(term.holder, holder))
      return term;
    if (revocation !== undefined && term.revocation !== revocation) return term;
    return endTerm({...term, handover: ''}, fence);
  });
}

/**
 * Returns whether a term is held by an earlier incarnation at the same daemon,
 * which has ended. A holder that started later than the incarnation is one that
 * the daemon does not know yet.
 *
 * @example
 * map.terms.some(term => isHeldByPredecessor(term, incarnation));
 */
export function isHeldByPredecessor(
  {state, holder}: RangeTerm,
  incarnation: Incarnation,
): boolean {
  return (
    state !== 'free' &&
    holder.node === incarnation.node &&
    orderOf(holder) <= orderOf(incarnation) &&
    !isSameIncarnation(holder, incarnation)
  );
}

/**
 * Returns whether a term names its holder with an earlier position than the
 * holder has by now.
 *
 * @example
 * isOrderedEarlier(term, {...term.holder, order: 7}); // true
 */
export function isOrderedEarlier(
  {state, holder}: RangeTerm,
  incarnation: Incarnation,
): boolean {
  return (
    state !== 'free' &&
    isSameIncarnation(holder, incarnation) &&
    orderOf(holder) < orderOf(incarnation)
  );
}

/**
 * Ends the terms of all earlier incarnations at a daemon, which are known to
 * have ended. A new incarnation of the same service takes the keys over under a
 * new fencing token; keys that were moving to another daemon continue to. Keys
 * of another service are revoked: one heartbeat does not prove that the instance
 * of that service holds none of them any more. Terms of the incarnation itself
 * get its position.
 *
 * @param current The incarnation that is known to run.
 * @param isSameService Whether it runs the service of the map.
 *
 * @example
 * takeOver(map, newIncarnation, true);
 */
export function takeOver(
  map: RangeMap,
  current: Incarnation,
  isSameService: boolean,
): RangeMap {
  if (map.isRecovering) return map;
  if (!isSameService) {
    return revokeTerms(map, term => isHeldByPredecessor(term, current));
  }
  const fence = map.fence + 1;
  return changeTerms(map, term => {
    if (isOrderedEarlier(term, current)) return {...term, holder: current};
    if (!isHeldByPredecessor(term, current)) return term;
    const {next} = term;
    const isMovingAway = next !== undefined && next.node !== current.node;
    const taken = startTerm({...term, handover: ''}, current, fence);
    // The first heartbeat of an ended life may be late, so that the keys are
    // still held: the next holder waits for the release.
    return isMovingAway ? {...taken, state: 'moving', next} : taken;
  });
}

/**
 * Raises the fencing token of a holder's terms above all earlier ones. Needed
 * when the instance rejects a grant because it has seen a higher token.
 *
 * @example
 * raiseFence(map, incarnation, {from: 0, to: 99});
 */
export function raiseFence(
  map: RangeMap,
  holder: Incarnation,
  range: KeyRange,
): RangeMap {
  if (map.isRecovering) return map;
  const fence = map.fence + 1;
  return changeTerms(map, term => {
    const isOwn =
      term.state === 'held' && isSameIncarnation(term.holder, holder);
    return isOwn && covers(range, term) ? {...term, fence} : term;
  });
}

/**
 * Cancels moves that the holder has not completed yet.
 *
 * @example
 * cancelMoves(map, term => isSameIncarnation(term.next, lost));
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

/** Starts a term of a new holder, in state `held`. */
function startTerm(
  term: RangeTerm,
  holder: Incarnation,
  fence: number,
): RangeTerm {
  return {...withoutTransition(term), holder, fence, state: 'held'};
}

/** Ends a term: passes the keys to the next holder or frees them. */
function endTerm(term: RangeTerm, fence: number): RangeTerm {
  if (term.next) return startTerm(term, term.next, fence);
  return {...withoutTransition(term), state: 'free'};
}

/** Removes the fields of a move or revocation from a term. */
function withoutTransition(term: RangeTerm): RangeTerm {
  return {...term, next: undefined, revocation: undefined};
}

/** The whole key space. */
export const ALL_KEYS = {from: 0, to: LAST_KEY} as const;
