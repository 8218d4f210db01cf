import {chooseWitnesses} from '../membership/index.js';
import {leaseOf} from '../model/index.js';
import type {Address, Member, Witness, WitnessSet} from '../model/index.js';
import {hasRefused, isLeaseValid, applyHolderEvent} from './holder.js';
import type {Holder, HolderEvent} from './holder.js';
import {holderLeaseMs, witnessLeaseMs} from './settings.js';
import type {Effect, State, Step} from './state.js';
import {unchanged} from './state.js';
import {hasLeaseEnded} from './view.js';

/** Time between reviews of the witness set, in milliseconds. */
export const WITNESS_REVIEW_INTERVAL_MS = 500;

/** Time without an answer after which a witness is replaced, in milliseconds. */
export const WITNESS_TIMEOUT_MS = 1_500;

/** Time after which a candidate that did not answer is asked again. */
export const CANDIDATE_RETRY_MS = 10_000;

/** Time out of force after which a lease is given up for a new one, in milliseconds. */
export const REACQUIRE_TIMEOUT_MS = 1_000;

/** Time between the first attempts to register, in milliseconds. */
export const REGISTER_BACKOFF_MS = 300;

/** Mean time between two registrations of a fleet that starts at once. */
const REGISTRATION_SPACING_MS = 10;

/** How often the time between attempts to register is doubled at most. */
const MAX_BACKOFF_DOUBLINGS = 4;

/** Applies an event to the holder of the state's lease. */
export function applyToHolder(state: State, event: HolderEvent): State {
  const holder = applyHolderEvent(state.holder, event, state.settings);
  return holder === state.holder ? state : {...state, holder};
}

/** Registers the instance under its next generation when it has no lease. */
export function registerInstance(state: State, now: number): Step {
  const {holder, upstream} = state;
  if (holder.state !== 'unregistered' || !upstream || state.isDraining) {
    return unchanged(state);
  }
  const backoff =
    2 ** Math.min(state.registrationAttempts, MAX_BACKOFF_DOUBLINGS);
  const isDue = now - state.registrationSentAt >= REGISTER_BACKOFF_MS * backoff;
  if (!isDue || state.isStoring || !state.isPlatformReachable) {
    return unchanged(state);
  }
  if (now - state.startedAt < startDelayMs(state)) return unchanged(state);
  if (!hasPredecessorEnded(state, now)) return unchanged(state);
  const member = newRegistration(state, upstream.service);
  const lease = leaseOf(member);
  const registered = applyToHolder(state, {kind: 'register', lease});
  const {registrationAttempts: registrationAttempts} = state;
  return storeRecord(
    {
      ...registered,
      registrationSentAt: now,
      registrationAttempts: registrationAttempts + 1,
    },
    member,
  );
}

/** Advances the lease with time and sends the renewals that are due. */
export function renewLease(state: State, now: number): Step {
  const ticked = applyToHolder(state, {kind: 'tick', now});
  const {holder} = ticked;
  const isActive = holder.state === 'acquiring' || holder.state === 'valid';
  if (!isActive) return completeEnding(ticked, now);
  if (hasLeaseEnded(ticked.view, holder.lease)) return endLease(ticked, now);
  if (isReacquisitionDue(ticked, now)) return endLease(ticked, now);
  if (now - ticked.renewalsSentAt < ticked.settings.renewMs) {
    return unchanged(ticked);
  }
  const {lease} = holder;
  const effects = renewalTargets(holder).map(({to, number}): Effect => ({
    kind: 'send',
    to,
    message: {kind: 'renew', lease, sentAt: now, number},
  }));
  const allEffects = [...effects, ...supersedeNotices(holder)];
  return {state: {...ticked, renewalsSentAt: now}, effects: allEffects};
}

/** Replaces the witness set when a witness is gone or a better one exists. */
export function replaceWitnesses(state: State, now: number): Step {
  const {holder} = state;
  if (holder.replacementState === 'preparing') return proposeSet(state, now);
  const isDue = now - state.witnessesReviewedAt >= WITNESS_REVIEW_INTERVAL_MS;
  if (!isDue || !isLeaseValid(holder, now)) return unchanged(state);
  const reviewed = {
    ...state,
    witnessesReviewedAt: now,
    registrationAttempts: 0,
  };
  if (holder.replacementState === 'recording') {
    return storeNextSet(reviewed);
  }
  if (holder.replacementState !== 'stable') return unchanged(reviewed);
  const candidate = findBetterSet(reviewed, now);
  if (!candidate) return unchanged(reviewed);
  return unchanged(applyToHolder(reviewed, {kind: 'prepare', candidate, now}));
}

/** Ends the lease of this daemon; a new one is registered once it is safe. */
export function endLease(state: State, now: number): Step {
  const lease = state.holder.lease;
  const ended = applyToHolder(state, {kind: 'ended'});
  const step = completeEnding(ended, now);
  return {
    state: step.state,
    effects: [{kind: 'leaseEnded', lease}, ...step.effects],
  };
}

/** Records that this instance is leaving, once its record can be written. */
export function recordDraining(state: State): Step {
  const {storedRecord: storedRecord} = state;
  if (
    !state.isDraining ||
    storedRecord?.state !== 'serving' ||
    state.isStoring
  ) {
    return unchanged(state);
  }
  if (state.holder.replacementState === 'recording') return unchanged(state);
  if (!state.isPlatformReachable) return unchanged(state);
  return storeRecord(state, {...storedRecord, state: 'draining'});
}

/** Spreads the registrations of a fleet that starts at once. */
function startDelayMs(state: State): number {
  return state.startJitter * state.view.members.size * REGISTRATION_SPACING_MS;
}

/**
 * Tells whether nothing that an earlier process of this instance left at the
 * upstream can be in force, which the new registration will assert: the
 * upstream has accepted a grant of this process, or, where it does not check
 * grants, the time of a lease has passed.
 */
function hasPredecessorEnded(state: State, now: number): boolean {
  if (state.upstream?.fencing === 'enforced') {
    return state.grant.clockReading !== undefined;
  }
  return now - state.startedAt >= witnessLeaseMs(state.settings);
}

function completeEnding(state: State, now: number): Step {
  if (state.holder.state !== 'ending') return unchanged(state);
  if (state.grant.latestUntil > now) return unchanged(state);
  return unchanged(applyToHolder(state, {kind: 'settled'}));
}

function newRegistration(state: State, service: string): Member {
  const {self, upstream, view} = state;
  const known = view.members.get(self.instance);
  const generation =
    Math.max(known?.generation ?? 0, state.holder.lease.generation) + 1;
  const witnesses = chooseWitnesses(
    self,
    membersWithLease(state),
    state.settings.witnesses,
  );
  return {
    ...self,
    generation,
    state: 'serving',
    service,
    slots: upstream?.slots ?? 0,
    connections: upstream?.connections ?? 0,
    witnesses: {number: 1, witnesses},
  };
}

function membersWithLease(state: State): readonly Member[] {
  return [...state.view.members.values()].filter(
    member => !hasLeaseEnded(state.view, leaseOf(member)),
  );
}

function isReacquisitionDue(state: State, now: number): boolean {
  const {holder} = state;
  if (holder.state !== 'acquiring' || !state.isPlatformReachable) return false;
  const backoff = 2 ** Math.min(state.registrationAttempts, 4);
  const lastInForce = Math.max(holder.recordedAt, holder.validUntil);
  return now - lastInForce > REACQUIRE_TIMEOUT_MS * backoff;
}

/** A witness to ask, and the lowest set for which it may still renew. */
interface RenewalTarget {
  readonly to: Address;
  readonly number: number;
}

function renewalTargets(holder: Holder): readonly RenewalTarget[] {
  const sets = [holder.currentSet, holder.nextSet, holder.candidateSet];
  const byProcess = new Map<string, RenewalTarget>();
  for (const set of sets) {
    for (const {process, address} of set?.witnesses ?? []) {
      if (!set || byProcess.has(process)) continue;
      if (hasRefused(holder, process, set)) continue;
      byProcess.set(process, {to: address, number: set.number});
    }
  }
  return [...byProcess.values()];
}

function supersedeNotices(holder: Holder): readonly Effect[] {
  const {nextSet: next, lease, currentSet: currentSet} = holder;
  if (holder.replacementState !== 'noting' || !next) return [];
  return holder.currentSet.witnesses
    .filter(witness => !holder.notedBy.has(witness.process))
    .map(witness => ({
      kind: 'send',
      to: witness.address,
      message: {kind: 'supersede', lease, next, from: currentSet.number},
    }));
}

function proposeSet(state: State, now: number): Step {
  const proposed = applyToHolder(state, {kind: 'propose', now});
  if (proposed.holder.replacementState === 'recording') {
    return storeNextSet({...proposed, witnessesReviewedAt: now});
  }
  const waitedMs = now - state.witnessesReviewedAt;
  if (waitedMs < 2 * WITNESS_REVIEW_INTERVAL_MS) return unchanged(proposed);
  return unchanged(applyToHolder(proposed, {kind: 'unrecorded'}));
}

function storeNextSet(state: State): Step {
  const {storedRecord: storedRecord} = state;
  const {nextSet: nextSet} = state.holder;
  if (!storedRecord || !nextSet || state.isStoring) return unchanged(state);
  return storeRecord(state, {...storedRecord, witnesses: nextSet});
}

function storeRecord(state: State, member: Member): Step {
  return {
    state: {...state, isStoring: true},
    effects: [{kind: 'store', member}],
  };
}

function findBetterSet(state: State, now: number): WitnessSet | undefined {
  const {holder, self, settings} = state;
  if (!state.isPlatformReachable) return undefined;
  const {currentSet: currentSet} = holder;
  const lost = currentSet.witnesses.filter(w => isWitnessLost(state, w, now));
  const kept = currentSet.witnesses.filter(witness => !lost.includes(witness));
  const unresponsive = new Set(
    lost
      .filter(witness => !hasRefused(holder, witness.process, currentSet))
      .map(witness => witness.process),
  );
  const candidates = membersWithLease(state).filter(
    member =>
      !unresponsive.has(member.process) && !isUnresponsive(state, member, now),
  );
  const {witnesses: count} = settings;
  const filled = chooseWitnesses(self, candidates, count, kept);
  const keptPerDomain = onePerDomain(kept);
  const spread = chooseWitnesses(self, candidates, count, keptPerDomain);
  const isWider = countDomains(spread) > countDomains(filled);
  const chosen = isWider ? spread : filled;
  const isImprovement =
    lost.length > 0 ||
    chosen.length > currentSet.witnesses.length ||
    countDomains(chosen) > countDomains(currentSet.witnesses);
  if (!isImprovement || chosen.length === 0) return undefined;
  return {number: currentSet.number + 1, witnesses: chosen};
}

/** Keeps the first witness of each failure domain. */
function onePerDomain(witnesses: readonly Witness[]): readonly Witness[] {
  const first = new Map<string, Witness>();
  for (const witness of witnesses) {
    if (!first.has(witness.domain)) first.set(witness.domain, witness);
  }
  return [...first.values()];
}

function countDomains(witnesses: readonly Witness[]): number {
  return new Set(witnesses.map(({domain}) => domain)).size;
}

function isWitnessLost(state: State, witness: Witness, now: number): boolean {
  const answer = state.holder.answers.get(witness.process);
  const {currentSet: currentSet} = state.holder;
  if (hasRefused(state.holder, witness.process, currentSet)) return true;
  const member = state.view.members.get(witness.instance);
  if (member && member.process !== witness.process) return true;
  if (member && member.state !== 'serving') return true;
  const since = Math.max(
    answer?.renewedAt ?? -Infinity,
    state.holder.recordedAt,
  );
  return now - since > holderLeaseMs(state.settings) + WITNESS_TIMEOUT_MS;
}

/** Tells whether a process was asked to renew and has not answered lately. */
function isUnresponsive(state: State, member: Member, now: number): boolean {
  const answer = state.holder.answers.get(member.process);
  if (!answer) return false;
  const timeoutMs = holderLeaseMs(state.settings) + WITNESS_TIMEOUT_MS;
  const isRecentCandidate = now - answer.candidateAt < CANDIDATE_RETRY_MS;
  return isRecentCandidate && now - answer.renewedAt > timeoutMs;
}
