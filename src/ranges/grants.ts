import {ALL_KEYS, type Release} from './change.js';
import {
  contains,
  covers,
  overlaps,
  isSameIncarnation,
  subtract,
  type Incarnation,
  type KeyRange,
  type RangeMap,
  type RangeTerm,
} from './map.js';

/** The keys that an instance reports in a heartbeat. */
export interface HoldReport {
  readonly incarnation: Incarnation;
  /** Sequence number of the heartbeat; increases within an incarnation. */
  readonly sequence: number;
  readonly holds: readonly HeldRange[];
  readonly freed: readonly Release[];
  /** Arrival time of the heartbeat, in milliseconds. */
  readonly arrivedAt: number;
  /** The answer that the instance is known to have read before it sent this. */
  readonly read?: ReadAnswer;
}

/** An answer that an instance has read. */
export interface ReadAnswer {
  /** Sequence number of the answered heartbeat. */
  readonly sequence: number;
  /** Time before which the answer was not sent, in milliseconds. */
  readonly sentAfter: number;
}

/** A range that an instance holds or still executes requests for. */
export interface HeldRange extends KeyRange {
  readonly fence: number;
}

/** An answer that granted ranges and that the instance may still read. */
export interface OpenAnswer {
  /**
   * Sequence number of the answered heartbeat; undefined for all answers of an
   * earlier process of the daemon, or to earlier incarnations.
   */
  readonly sequence?: number;
  readonly ranges: readonly KeyRange[];
  /** Time from which the instance no longer reads the answer, in milliseconds. */
  readonly readableUntil: number;
  /** Time by which all leases of the answer have expired, in milliseconds. */
  readonly leasedUntil: number;
}

/** Until when an answer and its leases count. */
export type AnswerTimes = Pick<OpenAnswer, 'readableUntil' | 'leasedUntil'>;

/** Grants that a daemon has made to its instance in answers to heartbeats. */
export interface HeartbeatGrants {
  /** Incarnation of the instance; undefined before its first heartbeat. */
  readonly incarnation?: Incarnation;
  /** Sequence number of the last heartbeat; -1 before the first. */
  readonly sequence: number;
  /** Ranges of the last answer that made a grant. */
  readonly granted: readonly HeldRange[];
  /**
   * Sequence number of the heartbeat whose answer is recorded in `granted`; -1
   * before the first.
   */
  readonly grantedSequence: number;
  /** Arrival time of that heartbeat, in milliseconds. */
  readonly arrivedAt: number;
  /** Reported releases that the map does not record yet. */
  readonly released: readonly Release[];
  /** Answers that the instance may have read after it sent the last heartbeat. */
  readonly open: readonly OpenAnswer[];
}

/** Grants of a daemon that has received no heartbeat yet. */
export const NO_HEARTBEAT_GRANTS: HeartbeatGrants = {
  sequence: -1,
  granted: [],
  grantedSequence: -1,
  arrivedAt: -Infinity,
  released: [],
  open: [],
};

/**
 * Returns the grants before the first heartbeat of an incarnation, when others
 * may have been granted any keys: by an earlier process of the daemon, or before
 * this incarnation replaced them.
 *
 * @param earlier Times of the last answers of these grants.
 *
 * @example
 * const readableUntil = startedAt + 1130;
 * let grants = startGrants([{readableUntil, leasedUntil: startedAt + 5250}]);
 */
export function startGrants(earlier: readonly AnswerTimes[]): HeartbeatGrants {
  const open = earlier.map(times => ({ranges: [ALL_KEYS], ...times}));
  return {...NO_HEARTBEAT_GRANTS, open};
}

/**
 * Applies a heartbeat. A new incarnation starts without grants; ranges that the
 * instance reports as freed are kept until the map records them, or until it
 * reports them as held. The caller must pass the heartbeats of an incarnation in
 * increasing sequence.
 *
 * A release counts only after this process has answered without the range: a
 * heartbeat sent before a restart of the daemon proves nothing about later
 * grants.
 *
 * @example
 * const grants = applyHeartbeat(NO_HEARTBEAT_GRANTS, report);
 */
export function applyHeartbeat(
  grants: HeartbeatGrants,
  report: HoldReport,
): HeartbeatGrants {
  const {incarnation, sequence, holds} = report;
  const open = grants.open.filter(answer => isOpen(answer, report));
  if (!isSameIncarnation(grants.incarnation, incarnation)) {
    const earlier = open.filter(answer => answer.sequence === undefined);
    return {...NO_HEARTBEAT_GRANTS, incarnation, sequence, open: earlier};
  }
  if (grants.grantedSequence < 0) return {...grants, sequence, open};
  const freed = report.freed.filter(
    range => !grants.granted.some(granted => overlaps(granted, range)),
  );
  const released = [...holds, ...freed].reduce(
    (ranges, other) => subtract(ranges, other),
    grants.released,
  );
  return {...grants, sequence, open, released: [...released, ...freed]};
}

/** Returns whether an answer may still give keys after a heartbeat was sent. */
function isOpen(
  {sequence, readableUntil, leasedUntil}: OpenAnswer,
  {arrivedAt, read}: HoldReport,
): boolean {
  if (arrivedAt >= leasedUntil) return false;
  if (!read) return true;
  return read.sequence !== sequence && read.sentAfter < readableUntil;
}

/**
 * Returns the ranges that the instance was required to release and has
 * verifiably released: ranges that it reported as freed, and terms that the
 * last granting answer omitted and that the instance, by a later heartbeat,
 * neither holds nor executes requests for any more. A term is skipped while the
 * instance still reports any part of it as held, or may read an earlier answer
 * that grants it.
 *
 * @example
 * release(map, incarnation, findReleases(map, grants, report));
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
    if (isGrantOpen(grants, term)) return [];
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

function isGrantOpen({open}: HeartbeatGrants, term: KeyRange): boolean {
  return open.some(({ranges}) => ranges.some(range => overlaps(range, term)));
}

/**
 * Records an answer that granted ranges, and discards reported releases that
 * overlap the granted ranges.
 *
 * @param sequence Sequence number of the answered heartbeat.
 * @param arrivedAt Arrival time of the heartbeat, in milliseconds.
 *
 * @example
 * const times = {readableUntil: now + 1130, leasedUntil: now + 5250};
 * const rows = heldBy(map, incarnation);
 * grants = recordGrants(grants, sequence, rows, now, times);
 */
export function recordGrants(
  grants: HeartbeatGrants,
  sequence: number,
  ranges: readonly HeldRange[],
  arrivedAt: number,
  times: AnswerTimes,
): HeartbeatGrants {
  const granted = ranges.map(({from, to, fence}) => ({from, to, fence}));
  const released = grants.released.filter(
    range => !ranges.some(other => overlaps(other, range)),
  );
  return {
    ...grants,
    released,
    granted,
    grantedSequence: sequence,
    arrivedAt,
    open: [...grants.open, {sequence, ranges: granted, ...times}],
  };
}

/**
 * Drops reported releases that the map already records or no longer requires.
 *
 * @example
 * grants = dropRecordedReleases(grants, map);
 */
export function dropRecordedReleases(
  grants: HeartbeatGrants,
  map: RangeMap,
): HeartbeatGrants {
  const {incarnation} = grants;
  if (grants.released.length === 0 || !incarnation) return grants;
  const pending = termsToRelease(map, incarnation);
  const released = grants.released.filter(range =>
    pending.some(term => overlaps(term, range)),
  );
  return {...grants, released};
}

/**
 * Returns whether the instance still holds a key under the last answer. The
 * hold starts when the instance sends the heartbeat, so the maximum transit
 * time of a heartbeat is subtracted from it.
 *
 * @param holdMs Duration of a hold, in milliseconds.
 *
 * @example
 * holdsByHeartbeat(grants, 4711, now, 7000);
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
 * Returns whether an incarnation may be granted a key without releasing it
 * first: the key has no known term, is free, is assigned to the incarnation
 * next, is revoked from another incarnation, or is already held by this one. A
 * key revoked from this incarnation may be granted only if it sends heartbeats.
 * Returns false while the key is held by or moving from another incarnation and
 * this one is not next, and while the key is moving away from this one.
 *
 * Called when another daemon, which may know a newer map, has named the
 * incarnation as the holder.
 *
 * @param term Term of the key in the locally known map.
 * @param isSendingHeartbeats Whether the incarnation sends heartbeats, so that
 *     keys revoked from it are restored.
 *
 * @example
 * const term = {...current, state: 'moving', next: incarnation};
 * isGrantable(term, incarnation, true); // true
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
 * Returns the granted ranges that the previous answer did not grant under the
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

/**
 * Returns whether an instance reports all keys of a range under its fencing
 * token.
 *
 * @example
 * reportsRange([{from: 0, to: 9, fence: 7}], {from: 3, to: 9, fence: 7}); // true
 */
export function reportsRange(
  holds: readonly HeldRange[],
  {from, to, fence}: HeldRange,
): boolean {
  let next = from;
  while (next <= to) {
    const row = holds.find(
      held => held.fence === fence && contains(held, next),
    );
    if (!row) return false;
    next = row.to + 1;
  }
  return true;
}

/**
 * Returns the ranges that an incarnation reports as held though the map has
 * given keys of them to another one under a higher fencing token.
 *
 * @example
 * findOutdatedHolds(map, incarnation, [{from: 0, to: 9, fence: 7}]);
 */
export function findOutdatedHolds(
  map: RangeMap,
  incarnation: Incarnation,
  holds: readonly HeldRange[],
): readonly HeldRange[] {
  const isPassed = (held: HeldRange) => (term: RangeTerm) =>
    overlaps(term, held) &&
    term.state !== 'free' &&
    term.fence > held.fence &&
    !isSameIncarnation(term.holder, incarnation);
  return holds.filter(held => map.terms.some(isPassed(held)));
}

/** Maximum transit time of a heartbeat that is answered, in milliseconds. */
export const MAX_TRANSIT_MS = 1000;

/**
 * Returns the terms that an incarnation must release: those that are moving or
 * revoked.
 *
 * @example
 * termsToRelease(map, incarnation).map(({from, to}) => [from, to]);
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
