import {formatSlice, leaseOf, sameLease} from '../model/index.js';
import type {Chunk, Member} from '../model/index.js';
import {confirmGrant, failGrant, newGrantState} from './grant.js';
import {newHolder} from './holder.js';
import type {Envelope} from './messages.js';
import {
  advanceTakeovers,
  applyReadResult,
  notifyLapses,
  attemptTakeovers,
} from './failover.js';
import {
  endLease,
  recordDraining,
  registerInstance,
  renewLease,
  replaceWitnesses,
  applyToHolder,
} from './renewal.js';
import type {LeaseSettings} from './settings.js';
import {checkLeaseSettings, witnessLeaseMs} from './settings.js';
import type {
  Effect,
  Input,
  OwnRecord,
  InstanceIdentity,
  State,
  Step,
  StoreFailure,
} from './state.js';
import {applyAll, unchanged} from './state.js';
import {recordLapse, recordSealAnswer} from './takeover.js';
import {renewGrant, repeatReleases, reviewTerms} from './terms.js';
import {
  emptyView,
  hasLeaseEnded,
  pruneReleasedEpochs,
  withBegunTerms,
  withChunk,
  withMember,
  withReleasedEpochs,
} from './view.js';
import {recordNewerSet, acknowledgeRenewal, sealLease} from './witness.js';

/**
 * Creates the state of a daemon that has just started.
 *
 * @param startJitter Random number from 0 to 1 that spreads the registrations
 *     of processes that start at the same time.
 *
 * @example
 * const state = newState(self, settings, performance.now());
 */
export function newState(
  self: InstanceIdentity,
  settings: LeaseSettings,
  now: number,
  startJitter = 0,
): State {
  return {
    self,
    settings: checkLeaseSettings(settings),
    isDraining: false,
    isPlatformReachable: false,
    view: emptyView(),
    holder: newHolder(self.instance),
    witnessedLeases: new Map(),
    takeovers: new Map(),
    ownRecords: new Map(),
    holdings: new Map(),
    grant: newGrantState(),
    renewalsSentAt: -Infinity,
    witnessesReviewedAt: -Infinity,
    takeoversAttemptedAt: -Infinity,
    registrationSentAt: -Infinity,
    registrationAttempts: 0,
    startedAt: now,
    startJitter,
    isStoring: false,
    hasUncertainWrite: false,
  };
}

/**
 * Applies an input and returns the new state and the effects to run. The result
 * depends on the arguments alone.
 *
 * @param now Monotonic time of the daemon, in milliseconds.
 *
 * @example
 * const {state, effects} = decide(newState(self, settings, 0), {kind: 'drain'}, 0);
 */
export function decide(state: State, input: Input, now: number): Step {
  switch (input.kind) {
    case 'tick':
      return tick(state, now, input.busySlices);
    case 'message':
      return receiveMessage(state, input.envelope, now);
    case 'member':
      return applyMember(state, input.member, now);
    case 'chunk':
      return review(applyChunk(state, input.chunk), now);
    case 'upstream':
      return review({...state, upstream: input.upstream}, now);
    case 'stored':
      return applyStored(state, input.member, now);
    case 'storeFailed':
      return unchanged(applyStoreFailure(state, input.result));
    case 'read':
      return applyAll(state, now, [
        (current, time) =>
          applyReadResult(current, input.lease, input.member, time),
        review,
      ]);
    case 'granted': {
      const {sequence, clock} = input;
      const grant = confirmGrant(state.grant, sequence, clock, now);
      return review({...state, grant}, now);
    }
    case 'grantFailed': {
      const grant = failGrant(state.grant, input.sequence);
      return unchanged({...state, grant});
    }
    case 'platform':
      return unchanged({...state, isPlatformReachable: input.reachable});
    case 'drain':
      return startDraining(state, now);
  }
}

function tick(
  state: State,
  now: number,
  busySlices: ReadonlySet<string>,
): Step {
  return applyAll(state, now, [
    registerInstance,
    renewLease,
    replaceWitnesses,
    recordDraining,
    notifyLapses,
    attemptTakeovers,
    advanceTakeovers,
    (current, time) => reviewTerms(current, time, busySlices),
    renewGrant,
    repeatReleases,
  ]);
}

function review(state: State, now: number): Step {
  return reviewTerms(state, now, undefined);
}

function receiveMessage(state: State, envelope: Envelope, now: number): Step {
  const {message, process} = envelope;
  switch (message.kind) {
    case 'renew':
    case 'supersede':
    case 'seal':
      return answerAsWitness(state, envelope, now);
    case 'renewed': {
      const {lease, sentAt, number} = message;
      const event = {kind: 'renewed', lease, process, sentAt, number} as const;
      return unchanged(
        applyToHolder(applyToHolder(state, event), {kind: 'tick', now}),
      );
    }
    case 'refused':
      return applyRefusal(state, envelope, now);
    case 'superseded': {
      const {lease, number} = message;
      return unchanged(
        applyToHolder(state, {kind: 'noted', lease, process, number}),
      );
    }
    case 'lapsed': {
      if (hasLeaseEnded(state.view, message.lease)) return unchanged(state);
      const {lease} = message;
      const takeovers = recordLapse(state.takeovers, lease, process, now);
      return advanceTakeovers({...state, takeovers}, now);
    }
    case 'sealAnswer': {
      const takeovers = recordSealAnswer(state.takeovers, message, process);
      const next = {...state, takeovers};
      return applyAll(next, now, [advanceTakeovers, review]);
    }
    case 'began':
      return review({...state, view: withBegunTerms(state.view, message)}, now);
    case 'released':
      return review(
        {...state, view: withReleasedEpochs(state.view, message)},
        now,
      );
    case 'load':
    case 'settled':
      return unchanged(state);
  }
}

function applyRefusal(state: State, envelope: Envelope, now: number): Step {
  const {message, process} = envelope;
  if (message.kind !== 'refused') return unchanged(state);
  const {lease, number} = message;
  const next = applyToHolder(state, {kind: 'refused', lease, process, number});
  const hasEnded =
    next.holder.state === 'ending' && state.holder.state !== 'ending';
  return hasEnded ? endLease(next, now) : unchanged(next);
}

function answerAsWitness(state: State, envelope: Envelope, now: number): Step {
  const {message, instance} = envelope;
  const to = state.view.members.get(instance)?.peers;
  switch (message.kind) {
    case 'renew': {
      const until = now + witnessLeaseMs(state.settings);
      const {lease, sentAt, number} = message;
      const step = acknowledgeRenewal(
        state.witnessedLeases,
        lease,
        number,
        until,
      );
      const isRenewed = step.answer === 'renewed';
      const answer = isRenewed
        ? ({kind: 'renewed', lease, sentAt, number} as const)
        : ({kind: 'refused', lease, number} as const);
      const next = {...state, witnessedLeases: step.leases};
      return {state: next, effects: replyTo(to, answer)};
    }
    case 'supersede': {
      const {lease, next: set, from} = message;
      const step = recordNewerSet(state.witnessedLeases, lease, set, from);
      const answer =
        step.answer === 'noted'
          ? ({kind: 'superseded', lease, number: set.number} as const)
          : ({kind: 'refused', lease, number: from} as const);
      const next = {...state, witnessedLeases: step.leases};
      return {state: next, effects: replyTo(to, answer)};
    }
    case 'seal': {
      const {lease, number} = message;
      const step = sealLease(state.witnessedLeases, lease, number, now);
      const next = {...state, witnessedLeases: step.leases};
      return {state: next, effects: replyTo(to, step.answer)};
    }
    default:
      return unchanged(state);
  }
}

function replyTo(
  to: Member['peers'] | undefined,
  message: Extract<Effect, {kind: 'send'}>['message'],
): readonly Effect[] {
  return to ? [{kind: 'send', to, message}] : [];
}

function applyMember(state: State, member: Member, now: number): Step {
  const next = {...state, view: withMember(state.view, member)};
  if (member.instance !== state.self.instance) return review(next, now);
  const {generation} = state.holder.lease;
  const isOtherProcess = member.process !== state.self.process;
  if (isOtherProcess && generation > 0 && member.generation > generation) {
    const replaced = applyToHolder(next, {kind: 'replaced'});
    return {state: replaced, effects: [{kind: 'replaced'}]};
  }
  return unchanged(next);
}

function applyStored(state: State, member: Member, now: number): Step {
  const view = withMember(state.view, member);
  const answered = {...state, isStoring: false, hasUncertainWrite: false};
  const next = {...answered, view, storedRecord: member};
  if (state.holder.state === 'registering') {
    const event = {kind: 'stored', witnesses: member.witnesses, now} as const;
    const acquired = applyToHolder(next, event);
    return unchanged({...acquired, holdings: new Map()});
  }
  const proposed = state.holder.nextSet;
  if (proposed && member.witnesses.number === proposed.number) {
    return unchanged(applyToHolder(next, {kind: 'recorded'}));
  }
  return unchanged(next);
}

/**
 * Applies a failed write of the registration record. After a conflict the
 * current record is known and no earlier write can take effect. A write that
 * certainly failed leaves open whether an earlier write, whose response was
 * lost, takes effect.
 */
function applyStoreFailure(state: State, result: StoreFailure): State {
  const hasUncertainWrite =
    result === 'unknown' ||
    (result === 'unavailable' && state.hasUncertainWrite);
  const answered = {...state, isStoring: false, hasUncertainWrite};
  if (state.holder.state === 'registering') {
    return applyToHolder(answered, {kind: 'failed'});
  }
  const {nextSet} = state.holder;
  if (
    state.holder.replacementState !== 'recording' ||
    !nextSet ||
    hasUncertainWrite
  ) {
    return answered;
  }
  const known = state.view.members.get(state.self.instance);
  const isRecorded =
    known !== undefined &&
    sameLease(leaseOf(known), state.holder.lease) &&
    known.witnesses.number >= nextSet.number;
  if (!isRecorded) return applyToHolder(answered, {kind: 'withdraw'});
  return applyToHolder({...answered, storedRecord: known}, {kind: 'recorded'});
}

function startDraining(state: State, now: number): Step {
  if (state.isDraining) return unchanged(state);
  return applyAll({...state, isDraining: true}, now, [recordDraining, review]);
}

function applyChunk(state: State, chunk: Chunk): State {
  const view = pruneReleasedEpochs(withChunk(state.view, chunk));
  const own = new Map<string, OwnRecord>(state.ownRecords);
  for (const record of chunk.slices) {
    const id = formatSlice({service: chunk.service, slice: record.slice});
    const isNamed = record.terms.some(
      term => term.lease.instance === state.self.instance,
    );
    const isActive = isActiveState(state.holdings.get(id)?.state);
    if (isNamed || isActive) own.set(id, {chunk: chunk.index, record});
    else own.delete(id);
  }
  return {...state, view, ownRecords: own};
}

function isActiveState(holdingState: string | undefined): boolean {
  return (
    holdingState === 'granting' ||
    holdingState === 'serving' ||
    holdingState === 'draining'
  );
}

/**
 * Returns whether this instance has released all its slices.
 *
 * @example
 * if (hasNoActiveSlices(state)) close();
 */
export function hasNoActiveSlices(state: State): boolean {
  return ![...state.holdings.values()].some(holding =>
    isActiveState(holding.state),
  );
}
