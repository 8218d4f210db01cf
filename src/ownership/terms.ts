import {chooseCoordinators} from '../membership/index.js';
import {
  formatLease,
  formatSlice,
  leaseOf,
  readChart,
  sameLease,
} from '../model/index.js';
import type {Address, SliceRecord, Term} from '../model/index.js';
import {grantKey, prepareGrant} from './grant.js';
import {isLeaseValid} from './holder.js';
import type {SliceEpoch} from './messages.js';
import type {Effect, Holding, State, Step} from './state.js';
import {unchanged} from './state.js';
import {
  hasLeaseEnded,
  hasTermEnded,
  withBegunTerms,
  withReleasedEpochs,
} from './view.js';

const TERM_CHART = readChart(new URL('./charts/term.json', import.meta.url));

/** Interval between two notices of the same release, in milliseconds. */
export const RELEASE_NOTICE_INTERVAL_MS = 250;

/** Number of coordinators of a chunk that are notified of releases. */
const RELEASE_COORDINATORS = 2;

/**
 * Returns whether this instance may serve slices now: its upstream is healthy
 * and its lease is valid.
 *
 * @example
 * if (!mayServe(state, now)) return [];
 */
export function mayServe(state: State, now: number): boolean {
  return state.upstream?.isHealthy === true && isLeaseValid(state.holder, now);
}

/**
 * Begins, drains or releases this instance's terms of every slice whose record
 * includes it, announces the changes, and renews the grant if needed.
 *
 * @param busySlices Slices with requests in flight; undefined if not known, in
 *     which case the last known value is used.
 *
 * @example
 * const {state, effects} = reviewTerms(before, now, new Set(['rota-display/7']));
 */
export function reviewTerms(
  state: State,
  now: number,
  busySlices: ReadonlySet<string> | undefined,
): Step {
  const began: SliceEpoch[] = [];
  const released: SliceEpoch[] = [];
  const holdings = new Map<string, Holding>();
  for (const [id, {record}] of state.ownRecords) {
    const before = state.holdings.get(id) ?? newHolding(id, record);
    const isBusy = busySlices ? busySlices.has(id) : before.isBusy;
    const after = reviewTerm(state, record, {...before, isBusy}, now);
    holdings.set(id, after);
    if (hasBegun(before, after)) began.push(sliceEpochOf(after, after.epoch));
    if (after.releasedUpTo > before.releasedUpTo) {
      released.push(sliceEpochOf(after, after.releasedUpTo));
    }
  }
  const next = {...state, holdings};
  return announceChanges(next, began, released, now);
}

/**
 * Sends a grant to an upstream that enforces fencing when the entries have
 * changed, or when a renewal of a non-empty grant is due. Without a clock
 * reading of the upstream, a grant is sent only when due, and is empty. None is
 * sent while an answer is awaited.
 *
 * @example
 * const {state, effects} = renewGrant(before, now);
 */
export function renewGrant(state: State, now: number): Step {
  const {upstream, grant} = state;
  if (!upstream || upstream.fencing === 'ignored') return unchanged(state);
  if (grant.isAwaitingAnswer) return unchanged(state);
  const entries = mayServe(state, now) ? grantEntries(state) : [];
  const hasChanged =
    entries.length !== grant.sent.size ||
    entries.some(entry => !grant.sent.has(grantKey(entry)));
  const isDue = now - grant.sentAt >= state.settings.renewMs;
  const isNeeded = hasChanged || entries.length > 0 || !grant.clockReading;
  if (!(hasChanged && grant.clockReading) && !(isDue && isNeeded))
    return unchanged(state);
  const until = Math.min(
    state.holder.validUntil,
    now + state.settings.durationMs,
  );
  const {driftShare} = state.settings;
  const prepared = prepareGrant(grant, entries, until, driftShare, now);
  return {
    state: {...state, grant: prepared.grant},
    effects: [{kind: 'grant', request: prepared.request}],
  };
}

/**
 * Repeats the notices of releases that the records do not reflect yet.
 *
 * @example
 * const {state, effects} = repeatReleases(before, now);
 */
export function repeatReleases(state: State, now: number): Step {
  const due = [...state.holdings].filter(
    ([id, holding]) =>
      now - holding.announcedAt >= RELEASE_NOTICE_INTERVAL_MS &&
      isReleasePending(state, id, holding),
  );
  if (due.length === 0) return unchanged(state);
  const holdings = new Map(state.holdings);
  for (const [id, holding] of due)
    holdings.set(id, {...holding, announcedAt: now});
  const entries = due.map(([, holding]) =>
    sliceEpochOf(holding, holding.releasedUpTo),
  );
  return {
    state: {...state, holdings},
    effects: releaseNotices(state, entries),
  };
}

/**
 * Returns whether this instance currently serves a slice under an epoch.
 *
 * @example
 * if (!holdsTerm(state, 'rota-display', 7, epoch, now)) giveUp();
 */
export function holdsTerm(
  state: State,
  service: string,
  slice: number,
  epoch: number,
  now: number,
): boolean {
  const holding = state.holdings.get(formatSlice({service, slice}));
  if (!holding || holding.epoch !== epoch) return false;
  const isActive = holding.state === 'serving' || holding.state === 'draining';
  if (!isActive || !mayServe(state, now)) return false;
  return (
    state.upstream?.fencing === 'ignored' || now < state.grant.confirmedUntil
  );
}

function reviewTerm(
  state: State,
  record: SliceRecord,
  holding: Holding,
  now: number,
): Holding {
  switch (holding.state) {
    case 'granting':
    case 'serving':
      return reviewActive(state, record, holding, now);
    case 'draining':
      return reviewDraining(state, holding, now);
    default:
      return reviewInactive(state, record, holding, now);
  }
}

function reviewActive(
  state: State,
  record: SliceRecord,
  holding: Holding,
  now: number,
): Holding {
  const releaseTo = epochToRelease(state, record, holding);
  if (releaseTo > 0) {
    const draining = transition(
      {...holding, releaseTo, isBusy: true},
      'RELEASE',
    );
    return reviewDraining(state, draining, now);
  }
  if (holding.state === 'granting' && isGranted(state, holding)) {
    return transition(holding, 'GRANTED');
  }
  return holding;
}

/**
 * Returns the epoch up to which an active term is to be released, or 0. A term
 * is released if the record assigns the slice to another instance, or if this
 * instance is leaving and another live instance is recorded for the slice.
 */
function epochToRelease(
  state: State,
  record: SliceRecord,
  holding: Holding,
): number {
  const {service, slice} = holding;
  const live = record.terms.filter(
    term => !hasTermEnded(state.view, service, slice, term),
  );
  const wanted = live.find(term => term.epoch >= record.wantedFrom);
  const isWanted = !wanted || sameLease(wanted.lease, state.holder.lease);
  if (!isWanted && holding.epoch < record.wantedFrom) {
    return record.wantedFrom - 1;
  }
  const isReleasing = isLeaving(state) || state.upstream?.isHealthy !== true;
  const hasSuccessor = live.some(
    term => !sameLease(term.lease, state.holder.lease),
  );
  return isReleasing && hasSuccessor ? lastOwnEpoch(state, record) : 0;
}

/**
 * Releases a draining term once its requests have finished and the upstream has
 * confirmed a grant without it, or once every grant has expired.
 */
function reviewDraining(state: State, holding: Holding, now: number): Holding {
  const isFenced = state.upstream?.fencing === 'enforced';
  const {grant} = state;
  const key = grantKey(holding);
  const isWithdrawn = !grant.sent.has(key) && !grant.confirmed.has(key);
  const hasLapsed = isFenced && now > grant.latestUntil;
  const isFinished = !holding.isBusy && (!isFenced || isWithdrawn);
  if (!hasLapsed && !isFinished) return holding;
  const released = transition(holding, 'IDLE');
  return {...released, releasedUpTo: holding.releaseTo, announcedAt: now};
}

function reviewInactive(
  state: State,
  record: SliceRecord,
  holding: Holding,
  now: number,
): Holding {
  const current = releaseUnwanted(state, record, holding, now);
  const term = isLeaving(state)
    ? undefined
    : termToBegin(state, record, current.releasedUpTo);
  if (!term || !mayServe(state, now)) return current;
  const standing = transition(current, 'STAND');
  const begun = transition({...standing, epoch: term.epoch}, 'BEGIN');
  return isGranted(state, begun) ? transition(begun, 'GRANTED') : begun;
}

/**
 * Returns whether the daemon is draining or its upstream is shutting down, so
 * that owned slices are released and no terms begin.
 */
function isLeaving({isDraining, upstream}: State): boolean {
  return isDraining || upstream?.isLeaving === true;
}

function releaseUnwanted(
  state: State,
  record: SliceRecord,
  holding: Holding,
  now: number,
): Holding {
  const target = state.isDraining
    ? lastOwnEpoch(state, record)
    : lastUnwantedEpoch(state, record);
  if (target <= holding.releasedUpTo) return holding;
  return {...holding, releasedUpTo: target, announcedAt: now};
}

/**
 * Returns the first term of this lease that may begin: it is not released, and
 * every earlier term of another lease has ended.
 */
function termToBegin(
  state: State,
  record: SliceRecord,
  releasedUpTo: number,
): Term | undefined {
  const {slice, service} = sliceOf(state, record);
  for (const term of record.terms) {
    if (sameLease(term.lease, state.holder.lease)) {
      if (term.epoch > releasedUpTo) return term;
    } else if (!hasTermEnded(state.view, service, slice, term)) {
      return undefined;
    }
  }
  return undefined;
}

function lastUnwantedEpoch(state: State, record: SliceRecord): number {
  const unwanted = record.terms.filter(
    term =>
      sameLease(term.lease, state.holder.lease) &&
      term.epoch < record.wantedFrom,
  );
  return unwanted.at(-1)?.epoch ?? 0;
}

function lastOwnEpoch(state: State, record: SliceRecord): number {
  const own = record.terms.filter(term =>
    sameLease(term.lease, state.holder.lease),
  );
  return own.at(-1)?.epoch ?? 0;
}

function isGranted(state: State, holding: Holding): boolean {
  if (state.upstream?.fencing !== 'enforced') return true;
  return state.grant.confirmed.has(grantKey(holding));
}

function grantEntries(state: State): readonly SliceEpoch[] {
  return [...state.holdings.values()]
    .filter(holding => isGrantable(holding))
    .map(holding => sliceEpochOf(holding, holding.epoch));
}

function isGrantable(holding: Holding): boolean {
  if (holding.state === 'draining') return holding.isBusy;
  return holding.state === 'granting' || holding.state === 'serving';
}

function hasBegun(before: Holding, after: Holding): boolean {
  return before.state !== 'serving' && after.state === 'serving';
}

function announceChanges(
  state: State,
  began: readonly SliceEpoch[],
  released: readonly SliceEpoch[],
  now: number,
): Step {
  const {lease} = state.holder;
  const effects: Effect[] = [];
  let {view} = state;
  if (began.length > 0) {
    const ended = endedPredecessors(state, began);
    const message = {kind: 'began', lease, slices: began, ended} as const;
    view = withBegunTerms(view, message);
    effects.push({kind: 'broadcast', message}, {kind: 'began', slices: began});
  }
  if (released.length > 0) {
    view = withReleasedEpochs(view, {
      kind: 'released',
      lease,
      slices: released,
    });
    effects.push(...releaseNotices(state, released));
    effects.push({kind: 'released', slices: released});
  }
  const step = renewGrant({...state, view}, now);
  return {state: step.state, effects: [...effects, ...step.effects]};
}

function endedPredecessors(
  state: State,
  began: readonly SliceEpoch[],
): Extract<Effect, {kind: 'markEnded'}>['lease'][] {
  const ended = new Map<string, Term['lease']>();
  for (const entry of began) {
    const ownRecord = state.ownRecords.get(formatSlice(entry));
    for (const {lease} of ownRecord?.record.terms ?? []) {
      if (hasLeaseEnded(state.view, lease))
        ended.set(formatLease(lease), lease);
    }
  }
  return [...ended.values()];
}

/**
 * Returns the messages that announce releases to the other instances of the
 * slice records and to the chunks' coordinators.
 */
function releaseNotices(
  state: State,
  entries: readonly SliceEpoch[],
): readonly Effect[] {
  const byTarget = new Map<string, SliceEpoch[]>();
  for (const entry of entries) {
    for (const target of releaseRecipients(state, entry)) {
      const list = byTarget.get(target) ?? [];
      list.push(entry);
      byTarget.set(target, list);
    }
  }
  const {lease} = state.holder;
  const effects: Effect[] = [];
  for (const [instance, slices] of byTarget) {
    const to = peerAddressOf(state, instance);
    const message = {kind: 'released', lease, slices} as const;
    if (to) effects.push({kind: 'send', to, message});
  }
  return effects;
}

function releaseRecipients(
  state: State,
  entry: SliceEpoch,
): ReadonlySet<string> {
  const id = formatSlice(entry);
  const ownRecord = state.ownRecords.get(id);
  const instances = (ownRecord?.record.terms ?? []).map(
    term => term.lease.instance,
  );
  const subject = chunkSubject(entry.service, ownRecord?.chunk ?? 0);
  const live = [...state.view.members.values()].filter(
    member => !hasLeaseEnded(state.view, leaseOf(member)),
  );
  const coordinators = chooseCoordinators(subject, live, RELEASE_COORDINATORS);
  const all = new Set([...instances, ...coordinators.map(s => s.instance)]);
  all.delete(state.self.instance);
  return all;
}

/**
 * Returns the subject under which the coordinators of a chunk are chosen by
 * rendezvous hashing.
 *
 * @example
 * chunkSubject('rota-display', 3); // 'chunk rota-display/3'
 */
export function chunkSubject(service: string, index: number): string {
  return `chunk ${service}/${index}`;
}

function peerAddressOf(state: State, instance: string): Address | undefined {
  return state.view.members.get(instance)?.peers;
}

function isReleasePending(state: State, id: string, holding: Holding): boolean {
  if (holding.releasedUpTo === 0) return false;
  const terms = state.ownRecords.get(id)?.record.terms ?? [];
  return terms.some(
    term =>
      sameLease(term.lease, state.holder.lease) &&
      term.epoch <= holding.releasedUpTo,
  );
}

function sliceOf(
  state: State,
  record: SliceRecord,
): {readonly service: string; readonly slice: number} {
  return {service: state.upstream?.service ?? '', slice: record.slice};
}

function newHolding(id: string, record: SliceRecord): Holding {
  const service = id.slice(0, id.lastIndexOf('/'));
  return {
    service,
    slice: record.slice,
    epoch: 0,
    state: TERM_CHART.initial,
    releasedUpTo: 0,
    releaseTo: 0,
    isBusy: false,
    announcedAt: 0,
  };
}

function sliceEpochOf(holding: Holding, epoch: number): SliceEpoch {
  return {service: holding.service, slice: holding.slice, epoch};
}

function transition(holding: Holding, event: string): Holding {
  return {...holding, state: TERM_CHART.next(holding.state, event)};
}
