import type {HeldRange} from './holder.js';
import {contains, covers, overlaps, type KeySpan} from './map.js';

/** A range that an instance has said to hold, until it is renewed. */
export interface CalledRange extends HeldRange {
  /** Time until which the instance holds it at least, in milliseconds. */
  readonly until: number;
}

/** A call that granted a range and is not answered, so that it may still act. */
export interface OpenCall extends HeldRange {
  readonly number: number;
  /** Time at which its hold has ended by any clock, in milliseconds. */
  readonly endsAt: number;
}

/** What a daemon knows of the grants that it made by calls. */
export interface Ledger {
  readonly held: readonly CalledRange[];
  /** Calls whose answer is awaited or was lost. */
  readonly open: readonly OpenCall[];
}

/** The ledger of a daemon that has made no call yet. */
export const EMPTY_LEDGER: Ledger = {held: [], open: []};

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
export function beginCall(ledger: Ledger, call: OpenCall): Ledger {
  return {...ledger, open: [...ledger.open, call]};
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
export function endCall(
  ledger: Ledger,
  number: number,
  outcome: CallOutcome,
  until: number,
): Ledger {
  const call = ledger.open.find(other => other.number === number);
  if (!call || outcome === 'unanswered') return ledger;
  const open = ledger.open.filter(other => other !== call);
  if (outcome !== 'granted') return {...ledger, open};
  const {from, to, fence} = call;
  const {held} = withdraw(ledger, call);
  return {held: [...held, {from, to, fence, until}], open};
}

/**
 * Drops open calls whose hold has ended.
 *
 * @example
 * ledger = forgetEnded(ledger, performance.now());
 */
export function forgetEnded(ledger: Ledger, now: number): Ledger {
  const open = ledger.open.filter(call => call.endsAt > now);
  return open.length === ledger.open.length ? ledger : {...ledger, open};
}

/**
 * Takes a range out of what the instance holds, before it is asked to release
 * it or when it says that it has lost it.
 *
 * @example
 * ledger = withdraw(ledger, {from: 100, to: 199});
 */
export function withdraw(ledger: Ledger, range: KeySpan): Ledger {
  const held = ledger.held.flatMap(row => {
    if (!overlaps(row, range)) return [row];
    const below = {...row, to: range.from - 1};
    const above = {...row, from: range.to + 1};
    return [below, above].filter(({from, to}) => from <= to);
  });
  return {...ledger, held};
}

/**
 * Returns the time until which a call may still give the instance keys of a
 * range, whatever the instance releases before; -Infinity when none may.
 *
 * @example
 * if (openUntil(ledger, term) > performance.now()) return; // Not yet.
 */
export function openUntil(ledger: Ledger, range: KeySpan): number {
  return ledger.open
    .filter(call => overlaps(call, range))
    .reduce((latest, {endsAt}) => Math.max(latest, endsAt), -Infinity);
}

/**
 * Tells whether a range has to be granted: it is not held under its fencing
 * token, or not for long enough.
 *
 * @param leftMs Shortest rest of a hold that is not renewed yet.
 *
 * @example
 * terms.filter(term => isDue(ledger, term, now, 3000));
 */
export function isDue(
  ledger: Ledger,
  range: HeldRange,
  now: number,
  leftMs: number,
): boolean {
  return !ledger.held.some(
    row =>
      row.fence === range.fence &&
      covers(row, range) &&
      row.until - now >= leftMs,
  );
}

/**
 * Tells whether the instance holds a key by what it has answered.
 *
 * @example
 * isHeld(ledger, 4711, performance.now());
 */
export function isHeld(ledger: Ledger, key: number, now: number): boolean {
  return ledger.held.some(row => contains(row, key) && now < row.until);
}
