import {chooseCoordinators} from '../membership/index.js';
import {formatLease, leaseOf} from '../model/index.js';
import type {LeaseId, Member, WitnessSet} from '../model/index.js';
import {witnessLeaseMs} from './settings.js';
import type {Effect, State, Step} from './state.js';
import {unchanged} from './state.js';
import {
  removeTakeover,
  isStillObserved,
  nextAction,
  recordSealRequest,
  recordReadResult,
  recordReadRequest,
  isProvenByRecord,
  isProvenBySeals,
  startTakeover,
  TAKEOVER_TIMEOUT_MS,
  newestWitnessSet,
} from './takeover.js';
import type {Takeover} from './takeover.js';
import {hasLeaseEnded, hasTermEnded, withEndedLeases} from './view.js';
import {dueLapseNotices} from './witness.js';

/** Interval between two notices of the same lapse, in milliseconds. */
export const LAPSE_NOTICE_INTERVAL_MS = 200;

/**
 * Shortest interval between two rounds of takeover attempts that `probeOwners`
 * starts, in milliseconds.
 */
export const TAKEOVER_ATTEMPT_INTERVAL_MS = 10_000;

/**
 * Number of coordinators, besides the successors, that are notified of a lapsed
 * lease in order to record its end.
 */
const LAPSE_COORDINATORS = 2;

/**
 * Notifies the successors and coordinators of each lapsed lease that this
 * daemon is a witness of.
 */
export function notifyLapses(state: State, now: number): Step {
  const step = dueLapseNotices(
    state.witnessedLeases,
    now,
    LAPSE_NOTICE_INTERVAL_MS,
  );
  if (step.answer.length === 0) return unchanged(state);
  const effects = step.answer
    .filter(lease => isWitnessOf(state, lease))
    .filter(lease => !hasLeaseEnded(state.view, lease))
    .flatMap(lease => lapseNotices(state, lease));
  return {state: {...state, witnessedLeases: step.leases}, effects};
}

/**
 * Starts a takeover attempt for each lease that must end next before a term of
 * this instance can begin, at most once per interval. The owners themselves are
 * not contacted. An attempt ends without effect if the lease is still observed.
 */
export function attemptTakeovers(state: State, now: number): Step {
  if (now - state.takeoversAttemptedAt < TAKEOVER_ATTEMPT_INTERVAL_MS)
    return unchanged(state);
  let {takeovers} = state;
  for (const lease of blockingLeases(state)) {
    takeovers = startTakeover(takeovers, lease, now);
  }
  return unchanged({...state, takeovers, takeoversAttemptedAt: now});
}

/**
 * Advances each running takeover; removes it when the lease has ended, is still
 * observed, or the takeover timed out.
 */
export function advanceTakeovers(state: State, now: number): Step {
  let current = state;
  const effects: Effect[] = [];
  for (const takeover of state.takeovers.values()) {
    const step = advanceTakeover(current, takeover, now);
    current = step.state;
    effects.push(...step.effects);
  }
  return {state: current, effects};
}

/**
 * Records the registration record that was read for the takeover of a lease,
 * then advances all takeovers.
 */
export function applyReadResult(
  state: State,
  lease: LeaseId,
  freshRecord: Member,
  now: number,
): Step {
  const takeovers = recordReadResult(state.takeovers, lease, freshRecord);
  return advanceTakeovers({...state, takeovers}, now);
}

/**
 * Returns whether the recorded witness set of a lease includes this process.
 */
function isWitnessOf(state: State, lease: LeaseId): boolean {
  const member = state.view.members.get(lease.instance);
  if (member?.generation !== lease.generation) return false;
  const {process} = state.self;
  return member.witnesses.witnesses.some(
    witness => witness.process === process,
  );
}

function advanceTakeover(state: State, takeover: Takeover, now: number): Step {
  const {lease} = takeover;
  const member = state.view.members.get(lease.instance);
  if (hasLeaseEnded(state.view, lease)) return concludeTakeover(state, lease);
  const observationMs = witnessLeaseMs(state.settings);
  const isProven =
    isProvenBySeals(takeover, member) ||
    isProvenByRecord(takeover, observationMs, now);
  if (isProven) return concludeTakeover(state, lease);
  const set = newestWitnessSet(takeover, member);
  const isOver =
    isStillObserved(takeover, set) ||
    now - takeover.startedAt > TAKEOVER_TIMEOUT_MS;
  if (isOver) {
    const takeovers = removeTakeover(state.takeovers, lease);
    return unchanged({...state, takeovers});
  }
  const isSuspected = isEndSuspected(state, takeover, set);
  const action = nextAction(takeover, set, isSuspected, now);
  if (action === 'seal' && set) return requestSeals(state, lease, set, now);
  if (action === 'read') return requestRead(state, lease, set, now);
  return unchanged(state);
}

function isEndSuspected(
  state: State,
  takeover: Takeover,
  set: WitnessSet | undefined,
): boolean {
  const {lapsed, sealed} = takeover;
  const hasEvidence = (set?.witnesses ?? []).some(
    witness =>
      lapsed.has(witness.process) ||
      sealed.has(witness.process) ||
      hasProcessEnded(state, witness),
  );
  return hasEvidence || !set;
}

function concludeTakeover(state: State, lease: LeaseId): Step {
  const isRecorded = hasLeaseEnded(
    {...state.view, endedLeases: new Set()},
    lease,
  );
  const effects: Effect[] = isRecorded ? [] : [{kind: 'markEnded', lease}];
  return {
    state: {
      ...state,
      view: withEndedLeases(state.view, [lease]),
      takeovers: removeTakeover(state.takeovers, lease),
    },
    effects,
  };
}

function requestSeals(
  state: State,
  lease: LeaseId,
  set: WitnessSet,
  now: number,
): Step {
  const {number} = set;
  const effects = set.witnesses.map((witness): Effect => ({
    kind: 'send',
    to: witness.address,
    message: {kind: 'seal', lease, number},
  }));
  const takeovers = recordSealRequest(state.takeovers, lease, now);
  return {state: {...state, takeovers}, effects};
}

function requestRead(
  state: State,
  lease: LeaseId,
  set: WitnessSet | undefined,
  now: number,
): Step {
  const endedWitnesses = new Set(
    (set?.witnesses ?? [])
      .filter(witness => hasProcessEnded(state, witness))
      .map(witness => witness.process),
  );
  const takeovers = recordReadRequest(
    state.takeovers,
    lease,
    endedWitnesses,
    now,
  );
  if (!state.isPlatformReachable) return unchanged({...state, takeovers});
  return {state: {...state, takeovers}, effects: [{kind: 'read', lease}]};
}

function hasProcessEnded(
  state: State,
  witness: WitnessSet['witnesses'][number],
): boolean {
  const member = state.view.members.get(witness.instance);
  if (!member) return false;
  if (member.process === witness.process) return member.processEnded === true;
  return member.generation > witness.generation;
}

function lapseNotices(state: State, lease: LeaseId): readonly Effect[] {
  const targets = new Set([
    ...nextSuccessors(state, lease),
    ...lapseCoordinators(state, lease),
  ]);
  const effects: Effect[] = [];
  for (const instance of targets) {
    const member = state.view.members.get(instance);
    if (!member) continue;
    const message = {kind: 'lapsed', lease} as const;
    effects.push({kind: 'send', to: member.peers, message});
  }
  return effects;
}

function lapseCoordinators(state: State, lease: LeaseId): readonly string[] {
  const others = [...state.view.members.values()].filter(
    member =>
      member.instance !== lease.instance &&
      !hasLeaseEnded(state.view, leaseOf(member)),
  );
  // Changing this text would make daemons of different versions choose
  // different coordinators.
  const subject = `obituary ${lease.instance}`;
  const chosen = chooseCoordinators(subject, others, LAPSE_COORDINATORS);
  return chosen.map(member => member.instance);
}

/**
 * Returns the instances that own the next live term after a term of the lease,
 * over all slices.
 */
function nextSuccessors(state: State, lease: LeaseId): ReadonlySet<string> {
  const key = formatLease(lease);
  const successors = new Set<string>();
  for (const chunk of state.view.chunks.values()) {
    for (const {slice, terms} of chunk.slices) {
      const live = terms.filter(
        term => !hasTermEnded(state.view, chunk.service, slice, term),
      );
      const index = live.findIndex(term => formatLease(term.lease) === key);
      const next = live
        .slice(index + 1)
        .find(term => formatLease(term.lease) !== key);
      if (index >= 0 && next) successors.add(next.lease.instance);
    }
  }
  return successors;
}

/**
 * Returns the leases that must end before a term of this instance can begin.
 */
function blockingLeases(state: State): readonly LeaseId[] {
  const own = state.self.instance;
  const blocking = new Map<string, LeaseId>();
  for (const [id, {record}] of state.ownRecords) {
    const service = id.slice(0, id.lastIndexOf('/'));
    const first = record.terms.find(
      term => !hasTermEnded(state.view, service, record.slice, term),
    );
    if (!first || first.lease.instance === own) continue;
    blocking.set(formatLease(first.lease), first.lease);
  }
  return [...blocking.values()];
}
