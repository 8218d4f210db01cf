import type {Release} from './change.js';
import {
  contains,
  covers,
  overlaps,
  isSameIncarnation,
  type Incarnation,
  type KeyRange,
  type RangeMap,
  type RangeTerm,
} from './map.js';

/** What an upstream says in a heartbeat of the keys that it holds. */
export interface HoldReport {
  readonly incarnation: Incarnation;
  /** Number of the heartbeat; it grows within a life. */
  readonly sequence: number;
  readonly holds: readonly HeldRange[];
  readonly freed: readonly Release[];
}

/** A range that an upstream holds or still works on. */
export interface HeldRange extends KeyRange {
  readonly fence: number;
}

/** What the daemon beside an upstream knows of the upstream's grants. */
export interface HeartbeatGrants {
  readonly incarnation?: Incarnation;
  readonly sequence: number;
  /** Ranges in the last answer that granted anything. */
  readonly granted: readonly HeldRange[];
  /** Number of the heartbeat that this answer belonged to. */
  readonly grantedSequence: number;
  /** Time at which that heartbeat arrived, in milliseconds. */
  readonly arrivedAt: number;
  /** Releases that are not recorded in the map yet. */
  readonly released: readonly Release[];
}

/** The grants of a daemon that has heard of no upstream yet. */
export const NO_HEARTBEAT_GRANTS: HeartbeatGrants = {
  sequence: -1,
  granted: [],
  grantedSequence: -1,
  arrivedAt: -Infinity,
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
export function applyHeartbeat(
  grants: HeartbeatGrants,
  report: HoldReport,
): HeartbeatGrants {
  const {incarnation: incarnation, sequence} = report;
  if (!isSameIncarnation(grants.incarnation, incarnation))
    return {...NO_HEARTBEAT_GRANTS, incarnation: incarnation, sequence};
  if (grants.grantedSequence < 0) return {...grants, sequence};
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
  grants: HeartbeatGrants,
  report: HoldReport,
): readonly Release[] {
  const pending = termsToRelease(map, report.incarnation);
  const isAfterGrant =
    grants.grantedSequence >= 0 && report.sequence > grants.grantedSequence;
  return pending.flatMap(term => {
    const freed = grants.released.filter(range => overlaps(range, term));
    if (report.holds.some(range => overlaps(range, term))) return [];
    if (freed.length > 0) {
      return freed.map(({from, to, handover}) => ({
        from: Math.max(from, term.from),
        to: Math.min(to, term.to),
        handover,
      }));
    }
    const isOmitted = !grants.granted.some(range => overlaps(range, term));
    if (!isAfterGrant || !isOmitted) return [];
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
export function recordGrants(
  grants: HeartbeatGrants,
  sequence: number,
  ranges: readonly HeldRange[],
  arrivedAt: number,
): HeartbeatGrants {
  const released = grants.released.filter(
    range => !ranges.some(other => overlaps(other, range)),
  );
  return {
    ...grants,
    released,
    granted: ranges.map(({from, to, fence}) => ({from, to, fence})),
    grantedSequence: sequence,
    arrivedAt: arrivedAt,
  };
}

/**
 * Drops releases that the map has recorded or that no longer concern it.
 *
 * @example
 * grants = settle(grants, map);
 */
export function dropRecordedReleases(
  grants: HeartbeatGrants,
  map: RangeMap,
): HeartbeatGrants {
  const {incarnation: incarnation} = grants;
  if (grants.released.length === 0 || !incarnation) return grants;
  const pending = termsToRelease(map, incarnation);
  const released = grants.released.filter(range =>
    pending.some(term => overlaps(term, range)),
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
export function holdsByHeartbeat(
  grants: HeartbeatGrants,
  key: number,
  now: number,
  holdMs: number,
): boolean {
  if (now > grants.arrivedAt + holdMs - MAX_TRANSIT_MS) return false;
  return grants.granted.some(range => contains(range, key));
}

/**
 * Tells whether an incarnation may be granted a key without being asked to
 * release it first, when another daemon has named it as the holder: that daemon
 * may know a newer map. What another one holds is not awaited.
 *
 * @param term The term of the key by the map known here.
 * @param isSendingHeartbeats The incarnation sends heartbeats, so that keys that were revoked
 *     from it come back.
 *
 * @example
 * mayReceive({...term, state: 'moving', next: life}, life, true); // true
 */
export function isGrantable(
  term: RangeTerm | undefined,
  incarnation: Incarnation,
  isSendingHeartbeats: boolean,
): boolean {
  if (
    !term ||
    term.state === 'free' ||
    isSameIncarnation(term.next, incarnation)
  )
    return true;
  const isOwn = isSameIncarnation(term.holder, incarnation);
  if (term.state === 'revoked') return isOwn ? isSendingHeartbeats : true;
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
const MAX_TRANSIT_MS = 1000;

/**
 * Returns the terms that the map wants back from an incarnation.
 *
 * @example
 * wantedFrom(map, life).map(({from, to}) => [from, to]);
 */
export function termsToRelease(
  map: RangeMap,
  incarnation: Incarnation,
): readonly RangeTerm[] {
  return map.terms.filter(
    term =>
      (term.state === 'moving' || term.state === 'revoked') &&
      isSameIncarnation(term.holder, incarnation),
  );
}
