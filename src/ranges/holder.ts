import type {Release} from './change.js';
import {
  contains,
  covers,
  overlaps,
  sameLife,
  type Incarnation,
  type KeySpan,
  type RangeMap,
  type RangeTerm,
} from './map.js';

/** What an upstream says in a heartbeat of the keys that it holds. */
export interface HoldReport {
  readonly life: Incarnation;
  /** Number of the heartbeat; it grows within a life. */
  readonly sequence: number;
  readonly holds: readonly HeldRange[];
  readonly freed: readonly Release[];
}

/** A range that an upstream holds or still works on. */
export interface HeldRange extends KeySpan {
  readonly fence: number;
}

/** What the daemon beside an upstream knows of the upstream's grants. */
export interface Grants {
  readonly life?: Incarnation;
  readonly sequence: number;
  /** Ranges in the last answer that granted anything. */
  readonly granted: readonly HeldRange[];
  /** Number of the heartbeat that this answer belonged to. */
  readonly grantedAt: number;
  /** Time at which that heartbeat arrived, in milliseconds. */
  readonly since: number;
  /** Releases that are not recorded in the map yet. */
  readonly released: readonly Release[];
}

/** The grants of a daemon that has heard of no upstream yet. */
export const NO_GRANTS: Grants = {
  sequence: -1,
  granted: [],
  grantedAt: -1,
  since: -Infinity,
  released: [],
};

/**
 * Applies a heartbeat: a new life starts without grants, and what the upstream
 * freed is kept until it is recorded.
 *
 * A release counts only if it follows an answer of this process that left the
 * range out, because a heartbeat from before a restart of the daemon says
 * nothing of later grants.
 *
 * @example
 * const grants = hear(NO_GRANTS, report);
 */
export function hear(grants: Grants, report: HoldReport): Grants {
  const {life, sequence} = report;
  if (!sameLife(grants.life, life)) return {...NO_GRANTS, life, sequence};
  if (grants.grantedAt < 0) return {...grants, sequence};
  const freed = report.freed.filter(
    range => !grants.granted.some(granted => overlaps(granted, range)),
  );
  if (freed.length === 0) return {...grants, sequence};
  return {...grants, sequence, released: [...grants.released, ...freed]};
}

/**
 * Finds what the upstream has provably released of the keys that the map wants
 * back: ranges that it reported as freed, and ranges that the last answer left
 * out and that it neither holds nor works on any more.
 *
 * @example
 * release(map, life, findReleases(map, grants, report));
 */
export function findReleases(
  map: RangeMap,
  grants: Grants,
  report: HoldReport,
): readonly Release[] {
  const wanted = wantedFrom(map, report.life);
  const follows = grants.grantedAt >= 0 && report.sequence > grants.grantedAt;
  return wanted.flatMap(term => {
    const freed = grants.released.filter(range => overlaps(range, term));
    if (report.holds.some(range => overlaps(range, term))) return [];
    if (freed.length > 0) {
      return freed.map(({from, to, handover}) => ({
        from: Math.max(from, term.from),
        to: Math.min(to, term.to),
        handover,
      }));
    }
    const leftOut = !grants.granted.some(range => overlaps(range, term));
    if (!follows || !leftOut) return [];
    return [{from: term.from, to: term.to, handover: ''}];
  });
}

/**
 * Records an answer that granted ranges.
 *
 * @param arrivedAt Time at which the heartbeat arrived, in milliseconds.
 *
 * @example
 * grants = grant(grants, report.sequence, heldBy(map, life), now);
 */
export function grant(
  grants: Grants,
  sequence: number,
  ranges: readonly HeldRange[],
  arrivedAt: number,
): Grants {
  const released = grants.released.filter(
    range => !ranges.some(other => overlaps(other, range)),
  );
  return {
    ...grants,
    released,
    granted: ranges.map(({from, to, fence}) => ({from, to, fence})),
    grantedAt: sequence,
    since: arrivedAt,
  };
}

/**
 * Drops releases that the map has recorded or that no longer concern it.
 *
 * @example
 * grants = settle(grants, map);
 */
export function settle(grants: Grants, map: RangeMap): Grants {
  const {life} = grants;
  if (grants.released.length === 0 || !life) return grants;
  const open = wantedFrom(map, life);
  const released = grants.released.filter(range =>
    open.some(term => overlaps(term, range)),
  );
  return {...grants, released};
}

/**
 * Tells whether the upstream holds a key by the last answer, in which the time
 * that the heartbeat may have spent on its way is allowed for.
 *
 * @param holdMs Length of a hold in milliseconds.
 *
 * @example
 * holdsKey(grants, 4711, now, 7000);
 */
export function holdsKey(
  grants: Grants,
  key: number,
  now: number,
  holdMs: number,
): boolean {
  if (now > grants.since + holdMs - TRAVEL_MS) return false;
  return grants.granted.some(range => contains(range, key));
}

/**
 * Tells whether an incarnation may be granted a key without being asked to
 * release it first, when another daemon has named it as the holder: that daemon
 * may know a newer map. What another one holds is not awaited.
 *
 * @param term The term of the key by the map known here.
 * @param isHeard The incarnation sends heartbeats, so that keys that were revoked
 *     from it come back.
 *
 * @example
 * mayReceive({...term, state: 'moving', next: life}, life, true); // true
 */
export function mayReceive(
  term: RangeTerm | undefined,
  life: Incarnation,
  isHeard: boolean,
): boolean {
  if (!term || term.state === 'free' || sameLife(term.next, life)) return true;
  const isOwn = sameLife(term.holder, life);
  if (term.state === 'revoked') return isOwn ? isHeard : true;
  return term.state === 'held' && isOwn;
}

/**
 * Returns the ranges of an answer that an earlier one did not grant under the
 * same fencing token.
 *
 * @example
 * newlyGranted([], [{from: 0, to: 99, fence: 7}]).length; // 1
 */
export function newlyGranted(
  before: readonly HeldRange[],
  after: readonly HeldRange[],
): readonly HeldRange[] {
  return after.filter(
    range =>
      !before.some(
        known => known.fence === range.fence && covers(known, range),
      ),
  );
}

/** Longest time that a heartbeat that is answered takes to arrive. */
const TRAVEL_MS = 1000;

/**
 * Returns the terms that the map wants back from an incarnation.
 *
 * @example
 * wantedFrom(map, life).map(({from, to}) => [from, to]);
 */
export function wantedFrom(
  map: RangeMap,
  life: Incarnation,
): readonly RangeTerm[] {
  return map.terms.filter(
    term =>
      (term.state === 'moving' || term.state === 'revoked') &&
      sameLife(term.holder, life),
  );
}
