import type {LeaseId, WitnessSet} from '../model/index.js';
import type {SealAnswer} from './messages.js';

/**
 * State of one lease at one of its witnesses. By acknowledging a renewal, the
 * witness promises not to seal the lease before `until`.
 */
export interface WitnessedLease {
  readonly generation: number;
  /**
   * Time up to which the lease is acknowledged, by the witness's clock, in
   * milliseconds.
   */
  readonly until: number;
  /**
   * Renewals are refused for witness sets up to this number; 0 if the lease is
   * not sealed. A later set may include the same witness again.
   */
  readonly sealedUpTo: number;
  /**
   * Newest witness set of the lease that the holder has reported to this
   * witness.
   */
  readonly newestSet?: WitnessSet;
  /**
   * When the successors were last notified that the lease has lapsed, in
   * milliseconds.
   */
  readonly notifiedAt?: number;
}

/** The leases that a daemon observes as a witness, by instance. */
export type WitnessedLeases = ReadonlyMap<string, WitnessedLease>;

/** The updated leases and the answer to the request. */
export interface WitnessStep<Answer> {
  readonly leases: WitnessedLeases;
  readonly answer: Answer;
}

/** Greater than the number of any witness set. */
const ABOVE_ALL_SET_NUMBERS = 2 ** 31;

/**
 * Acknowledges the renewal of a lease, unless the lease is sealed for the
 * witness set or a later lease of the instance is known.
 *
 * @param number Lowest number of the holder's witness sets that need the
 *     acknowledgement.
 * @param until Time up to which the lease is acknowledged, in milliseconds.
 */
export function acknowledgeRenewal(
  leases: WitnessedLeases,
  lease: LeaseId,
  number: number,
  until: number,
): WitnessStep<'renewed' | 'refused'> {
  const known = witnessedLease(leases, lease);
  if (known.sealedUpTo >= number) return {leases, answer: 'refused'};
  const renewed = {
    ...known,
    until: Math.max(until, known.until),
    notifiedAt: undefined,
  };
  return {leases: withLease(leases, lease, renewed), answer: 'renewed'};
}

/**
 * Seals a lease whose acknowledgement has lapsed. A requester that knows only
 * an older witness set receives the newer set instead.
 *
 * @param number Number of the newest witness set that the requester knows.
 */
export function sealLease(
  leases: WitnessedLeases,
  lease: LeaseId,
  number: number,
  now: number,
): WitnessStep<SealAnswer> {
  const known = witnessedLease(leases, lease);
  const noted = known.newestSet?.number ?? 0;
  const answer = {kind: 'sealAnswer', lease, noted} as const;
  const sealed = known.sealedUpTo;
  if (sealed >= number) return {leases, answer: {...answer, sealed}};
  if (noted > number) {
    return {leases, answer: {...answer, sealed, newer: known.newestSet}};
  }
  if (known.until > now) return {leases, answer: {...answer, sealed}};
  return {
    leases: withLease(leases, lease, {...known, sealedUpTo: number}),
    answer: {...answer, sealed: number},
  };
}

/**
 * Records that a newer witness set is in force, unless the lease is sealed for
 * the set that it replaces.
 *
 * @param from Number of the set that the next one replaces.
 */
export function recordNewerSet(
  leases: WitnessedLeases,
  lease: LeaseId,
  next: WitnessSet,
  from: number,
): WitnessStep<'noted' | 'refused'> {
  const known = witnessedLease(leases, lease);
  if (known.sealedUpTo >= from) return {leases, answer: 'refused'};
  const isNewest = next.number > (known.newestSet?.number ?? 0);
  const updated = {...known, newestSet: isNewest ? next : known.newestSet};
  return {leases: withLease(leases, lease, updated), answer: 'noted'};
}

/**
 * Returns the lapsed leases whose successors have not been notified within the
 * repeat interval, and marks them as notified.
 *
 * @param repeatMs Interval between two notices of the same lapse, in
 *     milliseconds.
 */
export function dueLapseNotices(
  leases: WitnessedLeases,
  now: number,
  repeatMs: number,
): WitnessStep<readonly LeaseId[]> {
  const due = [...leases].filter(([, witnessed]) =>
    isNoticeDue(witnessed, now, repeatMs),
  );
  if (due.length === 0) return {leases, answer: []};
  const next = new Map(leases);
  for (const [instance, witnessed] of due) {
    next.set(instance, {...witnessed, notifiedAt: now});
  }
  const answer = due.map(([instance, witnessed]) => ({
    instance,
    generation: witnessed.generation,
  }));
  return {leases: next, answer};
}

function isNoticeDue(
  witnessed: WitnessedLease,
  now: number,
  repeatMs: number,
): boolean {
  if (witnessed.until > now) return false;
  return now - (witnessed.notifiedAt ?? -Infinity) >= repeatMs;
}

/**
 * Returns the state of a lease. A lease that was ended by a later lease of its
 * instance counts as sealed for all witness sets.
 */
function witnessedLease(
  leases: WitnessedLeases,
  lease: LeaseId,
): WitnessedLease {
  const {generation} = lease;
  const known = leases.get(lease.instance);
  if (known?.generation === generation) return known;
  const isSuperseded = known !== undefined && known.generation > generation;
  return {
    generation,
    until: 0,
    sealedUpTo: isSuperseded ? ABOVE_ALL_SET_NUMBERS : 0,
  };
}

function withLease(
  leases: WitnessedLeases,
  lease: LeaseId,
  witnessed: WitnessedLease,
): WitnessedLeases {
  return new Map(leases).set(lease.instance, witnessed);
}
