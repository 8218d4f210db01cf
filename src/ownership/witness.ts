import type {LeaseId, WitnessSet} from '../model/index.js';
import type {SealAnswer} from './messages.js';

/** What a witness has promised to one instance. */
export interface WitnessedLease {
  readonly generation: number;
  /** End of the promise by the witness's clock, in milliseconds. */
  readonly until: number;
  /**
   * The lease is never renewed again for the witness sets up to this number; 0
   * if it is not sealed. A later set may name the witness again.
   */
  readonly sealedUpTo: number;
  /** The newest witness set that the holder has told this witness of. */
  readonly newestSet?: WitnessSet;
  /** When the successors were last told of the lapse. */
  readonly notifiedAt?: number;
}

/** The promises of a witness, by instance. */
export type WitnessedLeases = ReadonlyMap<string, WitnessedLease>;

/** A new state of the promises together with the answer to the request. */
export interface WitnessStep<Answer> {
  readonly leases: WitnessedLeases;
  readonly answer: Answer;
}

/** A number above that of every witness set. */
const ABOVE_ALL_SET_NUMBERS = 2 ** 31;

/**
 * Renews a promise, unless the lease is sealed for the set or a later lease is
 * known.
 *
 * @param number Lowest number of the holder's sets that need the promise.
 * @param until End of the renewed promise, in milliseconds.
 */
export function acknowledgeRenewal(
  leases: WitnessedLeases,
  lease: LeaseId,
  number: number,
  until: number,
): WitnessStep<'renewed' | 'refused'> {
  const known = witnessedLease(leases, lease);
  if (known.sealedUpTo >= number) return {leases: leases, answer: 'refused'};
  const renewed = {
    ...known,
    until: Math.max(until, known.until),
    notifiedAt: undefined,
  };
  return {leases: withLease(leases, lease, renewed), answer: 'renewed'};
}

/**
 * Seals a lease whose promise has lapsed. An asker that knows only an older
 * witness set is told the newer one instead.
 *
 * @param number Number of the witness set that the asker knows.
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
  if (sealed >= number) return {leases: leases, answer: {...answer, sealed}};
  if (noted > number) {
    return {
      leases: leases,
      answer: {...answer, sealed, newer: known.newestSet},
    };
  }
  if (known.until > now) return {leases: leases, answer: {...answer, sealed}};
  return {
    leases: withLease(leases, lease, {...known, sealedUpTo: number}),
    answer: {...answer, sealed: number},
  };
}

/**
 * Notes that a newer witness set is in force, unless the lease is sealed for the
 * set that it replaces.
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
  if (known.sealedUpTo >= from) return {leases: leases, answer: 'refused'};
  const isNewest = next.number > (known.newestSet?.number ?? 0);
  const updated = {...known, newestSet: isNewest ? next : known.newestSet};
  return {leases: withLease(leases, lease, updated), answer: 'noted'};
}

/**
 * Returns the leases whose promises have lapsed and whose successors have not
 * been told within the repeat time, and marks them as told.
 */
export function dueLapseNotices(
  leases: WitnessedLeases,
  now: number,
  repeatMs: number,
): WitnessStep<readonly LeaseId[]> {
  const due = [...leases].filter(([, promised]) =>
    isNoticeDue(promised, now, repeatMs),
  );
  if (due.length === 0) return {leases: leases, answer: []};
  const next = new Map(leases);
  for (const [instance, promised] of due) {
    next.set(instance, {...promised, notifiedAt: now});
  }
  const answer = due.map(([instance, promised]) => ({
    instance,
    generation: promised.generation,
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

/** Returns what was promised to a lease; one that a later lease ended is sealed. */
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
