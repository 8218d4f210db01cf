import {
  isAcceptingRequests,
  incarnationOf,
  membersOf,
  type Member,
} from '../fleet/index.js';
import {notRun, rankByRendezvous, type Failure} from '../model/index.js';
import {fingerprintOf, type RequestContent} from '../quarantine/index.js';
import {isSameIncarnation, findTerm, type RangeTerm} from '../ranges/index.js';
import {lengthOf} from './body.js';
import {chooseInstance} from './choose.js';
import {limitDelayMs} from './load.js';
import type {RefusableRequest} from './overload.js';
import {
  NO_HOLDER_RETRY_MS,
  contentOfRouted,
  type IngressContext,
  type RoutedRequest,
} from './routed.js';

/**
 * Time after which a request is sent again to an instance that refused it, in
 * milliseconds.
 */
const REFUSED_RETRY_INTERVAL_MS = 100;

/**
 * Time that a caller needs to retry a request itself, in milliseconds; it obeys
 * a Retry-After for a third of it.
 */
export const CALLER_RETRY_MS = 1000;

/** Shortest Retry-After if no daemon has free capacity, in milliseconds. */
const MIN_OVERLOAD_RETRY_MS = 200;

/** Decision on where the next attempt of a request is made. */
export type Target =
  | {
      readonly kind: 'member';
      readonly member: Member;
      /** The term by which the member holds the key. */
      readonly term?: RangeTerm;
    }
  /** The request waits for a change of the view, at most until a time. */
  | {readonly kind: 'wait'; readonly until: number}
  | {readonly kind: 'refuse'; readonly failure: Failure};

/**
 * Finds the daemon for the next attempt of a request: the one beside the holder
 * of its key or, for a service without keys, beside the instance with the
 * lowest estimate.
 *
 * @example
 * const target = findTarget(context, routed);
 * if (target.kind === 'refuse') return target.failure;
 */
export function findTarget(
  context: IngressContext,
  routed: RoutedRequest,
): Target {
  const keyed = context.isKeyed(routed.service);
  const target = keyed
    ? findHolder(context, routed)
    : findInstance(context, routed);
  if (target.kind !== 'wait' || context.clock() < routed.waitUntil)
    return target;
  const message = 'no instance accepted the request in time';
  return {
    kind: 'refuse',
    failure: notRun('no-owner', message, NO_HOLDER_RETRY_MS),
  };
}

function findHolder(context: IngressContext, routed: RoutedRequest): Target {
  const {service, waitUntil} = routed;
  const {key} = routed.caller;
  if (key === undefined) {
    return {
      kind: 'refuse',
      failure: notRun(
        'bad-key',
        'the service requires a key, but the request has none',
      ),
    };
  }
  const untilChanged = {kind: 'wait', until: waitUntil} as const;
  const view = context.view();
  const map = view.maps.get(service)?.value;
  const term = map && findTerm(map, key);
  if (!term || term.state === 'free') return untilChanged;
  const member = view.members.get(term.holder.node)?.value;
  if (!member || !isSameIncarnation(incarnationOf(member), term.holder))
    return untilChanged;
  const now = context.clock();
  const hasLeft = context.instanceNotices.hasLeft(incarnationOf(member), now);
  if (member.state === 'left' || hasLeft) return untilChanged;
  const load = context.loads(member.node);
  if (load.avoidedUntil > now) {
    const message = 'the daemon of the holder of the key has failed';
    const retryMs = Math.max(NO_HOLDER_RETRY_MS, load.avoidedUntil - now);
    return {kind: 'refuse', failure: notRun('no-owner', message, retryMs)};
  }
  const {holderRefusals} = context;
  const verdict = holderRefusals.decide(
    service,
    map,
    term,
    key,
    waitUntil,
    now,
  );
  if (verdict.kind === 'wait') return verdict;
  if (verdict.kind === 'refuse') {
    const message =
      'the key is moving to another instance, longer than the request can wait';
    const failure = notRun('no-owner', message, verdict.retryAfterMs);
    return {kind: 'refuse', failure};
  }
  const {overloadRefusals} = context;
  const retryDelayMs = overloadRefusals.retryDelayMs(
    refusableRequest(routed, member.node),
    now,
  );
  if (retryDelayMs !== undefined) return refuseOverloaded(retryDelayMs);
  if (routed.refusedBy.has(member.node)) {
    routed.refusedBy.delete(member.node);
    return {kind: 'wait', until: now + REFUSED_RETRY_INTERVAL_MS};
  }
  return {kind: 'member', member, term};
}

/**
 * Returns the members of a service that accept new requests. If the daemons of
 * all of them are shutting down, these members, as each daemon refuses by itself
 * what it can no longer finish.
 */
function openMembers(
  {view, instanceNotices}: IngressContext,
  service: string,
  now: number,
): readonly Member[] {
  const ready = membersOf(view(), service).filter(
    member =>
      member.state === 'ready' &&
      !instanceNotices.hasLeft(incarnationOf(member), now),
  );
  const remaining = ready.filter(isAcceptingRequests);
  return remaining.length > 0 ? remaining : ready;
}

function findInstance(context: IngressContext, routed: RoutedRequest): Target {
  const now = context.clock();
  const members = openMembers(context, routed.service, now);
  const untried = members.filter(
    ({node, id}) => !routed.refusedBy.has(node) && !routed.sentTo.has(id),
  );
  const open: Member[] = [];
  let minRetryDelayMs = Infinity;
  for (const member of untried) {
    const {node} = member;
    const retryDelayMs = context.overloadRefusals.retryDelayMs(
      refusableRequest(routed, node),
      now,
    );
    if (retryDelayMs === undefined) open.push(member);
    else minRetryDelayMs = Math.min(minRetryDelayMs, retryDelayMs);
  }
  if (untried.length > 0 && open.length === 0) {
    return refuseOverloaded(minRetryDelayMs);
  }
  const candidates = open.map(member => ({
    node: member.node,
    isSameDomain: member.domain === context.domain,
    load: context.loads(member.node),
    expectedMs: context.durations.expectedMs(member.node, routed.route.name),
    member,
  }));
  const bytes =
    lengthOf(routed.body) + context.answerLengths.mean(routed.route.name);
  const content = contentOfRouted(routed);
  const isSuspect = context.quarantine.verdict(content).kind !== 'run';
  const choice = isSuspect
    ? chooseForSuspect(candidates, content)
    : chooseInstance(candidates, now, bytes);
  if (!choice) {
    routed.refusedBy.clear();
    return {kind: 'wait', until: now + REFUSED_RETRY_INTERVAL_MS};
  }
  return {kind: 'member', member: choice.member};
}

/**
 * Chooses an instance for a suspect: the same at each daemon, so that it runs at
 * one at a time.
 */
function chooseForSuspect<T extends {readonly node: string}>(
  candidates: readonly T[],
  content: RequestContent,
): T | undefined {
  const [first] = rankByRendezvous(
    fingerprintOf(content),
    candidates,
    ({node}) => node,
  );
  return first;
}

/**
 * Describes a request for the record of refusals.
 *
 * @example
 * overloadRefusals.record(refusableRequest(routed, node), 300, now);
 */
export function refusableRequest(
  {route, firstAt, startedAt}: RoutedRequest,
  node: string,
): RefusableRequest {
  return {node, route: route.name, isRetry: firstAt < startedAt};
}

/** Refuses a request for which no daemon that may run it has free capacity. */
function refuseOverloaded(retryDelayMs: number): Target {
  const retryAfterMs = Math.max(retryDelayMs, MIN_OVERLOAD_RETRY_MS);
  const message = 'every daemon for the request recently had no capacity';
  return {kind: 'refuse', failure: notRun('overloaded', message, retryAfterMs)};
}

/**
 * Tells whether an instance that has not refused the request appears to have
 * free capacity.
 *
 * @example
 * return !context.isKeyed(service) && hasFreeInstance(context, routed);
 */
export function hasFreeInstance(
  context: IngressContext,
  routed: RoutedRequest,
): boolean {
  const now = context.clock();
  return openMembers(context, routed.service, now).some(
    member =>
      !routed.refusedBy.has(member.node) && hasCapacity(context, member, now),
  );
}

function hasCapacity(
  {loads}: IngressContext,
  {node, slots}: Member,
  now: number,
): boolean {
  const load = loads(node);
  if (limitDelayMs(load, now) > 0) return false;
  const {reportedBusy, inFlight} = load;
  return Math.max(reportedBusy, inFlight) < Math.max(load.slots, slots);
}

/** Tells whether the key of a request has moved away from a member. */
function isHeldByOther(
  {view}: IngressContext,
  {service, caller: {key}}: RoutedRequest,
  member: Member,
): boolean {
  const map = view().maps.get(service)?.value;
  const term = map && key !== undefined ? findTerm(map, key) : undefined;
  if (!term || term.state === 'free') return false;
  return !isSameIncarnation(incarnationOf(member), term.holder);
}

/**
 * Age up to which a report shows that an instance has free capacity for a request
 * that would be broken off for it, in milliseconds.
 */
const FREE_REPORT_MS = 1000;

/**
 * Tells whether a request that a member has not answered could be sent to
 * another instance: the next holder of its key or, without keys, one that
 * appears to answer and to have free capacity; one that was sent only to an
 * instance that has said so recently, as the answer of a late one is worth more
 * than a refusal.
 *
 * @param isSent The request may have run, so that sending it again draws on the
 *     retry budget.
 *
 * @example
 * if (!hasAlternative(context, routed, member, true)) await answer;
 */
export function hasAlternative(
  context: IngressContext,
  routed: RoutedRequest,
  member: Member,
  isSent: boolean,
): boolean {
  const {service, route, refusedBy, sentTo, identity} = routed;
  const now = context.clock();
  if (isSent) {
    const canCallerRetry = identity.dueAt - now >= CALLER_RETRY_MS;
    const isLastAttempt = sentTo.size + 1 >= route.maxAttempts;
    if (isLastAttempt || !context.hasRetry(service, canCallerRetry))
      return false;
  }
  if (context.isKeyed(service)) {
    return isSent && isHeldByOther(context, routed, member);
  }
  return openMembers(context, service, now).some(other => {
    const {node, id} = other;
    if (id === member.id || sentTo.has(id)) return false;
    // Refusals count for nothing after an attempt that may have run.
    if (!isSent && refusedBy.has(node)) return false;
    const {avoidedUntil, suspectedUntil, reportedAt} = context.loads(node);
    if (Math.max(avoidedUntil, suspectedUntil) > now) return false;
    if (isSent && now - reportedAt > FREE_REPORT_MS) return false;
    return hasCapacity(context, other, now);
  });
}
