import type {HeldRange} from './grants.js';
import {contains, covers, overlaps, subtract, type KeyRange} from './map.js';

/** A range whose grant the instance has confirmed in its answer to a call. */
export interface CallGrant extends HeldRange {
  /** Earliest time at which the hold expires, in milliseconds. */
  readonly until: number;
}

/** A grant call without an answer, which may still take effect. */
export interface PendingCall extends HeldRange {
  readonly number: number;
  /**
   * Time by which its hold has expired even with the largest clock drift, in
   * milliseconds.
   */
  readonly endsAt: number;
}

/** Grants that a daemon has made to its instance by calls. */
export interface CallGrants {
  readonly held: readonly CallGrant[];
  /** Calls whose answer is outstanding or was lost. */
  readonly pending: readonly PendingCall[];
}

/** Grants of a daemon that has made no call yet. */
export const NO_CALL_GRANTS: CallGrants = {held: [], pending: []};

/** Outcome of a call that grants a range. */
export type CallOutcome =
  /** The instance holds the range. */
  | 'granted'
  /** The instance has seen a higher fencing token for one of the keys. */
  | 'outranked'
  /** The call had no effect. */
  | 'refused'
  /** The call may have taken effect, or may do so later. */
  | 'unanswered';

/**
 * Records a call before it is sent.
 *
 * @example
 * grants = recordCall(grants, {number: 1, from: 0, to: 99, fence: 7, endsAt});
 */
export function recordCall(grants: CallGrants, call: PendingCall): CallGrants {
  return {...grants, pending: [...grants.pending, call]};
}

/**
 * Records the outcome of a call. An unanswered call stays pending until its
 * hold has expired, because it may be executed after later calls, even after a
 * release.
 *
 * @param until Earliest time at which the hold of a granted range expires, in
 *     milliseconds.
 *
 * @example
 * grants = recordOutcome(grants, 1, 'granted', performance.now() + 4000);
 */
export function recordOutcome(
  grants: CallGrants,
  number: number,
  outcome: CallOutcome,
  until: number,
): CallGrants {
  const call = grants.pending.find(other => other.number === number);
  if (!call || outcome === 'unanswered') return grants;
  const pending = grants.pending.filter(other => other !== call);
  if (outcome !== 'granted') return {...grants, pending};
  const {from, to, fence} = call;
  const {held} = removeRange(grants, call);
  return {held: [...held, {from, to, fence, until}], pending};
}

/**
 * Drops pending calls whose hold has expired.
 *
 * @example
 * grants = dropEndedCalls(grants, performance.now());
 */
export function dropEndedCalls(grants: CallGrants, now: number): CallGrants {
  const pending = grants.pending.filter(call => call.endsAt > now);
  return pending.length === grants.pending.length
    ? grants
    : {...grants, pending};
}

/**
 * Removes a range from the held ranges, before the instance is asked to release
 * it or when the instance reports that it has lost it.
 *
 * @example
 * grants = removeRange(grants, {from: 100, to: 199});
 */
export function removeRange(grants: CallGrants, range: KeyRange): CallGrants {
  return {...grants, held: subtract(grants.held, range)};
}

/**
 * Returns the time until which a pending call may still grant keys of a range,
 * even after the instance has released them; -Infinity if there is no such
 * call.
 *
 * @example
 * if (pendingUntil(grants, term) > performance.now()) return; // Not released yet.
 */
export function pendingUntil(grants: CallGrants, range: KeyRange): number {
  return grants.pending
    .filter(call => overlaps(call, range))
    .reduce((latest, {endsAt}) => Math.max(latest, endsAt), -Infinity);
}

/**
 * Returns whether a range needs a grant: it is not held under its fencing
 * token, or its hold expires too soon.
 *
 * @param minRemainingMs Remaining hold time below which a range is renewed, in
 *     milliseconds.
 *
 * @example
 * terms.filter(term => isGrantDue(grants, term, now, 3000));
 */
export function isGrantDue(
  grants: CallGrants,
  range: HeldRange,
  now: number,
  minRemainingMs: number,
): boolean {
  return !grants.held.some(
    row =>
      row.fence === range.fence &&
      covers(row, range) &&
      row.until - now >= minRemainingMs,
  );
}

/**
 * Returns whether the instance holds a key by its answers to calls.
 *
 * @example
 * holdsByCall(grants, 4711, performance.now());
 */
export function holdsByCall(
  grants: CallGrants,
  key: number,
  now: number,
): boolean {
  return grants.held.some(row => contains(row, key) && now < row.until);
}
