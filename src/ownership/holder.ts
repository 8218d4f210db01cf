import {readChart, sameLease} from '../model/index.js';
import type {LeaseId, Witness, WitnessSet} from '../model/index.js';
import type {LeaseSettings} from './settings.js';
import {holderLeaseMs} from './settings.js';

const HOLDER_CHART = readChart(
  new URL('./charts/holder.json', import.meta.url),
);
const WITNESSES_CHART = readChart(
  new URL('./charts/witnesses.json', import.meta.url),
);

/** Renewals and answers of one witness, by the holder's clock. */
export interface WitnessAnswers {
  /** Sending time of the latest renewal that the witness answered. */
  readonly renewedAt: number;
  /** When the witness was first asked as a candidate. */
  readonly candidateAt: number;
  /** Number of that renewal: it counts for this set and later ones. */
  readonly number: number;
  /** Highest number at which the witness refused to renew; 0 if it did not. */
  readonly refusedUpTo: number;
}

/** The lease of this daemon, as its holder sees it. */
export interface Holder {
  /** State of the holder chart. */
  readonly state: string;
  /** State of the witness set chart. */
  readonly replacementState: string;
  readonly lease: LeaseId;
  readonly currentSet: WitnessSet;
  /** A set that is asked to renew but whose answers do not count yet. */
  readonly candidateSet?: WitnessSet;
  /** The set that is to replace the current one; both must renew. */
  readonly nextSet?: WitnessSet;
  /** Witnesses of the current set that have noted the next one. */
  readonly notedBy: ReadonlySet<string>;
  /** Answers of the witnesses, by their process. */
  readonly answers: ReadonlyMap<string, WitnessAnswers>;
  /** Since when the lease has been recorded, by the holder's clock. */
  readonly recordedAt: number;
  /** End of the lease as last counted, by the holder's clock. */
  readonly validUntil: number;
}

/** What happens to a holder. */
export type HolderEvent =
  | {readonly kind: 'register'; readonly lease: LeaseId}
  | {
      readonly kind: 'stored';
      readonly witnesses: WitnessSet;
      readonly now: number;
    }
  | {readonly kind: 'failed'}
  | {
      readonly kind: 'renewed';
      readonly lease: LeaseId;
      readonly process: string;
      readonly sentAt: number;
      readonly number: number;
    }
  | {
      readonly kind: 'refused';
      readonly lease: LeaseId;
      readonly process: string;
      readonly number: number;
    }
  | {readonly kind: 'ended'}
  | {readonly kind: 'settled'}
  | {readonly kind: 'replaced'}
  | {
      readonly kind: 'prepare';
      readonly candidate: WitnessSet;
      readonly now: number;
    }
  | {readonly kind: 'propose'; readonly now: number}
  | {readonly kind: 'recorded'}
  | {readonly kind: 'unrecorded'}
  | {
      readonly kind: 'noted';
      readonly lease: LeaseId;
      readonly process: string;
      readonly number: number;
    }
  | {readonly kind: 'tick'; readonly now: number};

const NO_ANSWERS: WitnessAnswers = {
  renewedAt: -Infinity,
  candidateAt: -Infinity,
  number: 0,
  refusedUpTo: 0,
};

const NO_WITNESSES: WitnessSet = {number: 0, witnesses: []};

/**
 * Returns the state of a holder that has not registered yet.
 *
 * @example
 * newHolder('rota-display-1').state; // 'unregistered'
 */
export function newHolder(instance: string): Holder {
  return {
    state: HOLDER_CHART.initial,
    replacementState: WITNESSES_CHART.initial,
    lease: {instance, generation: 0},
    currentSet: NO_WITNESSES,
    notedBy: new Set(),
    answers: new Map(),
    recordedAt: 0,
    validUntil: 0,
  };
}

/**
 * Returns the end of the lease by the holder's clock: the time at which a
 * majority of every set in force was last asked with success, plus the duration
 * that a holder counts. A set without witnesses can be sealed by nobody, so its
 * lease does not lapse.
 *
 * @example
 * const leftMs = leaseUntil(holder, settings) - now;
 */
export function leaseValidUntil(
  holder: Holder,
  settings: LeaseSettings,
): number {
  if (holder.state !== 'valid' && holder.state !== 'acquiring') return 0;
  const sets = holder.nextSet
    ? [holder.currentSet, holder.nextSet]
    : [holder.currentSet];
  return Math.min(...sets.map(set => setValidUntil(holder, set, settings)));
}

/**
 * Tells whether the lease is in force.
 *
 * @example
 * if (!leaseValid(holder, now)) refuse();
 */
export function isLeaseValid(holder: Holder, now: number): boolean {
  return holder.state === 'valid' && now < holder.validUntil;
}

/**
 * Tells whether a process has refused to renew for a set.
 *
 * @example
 * hasRefused(holder, witness.process, holder.current); // false
 */
export function hasRefused(
  holder: Holder,
  process: string,
  set: WitnessSet,
): boolean {
  const answer = holder.answers.get(process);
  return answer !== undefined && answer.refusedUpTo >= set.number;
}

/**
 * Applies an event to a holder.
 *
 * @example
 * const next = stepHolder(holder, {kind: 'tick', now}, settings);
 */
export function applyHolderEvent(
  holder: Holder,
  event: HolderEvent,
  settings: LeaseSettings,
): Holder {
  switch (event.kind) {
    case 'register':
      return startRegistration(holder, event.lease);
    case 'stored':
      return applyStored(holder, event.witnesses, event.now);
    case 'failed':
      return transition(holder, 'FAILED');
    case 'renewed':
      if (!sameLease(event.lease, holder.lease)) return holder;
      return applyRenewal(holder, event, settings);
    case 'refused':
      if (!sameLease(event.lease, holder.lease)) return holder;
      return applyRefusal(holder, event.process, event.number);
    case 'ended':
      return {...transition(holder, 'ENDED'), validUntil: 0};
    case 'settled':
      return transition(holder, 'SETTLED');
    case 'replaced':
      return {...transition(holder, 'REPLACED'), validUntil: 0};
    case 'prepare':
      return prepareSet(holder, event.candidate, event.now);
    case 'propose':
      return proposeSet(holder, event.now, settings);
    case 'recorded':
      return {
        ...holder,
        replacementState: WITNESSES_CHART.next(
          holder.replacementState,
          'STORED',
        ),
      };
    case 'unrecorded':
      return withdrawSet(holder, settings);
    case 'noted':
      if (!sameLease(event.lease, holder.lease)) return holder;
      return recordNoted(holder, event.process, event.number, settings);
    case 'tick':
      return applyTick(holder, event.now, settings);
  }
}

/**
 * Tells whether a majority of the set satisfies a condition.
 *
 * @example
 * hasMajority(set, witness => sealed.has(witness.process));
 */
export function hasMajority(
  set: WitnessSet,
  predicate: (witness: Witness) => boolean,
): boolean {
  const count = set.witnesses.filter(predicate).length;
  return count > set.witnesses.length / 2;
}

function transition(holder: Holder, event: string): Holder {
  return {...holder, state: HOLDER_CHART.next(holder.state, event)};
}

function startRegistration(holder: Holder, lease: LeaseId): Holder {
  if (!HOLDER_CHART.accepts(holder.state, 'REGISTER')) return holder;
  return {...transition(holder, 'REGISTER'), lease};
}

function applyStored(
  holder: Holder,
  witnesses: WitnessSet,
  now: number,
): Holder {
  if (!HOLDER_CHART.accepts(holder.state, 'STORED')) return holder;
  const unregistered = newHolder(holder.lease.instance);
  return {
    ...unregistered,
    state: HOLDER_CHART.next(holder.state, 'STORED'),
    lease: holder.lease,
    currentSet: witnesses,
    recordedAt: now,
  };
}

function applyRenewal(
  holder: Holder,
  event: Extract<HolderEvent, {kind: 'renewed'}>,
  settings: LeaseSettings,
): Holder {
  const {process, sentAt, number} = event;
  const before = holder.answers.get(process) ?? NO_ANSWERS;
  if (before.renewedAt >= sentAt) return holder;
  const answers = new Map(holder.answers);
  answers.set(process, {...before, renewedAt: sentAt, number});
  const next = {...holder, answers};
  return {...next, validUntil: leaseValidUntil(next, settings)};
}

function applyRefusal(holder: Holder, process: string, number: number): Holder {
  const before = holder.answers.get(process) ?? NO_ANSWERS;
  const answers = new Map(holder.answers);
  const refusedUpTo = Math.max(before.refusedUpTo, number);
  answers.set(process, {...before, refusedUpTo});
  const next = {...holder, answers};
  const isSealed = hasMajority(next.currentSet, witness =>
    hasRefused(next, witness.process, next.currentSet),
  );
  return isSealed ? {...transition(next, 'ENDED'), validUntil: 0} : next;
}

function prepareSet(
  holder: Holder,
  candidateSet: WitnessSet,
  now: number,
): Holder {
  if (candidateSet.number <= holder.currentSet.number) {
    throw new RangeError('a witness set needs a higher number');
  }
  const isAccepted = WITNESSES_CHART.accepts(
    holder.replacementState,
    'PREPARE',
  );
  if (!isAccepted) return holder;
  const replacementState = WITNESSES_CHART.next(
    holder.replacementState,
    'PREPARE',
  );
  const answers = new Map(holder.answers);
  for (const {process} of candidateSet.witnesses) {
    const known = answers.get(process) ?? NO_ANSWERS;
    answers.set(process, {...known, candidateAt: now});
  }
  return {
    ...holder,
    candidateSet: candidateSet,
    answers,
    replacementState: replacementState,
  };
}

/**
 * Makes the answers of the candidate set count, once they alone would keep the
 * lease in force, so that the change of sets never makes the lease lapse.
 */
function proposeSet(
  holder: Holder,
  now: number,
  settings: LeaseSettings,
): Holder {
  const {candidateSet: candidateSet} = holder;
  if (
    !candidateSet ||
    !WITNESSES_CHART.accepts(holder.replacementState, 'PROPOSE')
  ) {
    return holder;
  }
  const requiredUntil = now + holderLeaseMs(settings) / 2;
  if (setValidUntil(holder, candidateSet, settings) < requiredUntil)
    return holder;
  const proposed = {
    ...holder,
    candidateSet: undefined,
    next: candidateSet,
    notedBy: new Set<string>(),
    replacementState: WITNESSES_CHART.next(holder.replacementState, 'PROPOSE'),
  };
  return {...proposed, validUntil: leaseValidUntil(proposed, settings)};
}

function withdrawSet(holder: Holder, settings: LeaseSettings): Holder {
  if (!WITNESSES_CHART.accepts(holder.replacementState, 'WITHDRAW'))
    return holder;
  const withdrawn = {
    ...holder,
    candidateSet: undefined,
    next: undefined,
    replacementState: WITNESSES_CHART.next(holder.replacementState, 'WITHDRAW'),
  };
  return {...withdrawn, validUntil: leaseValidUntil(withdrawn, settings)};
}

function recordNoted(
  holder: Holder,
  process: string,
  number: number,
  settings: LeaseSettings,
): Holder {
  if (holder.replacementState !== 'noting' || !holder.nextSet) return holder;
  if (number < holder.nextSet.number) return holder;
  const updated = {...holder, notedBy: new Set(holder.notedBy).add(process)};
  return completeReplacement(updated, settings);
}

function completeReplacement(holder: Holder, settings: LeaseSettings): Holder {
  if (!holder.nextSet) return holder;
  const isNotedByMajority =
    holder.currentSet.witnesses.length === 0 ||
    hasMajority(holder.currentSet, witness =>
      holder.notedBy.has(witness.process),
    );
  if (!isNotedByMajority) return holder;
  const completed = {
    ...holder,
    currentSet: holder.nextSet,
    next: undefined,
    notedBy: new Set<string>(),
    replacementState: WITNESSES_CHART.next(holder.replacementState, 'NOTED'),
  };
  return {...completed, validUntil: leaseValidUntil(completed, settings)};
}

function applyTick(
  holder: Holder,
  now: number,
  settings: LeaseSettings,
): Holder {
  const current =
    holder.replacementState === 'noting'
      ? completeReplacement(holder, settings)
      : holder;
  const validUntil = leaseValidUntil(current, settings);
  const updated =
    validUntil === current.validUntil
      ? current
      : {...current, validUntil: validUntil};
  if (updated.state === 'acquiring' && validUntil > now) {
    return transition(updated, 'MAJORITY');
  }
  if (updated.state === 'valid' && validUntil <= now)
    return transition(updated, 'LAPSE');
  return updated;
}

function setValidUntil(
  holder: Holder,
  set: WitnessSet,
  settings: LeaseSettings,
): number {
  if (set.witnesses.length === 0) return Infinity;
  const times = set.witnesses
    .map(witness => lastRenewalFor(holder, witness, set))
    .sort((a, b) => b - a);
  const majority = Math.floor(times.length / 2);
  return times[majority] + holderLeaseMs(settings);
}

/** Returns when a witness was last asked with success, as far as a set counts it. */
function lastRenewalFor(
  holder: Holder,
  witness: Witness,
  set: WitnessSet,
): number {
  const answer = holder.answers.get(witness.process);
  if (!answer || answer.number > set.number) return -Infinity;
  return answer.renewedAt;
}
