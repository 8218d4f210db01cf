import {meanMs} from '../admission/index.js';
import {signalOf, createStop, type RequestState} from '../gateway/index.js';
import {notRun, type Failure} from '../model/index.js';
import {
  abortResponse,
  type ReceivedRequest,
  type ResponseWriter,
} from '../upstream/index.js';
import {lengthOf, readBody, type RequestBody} from './body.js';
import type {CallerRequest, Dialect} from './dialect.js';
import {RELAY_EVENTS} from './events.js';
import {
  HOP_HEADER,
  KNOWN_LIMIT_HEADER,
  LOAD_HEADER,
  OFFER_HEADER,
  failureHeaders,
  formatLoad,
  parseHop,
  type Hop,
  type ReportedLoad,
} from './hop.js';
import {
  checkInstance,
  runLocally,
  claimOf,
  type LocalContext,
} from './local.js';
import type {Denied} from './slots.js';
import {SENT_AT_HEADER, transitMsOf} from './transit.js';
import type {Transfers} from './transfers.js';
import {
  admitRequest,
  stopAtDeadline,
  type Timings,
  type Flow,
  type Work,
} from './work.js';

/** Dependencies for handling requests that other daemons forward. */
export interface ForwardedContext extends LocalContext {
  readonly dialect: Dialect;
  readonly load: () => ReportedLoad;
  /** Transfers of long bodies to the local instance. */
  readonly transfers: Transfers;
  /**
   * Called with the rate limit, in requests a second, that an instance stated
   * to another daemon.
   */
  readonly rateLimitReported: (instance: string, perSecond: number) => void;
  /** Returns the length of the longest accepted body, in bytes. */
  readonly bodyBytes: () => number;
}

/**
 * Handles a request that another daemon forwarded: runs it at the local
 * instance, or answers with the reason for the refusal.
 *
 * @example
 * server.on('request', (request, response) =>
 *   handleForwarded(context, request, response));
 */
export async function handleForwarded(
  context: ForwardedContext,
  request: ReceivedRequest,
  response: ResponseWriter,
): Promise<void> {
  const startedAt = context.clock();
  const described = parseHop(request.headers[HOP_HEADER]);
  if (!described) {
    context.log(RELAY_EVENTS.hopRefused, {peer: request.socket.remoteAddress});
    answer(
      context,
      response,
      notRun(
        'bad-request',
        'forwarded request has no valid vanillaspool-hop header',
      ),
      false,
      '',
      startedAt,
    );
    return;
  }
  const transitMs = transitMsOf(request.headers[SENT_AT_HEADER], startedAt);
  const hop = afterTransit(described, transitMs);
  const knownLimit = request.headers[KNOWN_LIMIT_HEADER];
  if (knownLimit !== undefined) {
    context.rateLimitReported(hop.instance, Number(knownLimit));
  }
  const state: RequestState = {mayHaveRun: false, isBodyConsumed: false};
  const stop = createStop(state);
  if (request.headers[OFFER_HEADER] !== undefined) {
    const course = {bodyMs: 0};
    const bodyMode = 'none';
    const flow: Flow = {request, response, state, bodyMode, stop, course};
    await handleOffer(context, flow, hop, startedAt);
    return;
  }
  context.transfers.start(hop.id);
  const caller = context.dialect.readRequest(request.rawHeaders);
  const cancelDeadline = stopAtDeadline(response, stop, hop.leftMs);
  const body = await readBody(request, caller, context.bodyBytes());
  const bodyMode = body.kind === 'streamed' ? 'streamed' : 'none';
  const course: Timings = {
    bodyMs: Math.round(context.clock() - startedAt),
    transitMs: Math.round(transitMs),
  };
  const flow: Flow = {request, response, state, bodyMode, stop, course};
  if (body.kind === 'broken' || body.kind === 'too-large') {
    cancelDeadline();
    context.transfers.finish(hop.id, body.kind !== 'broken');
    answer(
      context,
      response,
      notRun('bad-request', body.kind),
      false,
      hop.route,
      startedAt,
    );
    return;
  }
  const work = workOf(request, hop, startedAt, caller, body);
  const {deadlineAt} = work;
  const refusal = await admitRequest(context, flow, 0, startedAt, deadlineAt);
  // Until here the request counts as a body in transfer; from here it waits for
  // a slot.
  context.transfers.finish(hop.id, true);
  if (refusal) {
    cancelDeadline();
    const {outcome, reason, message} = refusal;
    const fields = {request: hop.id, upstream: hop.instance, ...course};
    context.log(RELAY_EVENTS.ran, {...fields, outcome, reason, message});
    answer(context, response, refusal, false, hop.route, startedAt);
    return;
  }
  const attempt = await runLocally(context, flow, work, head => {
    head.headers.push(LOAD_HEADER, loadAt(context, hop.route, startedAt));
  });
  cancelDeadline();
  const timeMs = Math.round(context.clock() - startedAt);
  const {id, instance} = hop;
  const spent = {timeMs, ...course, bodyBytes: lengthOf(body)};
  if (attempt.kind === 'answered') {
    const {status} = attempt;
    context.log(RELAY_EVENTS.ran, {
      request: id,
      status,
      ...spent,
      upstream: instance,
    });
  } else if (attempt.kind === 'broken') {
    context.log(RELAY_EVENTS.broken, {
      request: id,
      message: attempt.error.message,
    });
    abortResponse(response);
  } else {
    const {failure, isRetryBudgetExempt: free} = attempt;
    const {outcome, reason, message} = failure;
    const reported =
      state.stopReason && outcome === 'not-run' ? state.stopReason : failure;
    context.log(RELAY_EVENTS.ran, {
      request: id,
      outcome,
      reason,
      message,
      ...spent,
      upstream: instance,
    });
    answer(context, response, reported, free === false, hop.route, startedAt);
  }
}

/** Takes the time that a request was on its way off the time that it has. */
function afterTransit(hop: Hop, transitMs: number): Hop {
  if (transitMs === 0) return hop;
  const leftMs = hop.leftMs - transitMs;
  return {...hop, leftMs, objectiveLeftMs: hop.objectiveLeftMs - transitMs};
}

function workOf(
  {method = 'GET', url = '/'}: Pick<ReceivedRequest, 'method' | 'url'>,
  hop: Hop,
  startedAt: number,
  {host, headers}: Pick<CallerRequest, 'host' | 'headers'>,
  body: RequestBody,
): Work {
  return {
    id: hop.id,
    service: hop.service,
    instance: hop.instance,
    route: hop.route,
    repetition: hop.repetition,
    priority: hop.priority,
    key: hop.key,
    callerService: hop.callerService,
    deadlineAt: startedAt + hop.leftMs,
    objectiveAt: startedAt + hop.objectiveLeftMs,
    method,
    host,
    target: url,
    headers,
    body,
  };
}

/**
 * Answers an offer of a long body: refuses immediately, or accepts when a
 * transfer slot is free.
 */
async function handleOffer(
  context: ForwardedContext,
  flow: Flow,
  hop: Hop,
  startedAt: number,
): Promise<void> {
  const {request, response, stop} = flow;
  const cancelDeadline = stopAtDeadline(response, stop, hop.leftMs);
  const unread = {host: '', headers: []};
  const work = workOf(request, hop, startedAt, unread, {kind: 'none'});
  const ahead = () => context.transfers.state().running.length;
  const refusal =
    refuseOffer(context, work, ahead()) ??
    (await awaitTransfer(context, flow, work)) ??
    refuseOffer(context, work, ahead() - 1);
  cancelDeadline();
  if (!refusal) {
    const headers = [LOAD_HEADER, loadAt(context, hop.route, startedAt)];
    response.writeHead(ACCEPTED_STATUS, headers);
    response.end();
    return;
  }
  context.transfers.finish(hop.id, false);
  const {outcome, reason, message} = refusal;
  const {id, instance} = hop;
  const timeMs = Math.round(context.clock() - startedAt);
  const fields = {request: id, outcome, reason, message, timeMs};
  context.log(RELAY_EVENTS.offerRefused, {...fields, upstream: instance});
  answer(context, response, refusal, false, hop.route, startedAt);
}

/** Status of the answer that accepts an offer. */
const ACCEPTED_STATUS = 204;

/** @param ahead Accepted bodies that arrive before the offered one. */
function refuseOffer(
  context: ForwardedContext,
  work: Work,
  ahead: number,
): Failure | undefined {
  const refused = checkInstance(context, work);
  if (refused) return refused.failure;
  const denied = context.slots().refusal(claimOf(work), ahead);
  return denied && failureOf(denied, 'no slot is free after the transfer');
}

async function awaitTransfer(
  context: ForwardedContext,
  flow: Flow,
  work: Work,
): Promise<Failure | undefined> {
  const claim = claimOf(work);
  // Reserves the time that the work needs after the body has arrived.
  const {meanMs} = context.load();
  const objectiveAt = claim.objectiveAt - meanMs;
  const deadlineAt = claim.deadlineAt - meanMs;
  const offered = {...claim, objectiveAt, deadlineAt, name: work.id};
  const signal = () => signalOf(flow);
  const denied = await context.transfers.acquire(offered, signal);
  return denied && failureOf(denied, 'no link capacity for the body');
}

function failureOf({reason, retryAfterMs}: Denied, message: string): Failure {
  return notRun(reason, message, retryAfterMs);
}

/**
 * Returns the load, with the time at which the request was read and the mean
 * time of its route.
 */
function loadAt(
  {load, slots, clock}: ForwardedContext,
  route: string,
  readAt: number,
): string {
  const routeMs = meanMs(slots().state().estimates, route, clock());
  return formatLoad({...load(), clockMs: readAt, routeMs});
}

function answer(
  context: ForwardedContext,
  response: ResponseWriter,
  failure: Failure,
  offered: boolean,
  route: string,
  readAt: number,
): void {
  if (response.destroyed || response.headersSent) return;
  const headers = failureHeaders(failure, offered);
  headers.push(LOAD_HEADER, loadAt(context, route, readAt));
  headers.push('Content-Length', '0');
  response.writeHead(failure.status, headers);
  response.end();
}
