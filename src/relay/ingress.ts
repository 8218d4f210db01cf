import {meanMs} from '../admission/index.js';
import {
  finalFailure,
  createStop,
  untilStoppedOrTimeout,
  type Attempt,
  type AttemptFailure,
  type RequestState,
} from '../gateway/index.js';
import {incarnationOf, type Member} from '../fleet/index.js';
import {
  notRun,
  unknownOutcome,
  type Failure,
  type FailureReason,
} from '../model/index.js';
import type {
  ReceivedRequest,
  ResponseHead,
  ResponseWriter,
} from '../upstream/index.js';
import {readBody} from './body.js';
import {findRoute} from './configuration.js';
import {RELAY_EVENTS} from './events.js';
import {forward} from './forward.js';
import {needsOffer, offer} from './offer.js';
import {quarantinedFailure, runLocally} from './local.js';
import {FIRST_ERROR_STATUS, finish, report, sendFailure} from './report.js';
import {
  NO_HOLDER_RETRY_MS,
  contentOfRouted,
  type IngressContext,
  type RoutedRequest,
} from './routed.js';
import {
  CALLER_RETRY_MS,
  findTarget,
  hasAlternative,
  hasFreeInstance,
  refusableRequest,
} from './target.js';
import {
  INGRESS_GRACE_MS,
  holderWaitUntil,
  admitRequest,
  stopAtDeadline,
  type Timings,
  type Work,
} from './work.js';

/** Longest wait for an instance if none is known, in milliseconds. */
const MAX_HOLDER_WAIT_MS = 400;

/** Largest number of attempts to forward one request. */
const MAX_FORWARDS = 6;

/** Assumed timeout of a caller that states none, in milliseconds. */
const DEFAULT_DEADLINE_MS = 30_000;

/**
 * Rank of the requests of callers at admission. Forwarded requests, of rank 0,
 * have already used time at another daemon and are started first.
 */
const CALLER_RANK = 1;

/** Writes the response to a caller. */
export interface CallerResponse extends ResponseWriter {
  /** Asks the caller for the body of its request. */
  writeContinue(): void;
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
  request: ReceivedRequest,
  response: CallerResponse,
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

async function serve(
  context: IngressContext,
  routed: RoutedRequest,
): Promise<Attempt> {
  const {flow, deadlineAt} = routed;
  const {state} = flow;
  const now = context.clock();
  const refusal = await admitRequest(
    context,
    flow,
    CALLER_RANK,
    now,
    deadlineAt,
  );
  if (refusal) return concludeFailure(routed, refusal);
  for (;;) {
    if (state.stopReason) return concludeFailure(routed, state.stopReason);
    const verdict = context.quarantine.verdict(contentOfRouted(routed));
    if (verdict.kind === 'refuse') {
      const failure = quarantinedFailure(verdict.retryAfterMs);
      return concludeFailure(routed, failure);
    }
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
  routed: RoutedRequest,
  {node}: Member,
  {retryAfterMs = 0}: Failure,
): void {
  // An attempt at the local instance needs no other daemon.
  if (node === context.node) return;
  const request = refusableRequest(routed, node);
  context.overloadRefusals.record(request, retryAfterMs, context.clock());
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
    const ends = context.quarantine.endCount(contentOfRouted(routed));
    if (ends >= MAX_REPEATED_ENDS) return false;
    if (context.isKeyed(service)) routed.sentTo.clear();
    // Refusals from before the failed attempt may be outdated.
    routed.refusedBy.clear();
    return context.retryAllowed(service, canCallerRetry);
  }
  if (FINAL_REASONS.has(failure.reason)) {
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

/** Ended instances from which a request is left to its caller to repeat. */
const MAX_REPEATED_ENDS = 2;

/** Reasons that are the same at each instance. */
const FINAL_REASONS: ReadonlySet<FailureReason> = new Set([
  'bad-key',
  'bad-request',
  'quarantined',
]);

/**
 * Reasons after which a request is only retried at an instance with free
 * capacity; for a key there is no other instance.
 */
const CAPACITY_REASONS: ReadonlySet<FailureReason> = new Set([
  'overloaded',
  'deadline',
  'no-owner',
]);

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
      ? await runHere(context, routed, work, observe)
      : await forwardTo(context, routed, member, work, observe);
  const hasFailedThere =
    attempt.kind === 'broken' ||
    (attempt.kind === 'failed' && isFault(attempt.failure)) ||
    (attempt.kind === 'answered' && attempt.status >= FIRST_ERROR_STATUS);
  const wasStopped = routed.flow.state.stopReason !== undefined;
  const failed = hasFailedThere && !wasStopped;
  context.observeLoad(member.node, {kind: 'ended', failed});
  return attempt;
}

async function runHere(
  context: IngressContext,
  {flow}: RoutedRequest,
  work: Work,
  onHead: (head: ResponseHead) => void,
): Promise<Attempt> {
  const attempt = await runLocally(context, flow, work, onHead);
  const {estimates} = context.slots().state();
  const routeMs = meanMs(estimates, work.route, context.clock());
  context.durations.observe(context.node, work.route, routeMs);
  return attempt;
}

async function forwardTo(
  context: IngressContext,
  routed: RoutedRequest,
  member: Member,
  work: Work,
  onHead: (head: ResponseHead) => void,
): Promise<Attempt> {
  const {flow} = routed;
  const {node} = member;
  if (needsOffer(work)) {
    const refusal = await offer(context, flow, node, work);
    if (refusal) return refusal;
  }
  const canMove = (isSent: boolean) =>
    hasAlternative(context, routed, member, isSent);
  return forward(context, flow, node, work, canMove, onHead);
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
    host: caller.host,
    target,
    headers: caller.headers,
    body,
  };
}
