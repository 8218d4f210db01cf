import type {HeldRange} from './grants.js';
import {contains, covers, overlaps, type KeyRange} from './map.js';

/** A range that an instance has said to hold, until it is renewed. */
export interface CallGrant extends HeldRange {
  /** Time until which the instance holds it at least, in milliseconds. */
  readonly until: number;
}

/** A call that granted a range and is not answered, so that it may still act. */
export interface PendingCall extends HeldRange {
  readonly number: number;
  /** Time at which its hold has ended by any clock, in milliseconds. */
  readonly endsAt: number;
}

/** What a daemon knows of the grants that it made by calls. */
export interface CallGrants {
  readonly held: readonly CallGrant[];
  /** Calls whose answer is awaited or was lost. */
  readonly pending: readonly PendingCall[];
}

/** The ledger of a daemon that has made no call yet. */
export const NO_CALL_GRANTS: CallGrants = {held: [], pending: []};

/** How a call that granted a range ended. */
export type CallOutcome =
  /** The instance holds the range. */
  | 'granted'
  /** The instance has seen a higher fencing token on one of the keys. */
  | 'outranked'
  /** The call has certainly had no effect. */
  | 'refused'
  /** The call may have an effect, now or later. */
  | 'unanswered';

/**
 * Records a call before it is sent.
 *
 * @example
 * ledger = beginCall(ledger, {number: 1, from: 0, to: 99, fence: 7, endsAt});
 */
export function recordCall(grants: CallGrants, call: PendingCall): CallGrants {
  return {...grants, pending: [...grants.pending, call]};
}

/**
 * Records how a call ended. One without an answer stays open until its hold has
 * ended: it may be carried out after later calls, also after a release.
 *
 * @param until Time until which a granted range is held at least.
 *
 * @example
 * ledger = endCall(ledger, 1, 'granted', performance.now() + 4000);
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
  if (outcome !== 'granted') return {...grants, pending: pending};
  const {from, to, fence} = call;
  const {held} = removeRange(grants, call);
  return {held: [...held, {from, to, fence, until}], pending: pending};
}

/**
 * Drops open calls whose hold has ended.
 *
 * @example
 * ledger = forgetEnded(ledger, performance.now());
 */
export function dropEndedCalls(grants: CallGrants, now: number): CallGrants {
  const pending = grants.pending.filter(call => call.endsAt > now);
  return pending.length === grants.pending.length
    ? grants
    : {...grants, pending: pending};
}

/**
 * Takes a range out of what the instance holds, before it is asked to release
 * it or when it says that it has lost it.
 *
 * @example
 * ledger = withdraw(ledger, {from: 100, to: 199});
 */
export function removeRange(grants: CallGrants, range: KeyRange): CallGrants {
  const held = grants.held.flatMap(row => {
    if (!overlaps(row, range)) return [row];
    const below = {...row, to: range.from - 1};
    const above = {...row, from: range.to + 1};
    return [below, above].filter(({from, to}) => from <= to);
  });
  return {...grants, held};
}

/**
 * Returns the time until which a call may still give the instance keys of a
 * range, whatever the instance releases before; -Infinity when none may.
 *
 * @example
 * if (openUntil(ledger, term) > performance.now()) return; // Not yet.
 */
export function pendingUntil(grants: CallGrants, range: KeyRange): number {
  return grants.pending
    .filter(call => overlaps(call, range))
    .reduce((latest, {endsAt}) => Math.max(latest, endsAt), -Infinity);
}

/**
 * Tells whether a range has to be granted: it is not held under its fencing
 * token, or not for long enough.
 *
 * @param minRemainingMs Shortest rest of a hold that is not renewed yet.
 *
 * @example
 * terms.filter(term => isDue(ledger, term, now, 3000));
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
 * Tells whether the instance holds a key by what it has answered.
 *
 * @example
 * isHeld(ledger, 4711, performance.now());
 */
export function holdsByCall(
  grants: CallGrants,
  key: number,
  now: number,
): boolean {
  return grants.held.some(row => contains(row, key) && now < row.until);
}
