import {
  EMPTY_MAP,
  changeTerms,
  covers,
  isSameIncarnation,
  overlaps,
  splitAt,
  type Incarnation,
  type RangeMap,
  type RangeTerm,
} from './map.js';
import type {HeldRange} from './grants.js';

/**
 * Fencing tokens that are left out for each era: more than the changes of a map
 * that the store can lose.
 */
const TOKENS_PER_ERA = 2 ** 20;

/**
 * Returns whether a map was written before the store came back from a copy, so
 * that it may lack changes on which keys were granted.
 *
 * @param era Era of the store from which the map was read.
 *
 * @example
 * isOutdated({fence: 3, terms: [], era: 1}, 2); // true
 */
export function isOutdated(map: RangeMap, era: number): boolean {
  return eraOfMap(map) < era;
}

function eraOfMap({era = 0}: RangeMap): number {
  return era;
}

/**
 * Returns the later of two maps of a service.
 *
 * @example
 * laterMap(map, undefined); // map
 */
export function laterMap(a: RangeMap, b: RangeMap | undefined): RangeMap {
  if (!b) return a;
  const byEra = eraOfMap(a) - eraOfMap(b);
  return byEra > 0 || (byEra === 0 && a.fence >= b.fence) ? a : b;
}

/**
 * Puts a map in force again after the store came back from a copy. Its tokens
 * begin above all that were ever granted, and until it is settled its keys change
 * hands only to an instance that proves to hold them: changes that the store lost
 * may have granted them to any other. Moves that were begun are cancelled.
 *
 * @param known Latest known map.
 * @param stored Map in the store.
 * @param era Era of the store.
 *
 * @example
 * const next = recoverMap(known, stored, 2);
 */
export function recoverMap(
  known: RangeMap,
  stored: RangeMap,
  era: number,
): RangeMap {
  const base = laterMap(known, stored);
  const erasSince = ({era: written = era - 1}: RangeMap) =>
    Math.max(1, era - written);
  const floor = Math.max(
    ...[known, stored].map(map => map.fence + TOKENS_PER_ERA * erasSince(map)),
  );
  const {terms} = changeTerms(base, term => ({
    ...term,
    state: term.state === 'moving' ? 'held' : term.state,
    next: undefined,
  }));
  return {fence: floor, terms, era, floor, isRecovering: true};
}

/** Highest era of a store that has not come back from a copy yet. */
export const FIRST_ERA = 1;

/**
 * Returns the map to write in place of a stored one: the changed map, or, if the
 * store has undone a later one, that in recovery and without the change.
 *
 * @param era Era of the store.
 * @param undone Known map that the store has undone, if it has.
 * @param change Computes the next map; returns the same map for no change.
 * @returns the stored map itself if nothing is to be written.
 *
 * @example
 * nextMap(map, 2, undefined, m => revoke(m, life));
 */
export function nextMap(
  stored: RangeMap,
  era: number,
  undone: RangeMap | undefined,
  change: (map: RangeMap) => RangeMap,
): RangeMap {
  if (undone && isWritten(undone)) return recoverMap(undone, stored, era);
  const changed = change(stored);
  const isEmpty = changed.terms.length === 0 && stored.terms.length === 0;
  if (changed === stored || isEmpty) return stored;
  if (!isWritten(stored) && era > FIRST_ERA) {
    // The copy may be older than a map by which keys were granted.
    return recoverMap({...changed, era: 0}, stored, era);
  }
  return era > 0 ? {...changed, era} : changed;
}

/**
 * Ends the recovery of a map, once all leases have expired that were granted
 * before it.
 *
 * @example
 * settleMap({...map, isRecovering: true}).isRecovering; // undefined
 */
export function settleMap(map: RangeMap): RangeMap {
  if (!map.isRecovering) return map;
  return {...map, isRecovering: undefined};
}

/**
 * Returns whether a term has a token from before a recovery, which may not be
 * above all that were granted.
 *
 * @example
 * isUnconfirmed({...map, floor: 7}, term); // true for token 7
 */
export function isUnconfirmed(
  {floor = -1}: RangeMap,
  {fence}: RangeTerm,
): boolean {
  return fence <= floor;
}

/**
 * Returns the terms that an incarnation may be granted: those that it is known to
 * hold under their token, and those with a token from after the recovery.
 *
 * @param terms Terms that the incarnation holds by the map.
 * @param rows Ranges of its leases that have not expired.
 *
 * @example
 * grantableTerms(map, heldBy(map, incarnation), rows);
 */
export function grantableTerms(
  map: RangeMap,
  terms: readonly RangeTerm[],
  rows: readonly HeldRange[],
): readonly RangeTerm[] {
  return terms.filter(
    term => !isUnconfirmed(map, term) || isLeased(term, rows),
  );
}

function isLeased(term: RangeTerm, rows: readonly HeldRange[]): boolean {
  return rows.some(row => row.fence === term.fence && covers(row, term));
}

/**
 * Gives a holder new tokens in place of those from before a recovery, so that it
 * can be granted its keys. While the recovery lasts, these are the keys that it
 * holds and that the map gives to another instance, or under another token;
 * afterwards those that the map gives to it and for which it has no lease.
 *
 * @param rows Ranges of its leases that have not expired.
 *
 * @example
 * confirmTerms(map, incarnation, rows);
 */
export function confirmTerms(
  map: RangeMap,
  holder: Incarnation,
  rows: readonly HeldRange[],
): RangeMap {
  const fence = map.fence + 1;
  const isOwn = (term: RangeTerm) => isSameIncarnation(term.holder, holder);
  const isConfirmed = (term: RangeTerm) =>
    !isUnconfirmed(map, term) || (isOwn(term) && isLeased(term, rows));
  if (!map.isRecovering) {
    return changeTerms(map, term => {
      const isHeld = term.state === 'held' && isOwn(term);
      return isHeld && !isConfirmed(term) ? {...term, fence} : term;
    });
  }
  const open = map.terms.filter(term => !isConfirmed(term));
  const claimed = rows.flatMap(row =>
    open
      .filter(term => overlaps(row, term))
      .map(term => ({
        from: Math.max(row.from, term.from),
        to: Math.min(row.to, term.to),
      })),
  );
  if (claimed.length === 0) return map;
  const split = claimed.reduce((m, c) => splitAt(m, c.from, c.to), map);
  return changeTerms(split, term => {
    if (!claimed.some(range => covers(range, term))) return term;
    return {
      ...term,
      ...{holder, fence, state: 'held', handover: ''},
      ...{next: undefined, revocation: undefined},
    };
  });
}

/**
 * Returns whether a map has been written at all.
 *
 * @example
 * isWritten(EMPTY_MAP); // false
 */
export function isWritten({fence, terms}: RangeMap): boolean {
  return fence > EMPTY_MAP.fence || terms.length > 0;
}
