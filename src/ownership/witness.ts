import type {LeaseId, WitnessSet} from '../model/index.js';
import type {SealAnswer} from './messages.js';

/** What a witness has promised to one instance. */
export interface Promised {
  readonly generation: number;
  /** End of the promise by the witness's clock, in milliseconds. */
  readonly until: number;
  /**
   * The lease is never renewed again for the witness sets up to this number; 0
   * if it is not sealed. A later set may name the witness again.
   */
  readonly sealedUpTo: number;
  /** The newest witness set that the holder has told this witness of. */
  readonly noted?: WitnessSet;
  /** When the successors were last told of the lapse. */
  readonly notifiedAt?: number;
}

/** The promises of a witness, by instance. */
export type Promises = ReadonlyMap<string, Promised>;

/** A new state of the promises together with the answer to the request. */
export interface WitnessStep<Answer> {
  readonly promises: Promises;
  readonly answer: Answer;
}

/** A number above that of every witness set. */
const EVERY_SET = 2 ** 31;

/**
 * Renews a promise, unless the lease is sealed for the set or a later lease is
 * known.
 *
 * @param number Lowest number of the holder's sets that need the promise.
 * @param until End of the renewed promise, in milliseconds.
 */
export function renewPromise(
  promises: Promises,
  lease: LeaseId,
  number: number,
  until: number,
): WitnessStep<'renewed' | 'refused'> {
  const known = promisedTo(promises, lease);
  if (known.sealedUpTo >= number) return {promises, answer: 'refused'};
  const renewed = {
    ...known,
    until: Math.max(until, known.until),
    notifiedAt: undefined,
  };
  return {promises: set(promises, lease, renewed), answer: 'renewed'};
}

/**
 * Seals a lease whose promise has lapsed. An asker that knows only an older
 * witness set is told the newer one instead.
 *
 * @param number Number of the witness set that the asker knows.
 */
export function sealPromise(
  promises: Promises,
  lease: LeaseId,
  number: number,
  now: number,
): WitnessStep<SealAnswer> {
  const known = promisedTo(promises, lease);
  const noted = known.noted?.number ?? 0;
  const answer = {kind: 'sealAnswer', lease, noted} as const;
  const sealed = known.sealedUpTo;
  if (sealed >= number) return {promises, answer: {...answer, sealed}};
  if (noted > number) {
    return {promises, answer: {...answer, sealed, newer: known.noted}};
  }
  if (known.until > now) return {promises, answer: {...answer, sealed}};
  return {
    promises: set(promises, lease, {...known, sealedUpTo: number}),
    answer: {...answer, sealed: number},
  };
}

/**
 * Notes that a newer witness set is in force, unless the lease is sealed for the
 * set that it replaces.
 *
 * @param from Number of the set that the next one replaces.
 */
export function noteSet(
  promises: Promises,
  lease: LeaseId,
  next: WitnessSet,
  from: number,
): WitnessStep<'noted' | 'refused'> {
  const known = promisedTo(promises, lease);
  if (known.sealedUpTo >= from) return {promises, answer: 'refused'};
  const isNewest = next.number > (known.noted?.number ?? 0);
  const noted = {...known, noted: isNewest ? next : known.noted};
  return {promises: set(promises, lease, noted), answer: 'noted'};
}

/**
 * Returns the leases whose promises have lapsed and whose successors have not
 * been told within the repeat time, and marks them as told.
 */
export function lapsedPromises(
  promises: Promises,
  now: number,
  repeatMs: number,
): WitnessStep<readonly LeaseId[]> {
  const due = [...promises].filter(([, promised]) =>
    isDue(promised, now, repeatMs),
  );
  if (due.length === 0) return {promises, answer: []};
  const next = new Map(promises);
  for (const [instance, promised] of due) {
    next.set(instance, {...promised, notifiedAt: now});
  }
  const answer = due.map(([instance, promised]) => ({
    instance,
    generation: promised.generation,
  }));
  return {promises: next, answer};
}

function isDue(promised: Promised, now: number, repeatMs: number): boolean {
  if (promised.until > now) return false;
  return now - (promised.notifiedAt ?? -Infinity) >= repeatMs;
}

/** Returns what was promised to a lease; one that a later lease ended is sealed. */
function promisedTo(promises: Promises, lease: LeaseId): Promised {
  const {generation} = lease;
  const known = promises.get(lease.instance);
  if (known?.generation === generation) return known;
  const isOver = known !== undefined && known.generation > generation;
  return {generation, until: 0, sealedUpTo: isOver ? EVERY_SET : 0};
}

function set(promises: Promises, lease: LeaseId, promised: Promised): Promises {
  return new Map(promises).set(lease.instance, promised);
}
