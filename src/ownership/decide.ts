import {formatSlice, leaseOf, sameLease} from '../model/index.js';
import type {Chunk, Member} from '../model/index.js';
import {confirmGrant, failGrant, newGrant} from './grant.js';
import {newHolder} from './holder.js';
import type {Envelope} from './messages.js';
import {
  advanceTakeovers,
  applyRead,
  notifyLapses,
  probeOwners,
} from './proof.js';
import {
  endLease,
  recordDraining,
  register,
  renewLease,
  replaceWitnesses,
  withHolder,
} from './renewal.js';
import type {LeaseSettings} from './settings.js';
import {checkLeaseSettings, witnessMs} from './settings.js';
import type {
  Effect,
  Input,
  OwnPart,
  Self,
  State,
  Step,
  StoreFailure,
} from './state.js';
import {applyAll, unchanged} from './state.js';
import {noteLapse, noteSealAnswer} from './takeover.js';
import {renewGrant, repeatReleases, reviewTerms} from './tenure.js';
import {
  emptyView,
  leaseEnded,
  pruneReleases,
  withBegan,
  withChunk,
  withMember,
  withReleased,
} from './view.js';
import {noteSet, renewPromise, sealPromise} from './witness.js';

/**
 * Returns the state of a daemon that has just started.
 *
 * @param startShare Random number from 0 to 1 that spreads the registrations of
 *     processes that start at once.
 *
 * @example
 * const state = newState(self, settings, performance.now());
 */
export function newState(
  self: Self,
  settings: LeaseSettings,
  now: number,
  startShare = 0,
): State {
  return {
    self,
    settings: checkLeaseSettings(settings),
    draining: false,
    platformReachable: false,
    view: emptyView(),
    holder: newHolder(self.instance),
    promises: new Map(),
    takeovers: new Map(),
    own: new Map(),
    holdings: new Map(),
    grant: newGrant(),
    renewedAt: -Infinity,
    reviewedAt: -Infinity,
    probedAt: -Infinity,
    registeredAt: -Infinity,
    attempts: 0,
    startedAt: now,
    startShare,
    storing: false,
    doubtful: false,
  };
}

/**
 * Decides what an input changes and what is to be done. The decision depends on
 * its arguments alone.
 *
 * @param now Monotonic time of the daemon, in milliseconds.
 *
 * @example
 * const {state, effects} = decide(newState(self, settings, 0), {kind: 'drain'}, 0);
 */
export function decide(state: State, input: Input, now: number): Step {
  switch (input.kind) {
    case 'tick':
      return tick(state, now, input.busy);
    case 'message':
      return receive(state, input.envelope, now);
    case 'member':
      return memberChanged(state, input.member, now);
    case 'chunk':
      return review(withOwnChunk(state, input.chunk), now);
    case 'upstream':
      return review({...state, upstream: input.upstream}, now);
    case 'stored':
      return stored(state, input.member, now);
    case 'unstored':
      return unchanged(unstored(state, input.result));
    case 'read':
      return applyAll(state, now, [
        (current, time) => applyRead(current, input.lease, input.member, time),
        review,
      ]);
    case 'granted': {
      const {sequence, clock} = input;
      const grant = confirmGrant(state.grant, sequence, clock, now);
      return review({...state, grant}, now);
    }
    case 'ungranted': {
      const grant = failGrant(state.grant, input.sequence);
      return unchanged({...state, grant});
    }
    case 'platform':
      return unchanged({...state, platformReachable: input.reachable});
    case 'drain':
      return drain(state, now);
  }
}

function tick(state: State, now: number, busy: ReadonlySet<string>): Step {
  return applyAll(state, now, [
    register,
    renewLease,
    replaceWitnesses,
    recordDraining,
    notifyLapses,
    probeOwners,
    advanceTakeovers,
    (current, time) => reviewTerms(current, time, busy),
    renewGrant,
    repeatReleases,
  ]);
}

function review(state: State, now: number): Step {
  return reviewTerms(state, now, undefined);
}

function receive(state: State, envelope: Envelope, now: number): Step {
  const {message, process} = envelope;
  switch (message.kind) {
    case 'renew':
    case 'supersede':
    case 'seal':
      return witness(state, envelope, now);
    case 'renewed': {
      const {lease, sentAt, number} = message;
      const event = {kind: 'renewed', lease, process, sentAt, number} as const;
      return unchanged(
        withHolder(withHolder(state, event), {kind: 'tick', now}),
      );
    }
    case 'refused':
      return refused(state, envelope, now);
    case 'superseded': {
      const {lease, number} = message;
      return unchanged(
        withHolder(state, {kind: 'noted', lease, process, number}),
      );
    }
    case 'lapsed': {
      if (leaseEnded(state.view, message.lease)) return unchanged(state);
      const {lease} = message;
      const takeovers = noteLapse(state.takeovers, lease, process, now);
      return advanceTakeovers({...state, takeovers}, now);
    }
    case 'sealAnswer': {
      const takeovers = noteSealAnswer(state.takeovers, message, process);
      const next = {...state, takeovers};
      return applyAll(next, now, [advanceTakeovers, review]);
    }
    case 'began':
      return review({...state, view: withBegan(state.view, message)}, now);
    case 'released':
      return review({...state, view: withReleased(state.view, message)}, now);
    case 'load':
    case 'settled':
      return unchanged(state);
  }
}

function refused(state: State, envelope: Envelope, now: number): Step {
  const {message, process} = envelope;
  if (message.kind !== 'refused') return unchanged(state);
  const {lease, number} = message;
  const next = withHolder(state, {kind: 'refused', lease, process, number});
  const ended =
    next.holder.state === 'ending' && state.holder.state !== 'ending';
  return ended ? endLease(next, now) : unchanged(next);
}

function witness(state: State, envelope: Envelope, now: number): Step {
  const {message, instance} = envelope;
  const to = state.view.members.get(instance)?.peers;
  switch (message.kind) {
    case 'renew': {
      const until = now + witnessMs(state.settings);
      const {lease, sentAt, number} = message;
      const step = renewPromise(state.promises, lease, number, until);
      const renewed = step.answer === 'renewed';
      const answer = renewed
        ? ({kind: 'renewed', lease, sentAt, number} as const)
        : ({kind: 'refused', lease, number} as const);
      const next = {...state, promises: step.promises};
      return {state: next, effects: answerTo(to, answer)};
    }
    case 'supersede': {
      const {lease, next: set, from} = message;
      const step = noteSet(state.promises, lease, set, from);
      const answer =
        step.answer === 'noted'
          ? ({kind: 'superseded', lease, number: set.number} as const)
          : ({kind: 'refused', lease, number: from} as const);
      const next = {...state, promises: step.promises};
      return {state: next, effects: answerTo(to, answer)};
    }
    case 'seal': {
      const {lease, number} = message;
      const step = sealPromise(state.promises, lease, number, now);
      const next = {...state, promises: step.promises};
      return {state: next, effects: answerTo(to, step.answer)};
    }
    default:
      return unchanged(state);
  }
}

function answerTo(
  to: Member['peers'] | undefined,
  message: Extract<Effect, {kind: 'send'}>['message'],
): readonly Effect[] {
  return to ? [{kind: 'send', to, message}] : [];
}

function memberChanged(state: State, member: Member, now: number): Step {
  const next = {...state, view: withMember(state.view, member)};
  if (member.instance !== state.self.instance) return review(next, now);
  const {generation} = state.holder.lease;
  const foreign = member.process !== state.self.process;
  if (foreign && generation > 0 && member.generation > generation) {
    const replaced = withHolder(next, {kind: 'replaced'});
    return {state: replaced, effects: [{kind: 'replaced'}]};
  }
  return unchanged(next);
}

function stored(state: State, member: Member, now: number): Step {
  const view = withMember(state.view, member);
  const answered = {...state, storing: false, doubtful: false};
  const next = {...answered, view, record: member};
  if (state.holder.state === 'registering') {
    const event = {kind: 'stored', witnesses: member.witnesses, now} as const;
    const acquired = withHolder(next, event);
    return unchanged({...acquired, holdings: new Map()});
  }
  const proposed = state.holder.next;
  if (proposed && member.witnesses.number === proposed.number) {
    return unchanged(withHolder(next, {kind: 'recorded'}));
  }
  return unchanged(next);
}

/**
 * Applies the failure of a write. A conflict shows the record as it is, and no
 * earlier write can take effect after it; a write that certainly failed says
 * nothing of an earlier one whose answer was lost.
 */
function unstored(state: State, result: StoreFailure): State {
  const doubtful =
    result === 'unknown' || (result === 'unavailable' && state.doubtful);
  const answered = {...state, storing: false, doubtful};
  if (state.holder.state === 'registering') {
    return withHolder(answered, {kind: 'failed'});
  }
  const {next} = state.holder;
  if (state.holder.replacement !== 'recording' || !next || doubtful) {
    return answered;
  }
  const known = state.view.members.get(state.self.instance);
  const isRecorded =
    known !== undefined &&
    sameLease(leaseOf(known), state.holder.lease) &&
    known.witnesses.number >= next.number;
  if (!isRecorded) return withHolder(answered, {kind: 'unrecorded'});
  return withHolder({...answered, record: known}, {kind: 'recorded'});
}

function drain(state: State, now: number): Step {
  if (state.draining) return unchanged(state);
  return applyAll({...state, draining: true}, now, [recordDraining, review]);
}

function withOwnChunk(state: State, chunk: Chunk): State {
  const view = pruneReleases(withChunk(state.view, chunk));
  const own = new Map<string, OwnPart>(state.own);
  for (const record of chunk.slices) {
    const id = formatSlice({service: chunk.service, slice: record.slice});
    const named = record.terms.some(
      term => term.lease.instance === state.self.instance,
    );
    const active = isActive(state.holdings.get(id)?.state);
    if (named || active) own.set(id, {chunk: chunk.index, record});
    else own.delete(id);
  }
  return {...state, view, own};
}

function isActive(holding: string | undefined): boolean {
  return (
    holding === 'granting' || holding === 'serving' || holding === 'draining'
  );
}

/**
 * Tells whether this daemon has given away all its slices.
 *
 * @example
 * if (isIdle(state)) close();
 */
export function isIdle(state: State): boolean {
  return ![...state.holdings.values()].some(holding => isActive(holding.state));
}
