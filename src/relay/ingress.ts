import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  finalFailure,
  createStop,
  untilStoppedOrTimeout,
  type Attempt,
  type AttemptFailure,
  type RequestState,
} from '../gateway/index.js';
import {
  isAcceptingRequests,
  incarnationOf,
  membersOf,
  type FleetView,
  type Member,
} from '../fleet/index.js';
import {
  notRun,
  unknownOutcome,
  type Failure,
  type FailureReason,
} from '../model/index.js';
import {isSameIncarnation, findTerm, type RangeTerm} from '../ranges/index.js';
import type {EventFields} from '../telemetry/index.js';
import {abortResponse, type ResponseHead} from '../upstream/index.js';
import {lengthOf, readBody, type RequestBody} from './body.js';
import {chooseInstance, limitDelayMs} from './choose.js';
import {
  findRoute,
  type Route,
  type RoutedConfiguration,
  type RouteTable,
} from './configuration.js';
import type {CallerRequest} from './dialect.js';
import {RELAY_EVENTS} from './events.js';
import {forward, type ForwardContext} from './forward.js';
import type {InstanceNotices} from './notices.js';
import type {HolderRefusals} from './holder.js';
import type {AnswerLengths} from './lengths.js';
import {needsOffer, offer} from './offer.js';
import {runLocally, type LocalContext} from './local.js';
import type {OverloadRefusals} from './overload.js';
import type {RequestIdentity, CallerRetries} from './retries.js';
import {
  INGRESS_GRACE_MS,
  holderWaitUntil,
  admitRequest,
  stopAtDeadline,
  type Timings,
  type Flow,
  type Work,
} from './work.js';

/** A configuration with its route table. */
export interface ActiveConfiguration extends RoutedConfiguration {
  readonly table: RouteTable;
}

/** Dependencies for handling requests of callers. */
export interface IngressContext extends LocalContext, ForwardContext {
  readonly node: string;
  readonly domain: string;
  /**
   * Returns the service of the instance beside the daemon that receives the
   * requests.
   */
  readonly callerService: () => string;
  readonly configuration: () => ActiveConfiguration | undefined;
  readonly view: () => FleetView;
  readonly viewChanged: () => Promise<unknown>;
  readonly service: (route: Route) => string;
  readonly callerRetries: CallerRetries;
  readonly instanceNotices: InstanceNotices;
  readonly holderRefusals: HolderRefusals;
  readonly answerLengths: AnswerLengths;
  readonly overloadRefusals: OverloadRefusals;
  /**
   * Spends one retry to a service from the retry budget; returns false if none
   * is left.
   *
   * @param canCallerRetry The caller has time to retry the request itself.
   */
  readonly retryAllowed: (service: string, canCallerRetry: boolean) => boolean;
  /** Counts a request to a service towards its retry budget. */
  readonly countRequest: (service: string) => void;
  readonly requestEnded: (outcome: RequestResult) => void;
}

/** Result of a request of a caller. */
export interface RequestResult {
  readonly service: string;
  readonly route: string;
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'broken' | 'cancelled';
  readonly reason: string;
  readonly timeMs: number;
}

/** Longest wait for an instance if none is known, in milliseconds. */
const MAX_HOLDER_WAIT_MS = 400;

/**
 * Time after which a request is sent again to an instance that refused it, in
 * milliseconds.
 */
const REFUSED_RETRY_INTERVAL_MS = 100;

/** Shortest Retry-After if no daemon has free capacity, in milliseconds. */
const MIN_OVERLOAD_RETRY_MS = 200;

/** Retry-After if no instance is known, in milliseconds. */
const NO_HOLDER_RETRY_MS = 500;

/** Largest number of attempts to forward one request. */
const MAX_FORWARDS = 6;

/**
 * Time that a caller needs to retry a request itself, in milliseconds; it obeys
 * a Retry-After for a third of it.
 */
const CALLER_RETRY_MS = 1000;

/** Assumed timeout of a caller that states none, in milliseconds. */
const DEFAULT_DEADLINE_MS = 30_000;

/**
 * Rank of the requests of callers at admission. Forwarded requests, of rank 0,
 * have already used time at another daemon and are started first.
 */
const CALLER_RANK = 1;

/** Lowest status of a server error. */
const FIRST_ERROR_STATUS = 500;

/**
 * A request of a caller after its route is known, and the state of its
 * attempts.
 */
interface RoutedRequest {
  readonly flow: Flow;
  readonly caller: CallerRequest;
  readonly route: Route;
  readonly service: string;
  readonly body: RequestBody;
  readonly startedAt: number;
  readonly deadlineAt: number;
  /** Time of the first attempt of the caller. */
  readonly firstAt: number;
  readonly identity: RequestIdentity;
  readonly method: string;
  readonly target: string;
  /** Daemons that refused the request. */
  readonly refusedBy: Set<string>;
  /** Instances to which the request may have been sent. */
  readonly sentTo: Set<string>;
  forwardCount: number;
  waitUntil: number;
  /**
   * Shortest time after which one of the daemons that refused expects free
   * capacity.
   */
  retryAfterMs?: number;
}

/**
 * Handles a request of a caller: finds its route and an instance of the
 * service, forwards the request at most one hop, and answers in any case.
 *
 * @example
 * server.on('request', (request, response) =>
 *   handleCaller(context, request, response));
 */
export async function handleCaller(
  context: IngressContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const startedAt = context.clock();
  const caller = context.dialect.readRequest(request.rawHeaders);
  const state: RequestState = {mayHaveRun: false, isBodyConsumed: false};
  const stop = createStop(state);
  const configuration = context.configuration();
  const target = request.url ?? '/';
  const refuse = (failure: Failure, route = '', service = '') => {
    report(context, caller.id, failure, route, service, startedAt);
    sendFailure(response, failure);
  };
  if (caller.problem) return refuse(notRun('bad-request', caller.problem));
  if (!configuration) {
    const message = 'the daemon has not loaded a configuration yet';
    return refuse(notRun('no-owner', message, NO_HOLDER_RETRY_MS));
  }
  const path = target.split('?', 1)[0];
  const route = findRoute(configuration.table, caller.host, path);
  if (route ? route.parts.length === 0 : configuration.isPartial) {
    const message = 'the configured route of this request is malformed';
    const failure = notRun('no-owner', message, NO_HOLDER_RETRY_MS);
    return refuse(failure, route?.name);
  }
  if (!route) {
    const message = `no route for host and path in version ${configuration.version}`;
    return refuse(notRun('no-service', message));
  }
  const callerTimeoutMs = caller.deadlineMs ?? DEFAULT_DEADLINE_MS;
  const timeMs = Math.min(callerTimeoutMs, route.timeoutMs);
  const deadlineAt = startedAt + timeMs;
  const cancelDeadline = stopAtDeadline(
    response,
    stop,
    timeMs,
    INGRESS_GRACE_MS,
  );
  if (caller.expectsContinue) response.writeContinue();
  const body = await readBody(request, caller, configuration.limits.bodyBytes);
  const service = context.service(route);
  if (body.kind === 'too-large' || body.kind === 'broken') {
    cancelDeadline();
    const reason = body.kind === 'broken' ? 'cancelled' : 'too-large';
    return refuse(
      notRun(reason, `request body not accepted: ${body.kind}`),
      route.name,
      service,
    );
  }
  const bodyMode = body.kind === 'streamed' ? 'streamed' : 'none';
  const method = request.method ?? 'GET';
  const dueAt = startedAt + callerTimeoutMs;
  const course: Timings = {bodyMs: Math.round(context.clock() - startedAt)};
  const identity = {method, target, key: caller.key, dueAt};
  const routed: RoutedRequest = {
    flow: {request, response, state, bodyMode, stop, course},
    caller,
    route,
    service,
    body,
    startedAt,
    deadlineAt,
    firstAt:
      context.callerRetries.firstAttemptAt(identity, startedAt) ?? startedAt,
    identity,
    method,
    target,
    refusedBy: new Set(),
    sentTo: new Set(),
    forwardCount: 0,
    waitUntil: holderWaitUntil(startedAt, deadlineAt, MAX_HOLDER_WAIT_MS),
  };
  context.countRequest(service);
  const result = await serve(context, routed);
  cancelDeadline();
  finish(context, routed, result);
}

function finish(
  context: IngressContext,
  routed: RoutedRequest,
  result: Attempt,
): void {
  const {flow, route, service, caller, startedAt} = routed;
  const timeMs = Math.round(context.clock() - startedAt);
  const fields = {service, route: route.name, timeMs};
  const spent = {bodyBytes: lengthOf(routed.body), asked: routed.forwardCount};
  const isSuccess =
    result.kind === 'answered' && result.status < FIRST_ERROR_STATUS;
  if (!isSuccess)
    context.callerRetries.recordFailure(routed.identity, routed.firstAt);
  if (result.kind === 'answered') {
    const {status} = result;
    context.requestEnded({...fields, outcome: 'answered', reason: ''});
    const request = caller.id;
    context.log(RELAY_EVENTS.served, {
      request,
      status,
      ...fields,
      ...flow.course,
      ...spent,
    });
    return;
  }
  if (result.kind === 'broken') {
    const {message} = result.error;
    context.requestEnded({...fields, outcome: 'broken', reason: ''});
    context.log(RELAY_EVENTS.broken, {request: caller.id, message, ...fields});
    abortResponse(flow.response);
    return;
  }
  const {failure} = result;
  report(context, caller.id, failure, route.name, service, startedAt, {
    ...flow.course,
    ...spent,
  });
  sendFailure(flow.response, failure);
}

function report(
  context: IngressContext,
  request: string,
  failure: Failure,
  route: string,
  service: string,
  startedAt: number,
  spent: EventFields = {},
): void {
  const timeMs = Math.round(context.clock() - startedAt);
  const {outcome, reason, message, status, retryAfterMs} = failure;
  const version = context.configuration()?.version;
  const fields = {service, route, timeMs};
  if (reason === 'cancelled') {
    context.requestEnded({...fields, outcome: 'cancelled', reason});
    context.log(RELAY_EVENTS.cancelled, {request, ...fields, ...spent});
    return;
  }
  context.requestEnded({...fields, outcome, reason});
  const result = {outcome, reason, message, status, retryAfterMs, version};
  context.log(RELAY_EVENTS.failed, {
    request,
    ...result,
    ...fields,
    ...spent,
  });
}

const MS_PER_SECOND = 1000;

/**
 * Answers a caller with a failure. The Retry-After keeps fractions of a second.
 */
function sendFailure(response: ServerResponse, failure: Failure): void {
  if (response.destroyed || response.headersSent) return;
  const {outcome, reason, message, retryAfterMs, status} = failure;
  const body = JSON.stringify({outcome, reason, message}) + '\n';
  const headers = [
    'Content-Type',
    'application/json',
    'Content-Length',
    String(Buffer.byteLength(body)),
  ];
  if (outcome === 'not-run' && retryAfterMs !== undefined) {
    headers.push('Retry-After', (retryAfterMs / MS_PER_SECOND).toFixed(3));
  }
  response.writeHead(status, headers);
  response.end(body);
}

async function serve(
  context: IngressContext,
  routed: RoutedRequest,
): Promise<Attempt> {
  const {flow, deadlineAt} = routed;
  const {state} = flow;
  const now = context.clock();
  const refusal = await admitRequest(
    context.intake,
    flow,
    CALLER_RANK,
    now,
    deadlineAt,
  );
  if (refusal) return concludeFailure(routed, refusal);
  for (;;) {
    if (state.stopReason) return concludeFailure(routed, state.stopReason);
    const target = findTarget(context, routed);
    if (target.kind === 'refuse')
      return concludeFailure(routed, target.failure);
    if (target.kind === 'wait') {
      const leftMs = target.until - context.clock();
      await untilStoppedOrTimeout(routed.flow, context.viewChanged(), leftMs);
      continue;
    }
    const {member, term} = target;
    routed.forwardCount += 1;
    const attempt = await runAttempt(context, routed, member);
    if (attempt.kind !== 'failed') return attempt;
    const {failure} = attempt;
    if (failure.outcome === 'unknown') state.mayHaveRun = true;
    if (failure.reason === 'overloaded') {
      recordOverload(context, routed, member, failure);
    }
    if (term && isNotHolder(attempt)) {
      context.holderRefusals.record(routed.service, term, context.clock());
    }
    if (state.stopReason) return concludeFailure(routed, state.stopReason);
    if (!mayRetry(context, routed, member, attempt)) {
      return concludeFailure(routed, failure);
    }
    const {reason, message} = failure;
    context.log(RELAY_EVENTS.retried, {
      request: routed.caller.id,
      service: routed.service,
      upstream: member.id,
      reason,
      message,
    });
  }
}

function recordOverload(
  context: IngressContext,
  {route}: RoutedRequest,
  {node}: Member,
  {retryAfterMs = 0}: Failure,
): void {
  // An attempt at the local instance needs no other daemon.
  if (node === context.node) return;
  context.overloadRefusals.record(
    node,
    route.name,
    retryAfterMs,
    context.clock(),
  );
}

/** Refuses a request for which no daemon that may run it has free capacity. */
function refuseOverloaded(retryDelayMs: number): Target {
  const retryAfterMs = Math.max(retryDelayMs, MIN_OVERLOAD_RETRY_MS);
  const message = 'every daemon for the request recently had no capacity';
  return {kind: 'refuse', failure: notRun('overloaded', message, retryAfterMs)};
}

/**
 * Tells whether the daemon of a holder reports that the instance serves none of
 * the keys now. A refusal by the instance itself concerns only one request.
 */
function isNotHolder({
  failure,
  isRetryBudgetExempt: free,
}: AttemptFailure): boolean {
  const {reason} = failure;
  return free !== false && (reason === 'not-owner' || reason === 'draining');
}

/**
 * Describes the failure of a request for its caller. If the request may have
 * run, the status must not imply that it has not; if it has not run, the caller
 * gets a Retry-After.
 */
function concludeFailure(
  routed: RoutedRequest,
  failure: Failure,
): AttemptFailure {
  const {reason, message, status} = failure;
  if (routed.flow.state.mayHaveRun) {
    const known = reason === 'deadline' ? 504 : 502;
    return finalFailure({...unknownOutcome(reason, message), status: known});
  }
  if (failure.outcome === 'unknown') return finalFailure(failure);
  if (reason === 'deadline') {
    return finalFailure({...failure, status: 503, retryAfterMs: 0});
  }
  const retryAfterMs = failure.retryAfterMs ?? routed.retryAfterMs;
  const known =
    status === 503 ? (retryAfterMs ?? NO_HOLDER_RETRY_MS) : undefined;
  return finalFailure({...failure, retryAfterMs: known});
}

type Target =
  | {
      readonly kind: 'member';
      readonly member: Member;
      /** The term by which the member holds the key. */
      readonly term?: RangeTerm;
    }
  /** The request waits for a change of the view, at most until a time. */
  | {readonly kind: 'wait'; readonly until: number}
  | {readonly kind: 'refuse'; readonly failure: Failure};

function findTarget(context: IngressContext, routed: RoutedRequest): Target {
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
    member.node,
    routed.route.name,
    now,
  );
  if (retryDelayMs !== undefined) return refuseOverloaded(retryDelayMs);
  if (routed.refusedBy.has(member.node)) {
    routed.refusedBy.delete(member.node);
    return {kind: 'wait', until: now + REFUSED_RETRY_INTERVAL_MS};
  }
  return {kind: 'member', member, term};
}

/** Returns the members of a service that accept new requests. */
function openMembers(
  {view, instanceNotices}: IngressContext,
  service: string,
  now: number,
): readonly Member[] {
  return membersOf(view(), service).filter(
    member =>
      isAcceptingRequests(member) &&
      !instanceNotices.hasLeft(incarnationOf(member), now),
  );
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
      node,
      routed.route.name,
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
    member,
  }));
  const bytes =
    lengthOf(routed.body) + context.answerLengths.mean(routed.route.name);
  const choice = chooseInstance(candidates, now, bytes);
  if (!choice) {
    routed.refusedBy.clear();
    return {kind: 'wait', until: now + REFUSED_RETRY_INTERVAL_MS};
  }
  return {kind: 'member', member: choice.member};
}

/** Decides whether a failed attempt is retried. */
function mayRetry(
  context: IngressContext,
  routed: RoutedRequest,
  member: Member,
  attempt: AttemptFailure,
): boolean {
  const {failure, isRetryBudgetExempt: free} = attempt;
  const {route, service} = routed;
  // An instance to which the request was sent has received a part of its body.
  const consumed = routed.flow.state.isBodyConsumed || free !== true;
  if (routed.body.kind === 'streamed' && consumed) return false;
  if (context.clock() >= routed.deadlineAt) return false;
  const canCallerRetry =
    routed.identity.dueAt - context.clock() >= CALLER_RETRY_MS;
  if (failure.outcome === 'unknown') {
    routed.sentTo.add(member.id);
    if (route.repetition !== 'idempotent') return false;
    if (routed.sentTo.size >= route.maxAttempts) return false;
    if (context.isKeyed(service)) routed.sentTo.clear();
    return context.retryAllowed(service, canCallerRetry);
  }
  if (failure.reason === 'bad-key' || failure.reason === 'bad-request') {
    return false;
  }
  const isKnown = context.isKeyed(service) && isNotHolder(attempt);
  if (!isKnown) routed.refusedBy.add(member.node);
  const {retryAfterMs} = failure;
  if (retryAfterMs !== undefined) {
    routed.retryAfterMs = Math.min(
      routed.retryAfterMs ?? Infinity,
      retryAfterMs,
    );
  }
  if (routed.forwardCount >= MAX_FORWARDS) return false;
  if (free === false) {
    routed.sentTo.add(member.id);
    if (routed.sentTo.size >= route.maxAttempts) return false;
    if (!context.retryAllowed(service, canCallerRetry)) return false;
  }
  if (CAPACITY_REASONS.has(failure.reason)) {
    return !context.isKeyed(service) && hasFreeInstance(context, routed);
  }
  return true;
}

/**
 * Reasons after which a request is only retried at an instance with free
 * capacity; for a key there is no other instance.
 */
const CAPACITY_REASONS: ReadonlySet<FailureReason> = new Set([
  'overloaded',
  'deadline',
  'no-owner',
]);

/**
 * Tells whether an instance that has not refused the request appears to have
 * free capacity.
 */
function hasFreeInstance(
  context: IngressContext,
  routed: RoutedRequest,
): boolean {
  const now = context.clock();
  return openMembers(context, routed.service, now).some(member => {
    if (routed.refusedBy.has(member.node)) return false;
    const load = context.loads(member.node);
    if (limitDelayMs(load, now) > 0) return false;
    const {reportedBusy, inFlight, slots} = load;
    return Math.max(reportedBusy, inFlight) < Math.max(slots, member.slots);
  });
}

async function runAttempt(
  context: IngressContext,
  routed: RoutedRequest,
  member: Member,
): Promise<Attempt> {
  context.observeLoad(member.node, {kind: 'sent'});
  const work = workOf(context, routed, member);
  const sentAt = context.clock();
  const observe = (head: ResponseHead) => {
    context.answerLengths.observe(work.route, head.contentLength);
    const answer = {
      statement: context.dialect.statement(head),
      sentAt,
      ran: true,
    };
    context.instanceNotices.record(
      incarnationOf(member),
      answer,
      context.clock(),
    );
  };
  const attempt =
    member.node === context.node
      ? await runLocally(context, routed.flow, work, observe)
      : await forwardTo(context, routed.flow, member.node, work, observe);
  const hasFailedThere =
    attempt.kind === 'broken' ||
    (attempt.kind === 'failed' && isFault(attempt.failure)) ||
    (attempt.kind === 'answered' && attempt.status >= FIRST_ERROR_STATUS);
  const wasStopped = routed.flow.state.stopReason !== undefined;
  const failed = hasFailedThere && !wasStopped;
  context.observeLoad(member.node, {kind: 'ended', failed});
  return attempt;
}

async function forwardTo(
  context: IngressContext,
  flow: Flow,
  node: string,
  work: Work,
  onHead: (head: ResponseHead) => void,
): Promise<Attempt> {
  if (needsOffer(work)) {
    const refusal = await offer(context, flow, node, work);
    if (refusal) return refusal;
  }
  return forward(context, flow, node, work, onHead);
}

/**
 * Tells whether the instance or the connection to it failed, rather than
 * refused the request for its load.
 */
function isFault({outcome, reason}: Failure): boolean {
  return outcome === 'unknown' || reason === 'upstream-refused';
}

function workOf(
  context: IngressContext,
  routed: RoutedRequest,
  member: Member,
): Work {
  const {route, caller, firstAt, deadlineAt, method, target, body} = routed;
  return {
    id: caller.id,
    service: routed.service,
    instance: member.id,
    route: route.name,
    repetition: route.repetition,
    priority: route.priority,
    objectiveAt: firstAt + route.objectiveMs,
    deadlineAt,
    key: caller.key,
    callerService: context.callerService(),
    knownLimit: context.instanceNotices.rateLimit(incarnationOf(member)),
    method,
    target,
    headers: caller.headers,
    body,
  };
}
