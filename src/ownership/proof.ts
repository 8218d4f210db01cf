import {chooseStewards} from '../membership/index.js';
import {formatLease, leaseOf} from '../model/index.js';
import type {LeaseId, Member, WitnessSet} from '../model/index.js';
import {witnessMs} from './settings.js';
import type {Effect, State, Step} from './state.js';
import {unchanged} from './state.js';
import {
  endTakeover,
  isAlive,
  nextAction,
  noteAsked,
  noteFresh,
  noteRead,
  provedByRecord,
  provedBySeals,
  startTakeover,
  TAKEOVER_LIMIT_MS,
  witnessesOf,
} from './takeover.js';
import type {Takeover} from './takeover.js';
import {leaseEnded, termEnded, withEnded} from './view.js';
import {lapsedPromises} from './witness.js';

/** Time between two notices of the same lapse, in milliseconds. */
export const LAPSE_REPEAT_MS = 200;

/** Time between the checks of the owners that this daemon stands to succeed. */
export const PROBE_MS = 10_000;

/** Instances that record the end of the lease of a lost instance. */
const OBITUARY_STEWARDS = 2;

/** Tells the standing successors of each lapsed promise. */
export function notifyLapses(state: State, now: number): Step {
  const step = lapsedPromises(state.promises, now, LAPSE_REPEAT_MS);
  if (step.answer.length === 0) return unchanged(state);
  const effects = step.answer
    .filter(lease => isWitnessOf(state, lease))
    .filter(lease => !leaseEnded(state.view, lease))
    .flatMap(lease => lapseEffects(state, lease));
  return {state: {...state, promises: step.promises}, effects};
}

/** Starts to prove the end of the owners that this daemon stands to succeed. */
export function probeOwners(state: State, now: number): Step {
  if (now - state.probedAt < PROBE_MS) return unchanged(state);
  let {takeovers} = state;
  for (const lease of blockingLeases(state)) {
    takeovers = startTakeover(takeovers, lease, now);
  }
  return unchanged({...state, takeovers, probedAt: now});
}

/** Carries each running takeover on, or ends it. */
export function advanceTakeovers(state: State, now: number): Step {
  let current = state;
  const effects: Effect[] = [];
  for (const takeover of state.takeovers.values()) {
    const step = advance(current, takeover, now);
    current = step.state;
    effects.push(...step.effects);
  }
  return {state: current, effects};
}

/** Applies a fresh read of a registration record to a takeover. */
export function applyRead(
  state: State,
  lease: LeaseId,
  fresh: Member,
  now: number,
): Step {
  const takeovers = noteFresh(state.takeovers, lease, fresh);
  return advanceTakeovers({...state, takeovers}, now);
}

/** Tells whether the recorded witness set of a lease names this process. */
function isWitnessOf(state: State, lease: LeaseId): boolean {
  const member = state.view.members.get(lease.instance);
  if (member?.generation !== lease.generation) return false;
  const {process} = state.self;
  return member.witnesses.witnesses.some(
    witness => witness.process === process,
  );
}

function advance(state: State, takeover: Takeover, now: number): Step {
  const {lease} = takeover;
  const member = state.view.members.get(lease.instance);
  if (leaseEnded(state.view, lease)) return concludeTakeover(state, lease);
  const promiseMs = witnessMs(state.settings);
  const proved =
    provedBySeals(takeover, member) || provedByRecord(takeover, promiseMs, now);
  if (proved) return concludeTakeover(state, lease);
  const set = witnessesOf(takeover, member);
  const isOver =
    isAlive(takeover, set) || now - takeover.startedAt > TAKEOVER_LIMIT_MS;
  if (isOver) {
    const takeovers = endTakeover(state.takeovers, lease);
    return unchanged({...state, takeovers});
  }
  const doubted = isDoubted(state, takeover, set);
  const action = nextAction(takeover, set, doubted, now);
  if (action === 'seal' && set) return askToSeal(state, lease, set, now);
  if (action === 'read') return askToRead(state, lease, set, now);
  return unchanged(state);
}

function isDoubted(
  state: State,
  takeover: Takeover,
  set: WitnessSet | undefined,
): boolean {
  const {lapsed, sealed} = takeover;
  const told = (set?.witnesses ?? []).some(
    witness =>
      lapsed.has(witness.process) ||
      sealed.has(witness.process) ||
      processEnded(state, witness),
  );
  return told || !set;
}

function concludeTakeover(state: State, lease: LeaseId): Step {
  const recorded = leaseEnded({...state.view, ended: new Set()}, lease);
  const effects: Effect[] = recorded ? [] : [{kind: 'markEnded', lease}];
  return {
    state: {
      ...state,
      view: withEnded(state.view, [lease]),
      takeovers: endTakeover(state.takeovers, lease),
    },
    effects,
  };
}

function askToSeal(
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
  const takeovers = noteAsked(state.takeovers, lease, now);
  return {state: {...state, takeovers}, effects};
}

function askToRead(
  state: State,
  lease: LeaseId,
  set: WitnessSet | undefined,
  now: number,
): Step {
  const gone = new Set(
    (set?.witnesses ?? [])
      .filter(witness => processEnded(state, witness))
      .map(witness => witness.process),
  );
  const takeovers = noteRead(state.takeovers, lease, gone, now);
  if (!state.platformReachable) return unchanged({...state, takeovers});
  return {state: {...state, takeovers}, effects: [{kind: 'read', lease}]};
}

function processEnded(
  state: State,
  witness: WitnessSet['witnesses'][number],
): boolean {
  const member = state.view.members.get(witness.instance);
  if (!member) return false;
  if (member.process === witness.process) return member.processEnded === true;
  return member.generation > witness.generation;
}

function lapseEffects(state: State, lease: LeaseId): readonly Effect[] {
  const targets = new Set([
    ...standingSuccessors(state, lease),
    ...stewardsOf(state, lease),
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

function stewardsOf(state: State, lease: LeaseId): readonly string[] {
  const others = [...state.view.members.values()].filter(
    member =>
      member.instance !== lease.instance &&
      !leaseEnded(state.view, leaseOf(member)),
  );
  const subject = `obituary ${lease.instance}`;
  const chosen = chooseStewards(subject, others, OBITUARY_STEWARDS);
  return chosen.map(member => member.instance);
}

/** Returns the instances that stand first behind the terms of a lease. */
function standingSuccessors(state: State, lease: LeaseId): ReadonlySet<string> {
  const key = formatLease(lease);
  const successors = new Set<string>();
  for (const chunk of state.view.chunks.values()) {
    for (const {slice, terms} of chunk.slices) {
      const live = terms.filter(
        term => !termEnded(state.view, chunk.service, slice, term),
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

/** Returns the leases whose end this daemon waits for in some slice. */
function blockingLeases(state: State): readonly LeaseId[] {
  const own = state.self.instance;
  const blocking = new Map<string, LeaseId>();
  for (const [id, {record}] of state.own) {
    const service = id.slice(0, id.lastIndexOf('/'));
    const first = record.terms.find(
      term => !termEnded(state.view, service, record.slice, term),
    );
    if (!first || first.lease.instance === own) continue;
    blocking.set(formatLease(first.lease), first.lease);
  }
  return [...blocking.values()];
}
