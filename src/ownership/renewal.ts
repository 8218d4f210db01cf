import {chooseWitnesses} from '../membership/index.js';
import {leaseOf} from '../model/index.js';
import type {Address, Member, Witness, WitnessSet} from '../model/index.js';
import {hasRefused, leaseValid, stepHolder} from './holder.js';
import type {Holder, HolderEvent} from './holder.js';
import {holderMs, witnessMs} from './settings.js';
import type {Effect, State, Step} from './state.js';
import {unchanged} from './state.js';
import {leaseEnded} from './view.js';

/** Time between reviews of the witness set, in milliseconds. */
export const REVIEW_MS = 500;

/** Time without an answer after which a witness is replaced, in milliseconds. */
export const WITNESS_SILENCE_MS = 1_500;

/** Time after which a candidate that did not answer is asked again. */
export const CANDIDATE_RETRY_MS = 10_000;

/** Time out of force after which a lease is given up for a new one, in milliseconds. */
export const REACQUIRE_MS = 1_000;

/** Time between the first attempts to register, in milliseconds. */
export const REGISTER_RETRY_MS = 300;

/** Mean time between two registrations of a fleet that starts at once. */
const REGISTRATION_SPACING_MS = 10;

/** How often the time between attempts to register is doubled at most. */
const REGISTER_DOUBLINGS = 4;

/** Applies an event to the holder of the state's lease. */
export function withHolder(state: State, event: HolderEvent): State {
  const holder = stepHolder(state.holder, event, state.settings);
  return holder === state.holder ? state : {...state, holder};
}

/** Registers the instance under its next generation when it has no lease. */
export function register(state: State, now: number): Step {
  const {holder, upstream} = state;
  if (holder.state !== 'unregistered' || !upstream || state.draining) {
    return unchanged(state);
  }
  const backoff = 2 ** Math.min(state.attempts, REGISTER_DOUBLINGS);
  const due = now - state.registeredAt >= REGISTER_RETRY_MS * backoff;
  if (!due || state.storing || !state.platformReachable) {
    return unchanged(state);
  }
  if (now - state.startedAt < startDelayMs(state)) return unchanged(state);
  if (!predecessorEnded(state, now)) return unchanged(state);
  const member = nextRecord(state, upstream.service);
  const lease = leaseOf(member);
  const registered = withHolder(state, {kind: 'register', lease});
  const {attempts} = state;
  return store(
    {...registered, registeredAt: now, attempts: attempts + 1},
    member,
  );
}

/** Advances the lease with time and sends the renewals that are due. */
export function renewLease(state: State, now: number): Step {
  const ticked = withHolder(state, {kind: 'tick', now});
  const {holder} = ticked;
  const active = holder.state === 'acquiring' || holder.state === 'valid';
  if (!active) return settleEnding(ticked, now);
  if (leaseEnded(ticked.view, holder.lease)) return endLease(ticked, now);
  if (isHopeless(ticked, now)) return endLease(ticked, now);
  if (now - ticked.renewedAt < ticked.settings.renewMs) {
    return unchanged(ticked);
  }
  const {lease} = holder;
  const effects = renewalsOf(holder).map(({to, number}): Effect => ({
    kind: 'send',
    to,
    message: {kind: 'renew', lease, sentAt: now, number},
  }));
  const noted = [...effects, ...supersedeEffects(holder)];
  return {state: {...ticked, renewedAt: now}, effects: noted};
}

/** Replaces the witness set when a witness is gone or a better one exists. */
export function replaceWitnesses(state: State, now: number): Step {
  const {holder} = state;
  if (holder.replacement === 'preparing') return proposeSet(state, now);
  const due = now - state.reviewedAt >= REVIEW_MS;
  if (!due || !leaseValid(holder, now)) return unchanged(state);
  const reviewed = {...state, reviewedAt: now, attempts: 0};
  if (holder.replacement === 'recording') {
    return storeNext(reviewed);
  }
  if (holder.replacement !== 'stable') return unchanged(reviewed);
  const candidate = betterSet(reviewed, now);
  if (!candidate) return unchanged(reviewed);
  return unchanged(withHolder(reviewed, {kind: 'prepare', candidate, now}));
}

/** Ends the lease of this daemon; a new one is registered once it is safe. */
export function endLease(state: State, now: number): Step {
  const lease = state.holder.lease;
  const ended = withHolder(state, {kind: 'ended'});
  const step = settleEnding(ended, now);
  return {
    state: step.state,
    effects: [{kind: 'leaseEnded', lease}, ...step.effects],
  };
}

/** Records that this instance is leaving, once its record can be written. */
export function recordDraining(state: State): Step {
  const {record} = state;
  if (!state.draining || record?.state !== 'serving' || state.storing) {
    return unchanged(state);
  }
  if (state.holder.replacement === 'recording') return unchanged(state);
  if (!state.platformReachable) return unchanged(state);
  return store(state, {...record, state: 'draining'});
}

/** Spreads the registrations of a fleet that starts at once. */
function startDelayMs(state: State): number {
  return state.startShare * state.view.members.size * REGISTRATION_SPACING_MS;
}

/**
 * Tells whether nothing that an earlier process of this instance left at the
 * upstream can be in force, which the new registration will assert: the
 * upstream has accepted a grant of this process, or, where it does not check
 * grants, the time of a lease has passed.
 */
function predecessorEnded(state: State, now: number): boolean {
  if (state.upstream?.fencing === 'enforced') {
    return state.grant.reading !== undefined;
  }
  return now - state.startedAt >= witnessMs(state.settings);
}

function settleEnding(state: State, now: number): Step {
  if (state.holder.state !== 'ending') return unchanged(state);
  if (state.grant.latestUntil > now) return unchanged(state);
  return unchanged(withHolder(state, {kind: 'settled'}));
}

function nextRecord(state: State, service: string): Member {
  const {self, upstream, view} = state;
  const known = view.members.get(self.instance);
  const generation =
    Math.max(known?.generation ?? 0, state.holder.lease.generation) + 1;
  const witnesses = chooseWitnesses(
    self,
    liveMembers(state),
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

function liveMembers(state: State): readonly Member[] {
  return [...state.view.members.values()].filter(
    member => !leaseEnded(state.view, leaseOf(member)),
  );
}

function isHopeless(state: State, now: number): boolean {
  const {holder} = state;
  if (holder.state !== 'acquiring' || !state.platformReachable) return false;
  const backoff = 2 ** Math.min(state.attempts, 4);
  const lastInForce = Math.max(holder.since, holder.until);
  return now - lastInForce > REACQUIRE_MS * backoff;
}

/** A witness to ask, and the lowest set for which it may still renew. */
interface Renewal {
  readonly to: Address;
  readonly number: number;
}

function renewalsOf(holder: Holder): readonly Renewal[] {
  const sets = [holder.current, holder.next, holder.candidate];
  const byProcess = new Map<string, Renewal>();
  for (const set of sets) {
    for (const {process, address} of set?.witnesses ?? []) {
      if (!set || byProcess.has(process)) continue;
      if (hasRefused(holder, process, set)) continue;
      byProcess.set(process, {to: address, number: set.number});
    }
  }
  return [...byProcess.values()];
}

function supersedeEffects(holder: Holder): readonly Effect[] {
  const {next, lease, current} = holder;
  if (holder.replacement !== 'noting' || !next) return [];
  return holder.current.witnesses
    .filter(witness => !holder.noted.has(witness.process))
    .map(witness => ({
      kind: 'send',
      to: witness.address,
      message: {kind: 'supersede', lease, next, from: current.number},
    }));
}

function proposeSet(state: State, now: number): Step {
  const proposed = withHolder(state, {kind: 'propose', now});
  if (proposed.holder.replacement === 'recording') {
    return storeNext({...proposed, reviewedAt: now});
  }
  const waited = now - state.reviewedAt;
  if (waited < 2 * REVIEW_MS) return unchanged(proposed);
  return unchanged(withHolder(proposed, {kind: 'unrecorded'}));
}

function storeNext(state: State): Step {
  const {record} = state;
  const {next} = state.holder;
  if (!record || !next || state.storing) return unchanged(state);
  return store(state, {...record, witnesses: next});
}

function store(state: State, member: Member): Step {
  return {
    state: {...state, storing: true},
    effects: [{kind: 'store', member}],
  };
}

function betterSet(state: State, now: number): WitnessSet | undefined {
  const {holder, self, settings} = state;
  if (!state.platformReachable) return undefined;
  const {current} = holder;
  const lost = current.witnesses.filter(w => isLost(state, w, now));
  const kept = current.witnesses.filter(witness => !lost.includes(witness));
  const gone = new Set(
    lost
      .filter(witness => !hasRefused(holder, witness.process, current))
      .map(witness => witness.process),
  );
  const candidates = liveMembers(state).filter(
    member => !gone.has(member.process) && !isSilent(state, member, now),
  );
  const {witnesses: count} = settings;
  const filled = chooseWitnesses(self, candidates, count, kept);
  const apart = onePerDomain(kept);
  const spread = chooseWitnesses(self, candidates, count, apart);
  const isWider = countDomains(spread) > countDomains(filled);
  const chosen = isWider ? spread : filled;
  const worthwhile =
    lost.length > 0 ||
    chosen.length > current.witnesses.length ||
    countDomains(chosen) > countDomains(current.witnesses);
  if (!worthwhile || chosen.length === 0) return undefined;
  return {number: current.number + 1, witnesses: chosen};
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

function isLost(state: State, witness: Witness, now: number): boolean {
  const answer = state.holder.answers.get(witness.process);
  const {current} = state.holder;
  if (hasRefused(state.holder, witness.process, current)) return true;
  const member = state.view.members.get(witness.instance);
  if (member && member.process !== witness.process) return true;
  if (member && member.state !== 'serving') return true;
  const since = Math.max(answer?.renewedAt ?? -Infinity, state.holder.since);
  return now - since > holderMs(state.settings) + WITNESS_SILENCE_MS;
}

/** Tells whether a process was asked to renew and has not answered lately. */
function isSilent(state: State, member: Member, now: number): boolean {
  const answer = state.holder.answers.get(member.process);
  if (!answer) return false;
  const silence = holderMs(state.settings) + WITNESS_SILENCE_MS;
  const askedLately = now - answer.askedAt < CANDIDATE_RETRY_MS;
  return askedLately && now - answer.renewedAt > silence;
}
