import {readChart, sameLease} from '../model/index.js';
import type {LeaseId, Witness, WitnessSet} from '../model/index.js';
import type {LeaseSettings} from './settings.js';
import {holderMs} from './settings.js';

const HOLDER = readChart(new URL('./charts/holder.json', import.meta.url));
const WITNESSES = readChart(
  new URL('./charts/witnesses.json', import.meta.url),
);

/** Renewals and answers of one witness, by the holder's clock. */
export interface WitnessRecord {
  /** Sending time of the latest renewal that the witness answered. */
  readonly renewedAt: number;
  /** When the witness was first asked as a candidate. */
  readonly askedAt: number;
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
  readonly replacement: string;
  readonly lease: LeaseId;
  readonly current: WitnessSet;
  /** A set that is asked to renew but whose answers do not count yet. */
  readonly candidate?: WitnessSet;
  /** The set that is to replace the current one; both must renew. */
  readonly next?: WitnessSet;
  /** Witnesses of the current set that have noted the next one. */
  readonly noted: ReadonlySet<string>;
  /** Answers of the witnesses, by their process. */
  readonly answers: ReadonlyMap<string, WitnessRecord>;
  /** Since when the lease has been recorded, by the holder's clock. */
  readonly since: number;
  /** End of the lease as last counted, by the holder's clock. */
  readonly until: number;
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

const NO_ANSWER: WitnessRecord = {
  renewedAt: -Infinity,
  askedAt: -Infinity,
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
    state: HOLDER.initial,
    replacement: WITNESSES.initial,
    lease: {instance, generation: 0},
    current: NO_WITNESSES,
    noted: new Set(),
    answers: new Map(),
    since: 0,
    until: 0,
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
export function leaseUntil(holder: Holder, settings: LeaseSettings): number {
  if (holder.state !== 'valid' && holder.state !== 'acquiring') return 0;
  const sets = holder.next ? [holder.current, holder.next] : [holder.current];
  return Math.min(...sets.map(set => setUntil(holder, set, settings)));
}

/**
 * Tells whether the lease is in force.
 *
 * @example
 * if (!leaseValid(holder, now)) refuse();
 */
export function leaseValid(holder: Holder, now: number): boolean {
  return holder.state === 'valid' && now < holder.until;
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
export function stepHolder(
  holder: Holder,
  event: HolderEvent,
  settings: LeaseSettings,
): Holder {
  switch (event.kind) {
    case 'register':
      return registering(holder, event.lease);
    case 'stored':
      return stored(holder, event.witnesses, event.now);
    case 'failed':
      return move(holder, 'FAILED');
    case 'renewed':
      if (!sameLease(event.lease, holder.lease)) return holder;
      return renewed(holder, event, settings);
    case 'refused':
      if (!sameLease(event.lease, holder.lease)) return holder;
      return refused(holder, event.process, event.number);
    case 'ended':
      return {...move(holder, 'ENDED'), until: 0};
    case 'settled':
      return move(holder, 'SETTLED');
    case 'replaced':
      return {...move(holder, 'REPLACED'), until: 0};
    case 'prepare':
      return prepare(holder, event.candidate, event.now);
    case 'propose':
      return propose(holder, event.now, settings);
    case 'recorded':
      return {
        ...holder,
        replacement: WITNESSES.next(holder.replacement, 'STORED'),
      };
    case 'unrecorded':
      return withdraw(holder, settings);
    case 'noted':
      if (!sameLease(event.lease, holder.lease)) return holder;
      return noted(holder, event.process, event.number, settings);
    case 'tick':
      return ticked(holder, event.now, settings);
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
  holds: (witness: Witness) => boolean,
): boolean {
  const count = set.witnesses.filter(holds).length;
  return count > set.witnesses.length / 2;
}

function move(holder: Holder, event: string): Holder {
  return {...holder, state: HOLDER.next(holder.state, event)};
}

function registering(holder: Holder, lease: LeaseId): Holder {
  if (!HOLDER.accepts(holder.state, 'REGISTER')) return holder;
  return {...move(holder, 'REGISTER'), lease};
}

function stored(holder: Holder, witnesses: WitnessSet, now: number): Holder {
  if (!HOLDER.accepts(holder.state, 'STORED')) return holder;
  const fresh = newHolder(holder.lease.instance);
  return {
    ...fresh,
    state: HOLDER.next(holder.state, 'STORED'),
    lease: holder.lease,
    current: witnesses,
    since: now,
  };
}

function renewed(
  holder: Holder,
  event: Extract<HolderEvent, {kind: 'renewed'}>,
  settings: LeaseSettings,
): Holder {
  const {process, sentAt, number} = event;
  const before = holder.answers.get(process) ?? NO_ANSWER;
  if (before.renewedAt >= sentAt) return holder;
  const answers = new Map(holder.answers);
  answers.set(process, {...before, renewedAt: sentAt, number});
  const next = {...holder, answers};
  return {...next, until: leaseUntil(next, settings)};
}

function refused(holder: Holder, process: string, number: number): Holder {
  const before = holder.answers.get(process) ?? NO_ANSWER;
  const answers = new Map(holder.answers);
  const refusedUpTo = Math.max(before.refusedUpTo, number);
  answers.set(process, {...before, refusedUpTo});
  const next = {...holder, answers};
  const sealed = hasMajority(next.current, witness =>
    hasRefused(next, witness.process, next.current),
  );
  return sealed ? {...move(next, 'ENDED'), until: 0} : next;
}

function prepare(holder: Holder, candidate: WitnessSet, now: number): Holder {
  if (candidate.number <= holder.current.number) {
    throw new RangeError('a witness set needs a higher number');
  }
  const prepared = WITNESSES.accepts(holder.replacement, 'PREPARE');
  if (!prepared) return holder;
  const replacement = WITNESSES.next(holder.replacement, 'PREPARE');
  const answers = new Map(holder.answers);
  for (const {process} of candidate.witnesses) {
    const known = answers.get(process) ?? NO_ANSWER;
    answers.set(process, {...known, askedAt: now});
  }
  return {...holder, candidate, answers, replacement};
}

/**
 * Makes the answers of the candidate set count, once they alone would keep the
 * lease in force, so that the change of sets never makes the lease lapse.
 */
function propose(holder: Holder, now: number, settings: LeaseSettings): Holder {
  const {candidate} = holder;
  if (!candidate || !WITNESSES.accepts(holder.replacement, 'PROPOSE')) {
    return holder;
  }
  const fresh = now + holderMs(settings) / 2;
  if (setUntil(holder, candidate, settings) < fresh) return holder;
  const proposed = {
    ...holder,
    candidate: undefined,
    next: candidate,
    noted: new Set<string>(),
    replacement: WITNESSES.next(holder.replacement, 'PROPOSE'),
  };
  return {...proposed, until: leaseUntil(proposed, settings)};
}

function withdraw(holder: Holder, settings: LeaseSettings): Holder {
  if (!WITNESSES.accepts(holder.replacement, 'WITHDRAW')) return holder;
  const withdrawn = {
    ...holder,
    candidate: undefined,
    next: undefined,
    replacement: WITNESSES.next(holder.replacement, 'WITHDRAW'),
  };
  return {...withdrawn, until: leaseUntil(withdrawn, settings)};
}

function noted(
  holder: Holder,
  process: string,
  number: number,
  settings: LeaseSettings,
): Holder {
  if (holder.replacement !== 'noting' || !holder.next) return holder;
  if (number < holder.next.number) return holder;
  const next = {...holder, noted: new Set(holder.noted).add(process)};
  return settleReplacement(next, settings);
}

function settleReplacement(holder: Holder, settings: LeaseSettings): Holder {
  if (!holder.next) return holder;
  const enough =
    holder.current.witnesses.length === 0 ||
    hasMajority(holder.current, witness => holder.noted.has(witness.process));
  if (!enough) return holder;
  const settled = {
    ...holder,
    current: holder.next,
    next: undefined,
    noted: new Set<string>(),
    replacement: WITNESSES.next(holder.replacement, 'NOTED'),
  };
  return {...settled, until: leaseUntil(settled, settings)};
}

function ticked(holder: Holder, now: number, settings: LeaseSettings): Holder {
  const settled =
    holder.replacement === 'noting'
      ? settleReplacement(holder, settings)
      : holder;
  const until = leaseUntil(settled, settings);
  const counted = until === settled.until ? settled : {...settled, until};
  if (counted.state === 'acquiring' && until > now) {
    return move(counted, 'MAJORITY');
  }
  if (counted.state === 'valid' && until <= now) return move(counted, 'LAPSE');
  return counted;
}

function setUntil(
  holder: Holder,
  set: WitnessSet,
  settings: LeaseSettings,
): number {
  if (set.witnesses.length === 0) return Infinity;
  const times = set.witnesses
    .map(witness => renewedFor(holder, witness, set))
    .sort((a, b) => b - a);
  const majority = Math.floor(times.length / 2);
  return times[majority] + holderMs(settings);
}

/** Returns when a witness was last asked with success, as far as a set counts it. */
function renewedFor(holder: Holder, witness: Witness, set: WitnessSet): number {
  const answer = holder.answers.get(witness.process);
  if (!answer || answer.number > set.number) return -Infinity;
  return answer.renewedAt;
}
