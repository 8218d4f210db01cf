import type {LeaseId, WitnessSet} from '../model/index.js';
import type {SealAnswer} from './messages.js';

/** What a witness has promised to one instance. */
export interface Promised {
  readonly generation: number;
  /** End of the promise by the witness's clock, in milliseconds. */
  readonly until: number;
  /** A sealed lease is never renewed again. */
  readonly sealed: boolean;
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

/**
 * Renews a promise, unless the lease is sealed or a later one is known.
 *
 * @param until End of the renewed promise, in milliseconds.
 */
export function renewPromise(
  promises: Promises,
  lease: LeaseId,
  until: number,
): WitnessStep<'renewed' | 'refused'> {
  const known = promises.get(lease.instance);
  if (refuses(known, lease)) return {promises, answer: 'refused'};
  const noted =
    known?.generation === lease.generation ? known.noted : undefined;
  const renewed = {
    generation: lease.generation,
    until: Math.max(until, sameGeneration(known, lease)?.until ?? 0),
    sealed: false,
    noted,
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
  const known = promises.get(lease.instance);
  const same = sameGeneration(known, lease);
  const noted = same?.noted?.number ?? 0;
  const answer = {kind: 'sealAnswer', lease, noted} as const;
  if (known && known.generation > lease.generation) {
    return {promises, answer: {...answer, sealed: true}};
  }
  if (same?.noted && same.noted.number > number) {
    return {promises, answer: {...answer, sealed: false, newer: same.noted}};
  }
  if (same && !same.sealed && same.until > now) {
    return {promises, answer: {...answer, sealed: false}};
  }
  const sealed = {
    ...same,
    generation: lease.generation,
    until: same?.until ?? now,
    sealed: true,
  };
  return {
    promises: set(promises, lease, sealed),
    answer: {...answer, sealed: true},
  };
}

/** Notes that a newer witness set is in force, unless the lease is sealed. */
export function noteSet(
  promises: Promises,
  lease: LeaseId,
  next: WitnessSet,
): WitnessStep<'noted' | 'refused'> {
  const known = promises.get(lease.instance);
  if (refuses(known, lease)) return {promises, answer: 'refused'};
  const same = sameGeneration(known, lease);
  const newest =
    same?.noted && same.noted.number > next.number ? same.noted : next;
  const noted = {
    generation: lease.generation,
    until: same?.until ?? 0,
    sealed: false,
    noted: newest,
  };
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

function refuses(known: Promised | undefined, lease: LeaseId): boolean {
  if (!known) return false;
  if (known.generation > lease.generation) return true;
  return known.generation === lease.generation && known.sealed;
}

function sameGeneration(
  known: Promised | undefined,
  lease: LeaseId,
): Promised | undefined {
  return known?.generation === lease.generation ? known : undefined;
}

function set(promises: Promises, lease: LeaseId, promised: Promised): Promises {
  return new Map(promises).set(lease.instance, promised);
}
