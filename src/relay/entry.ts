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
import {breakOff, type AnswerHead} from '../upstream/index.js';
import {lengthOf, readBody, type RequestBody} from './body.js';
import {chooseInstance, untilAllowedMs} from './choose.js';
import {
  findRoute,
  type Route,
  type RoutedConfiguration,
  type RouteTable,
} from './configuration.js';
import type {CallerRequest} from './dialect.js';
import {RELAY_EVENTS} from './events.js';
import {forward, type ForwardContext} from './forward.js';
import type {Heard} from './heard.js';
import type {Holders} from './holder.js';
import type {Lengths} from './lengths.js';
import {isOffered, offer} from './offer.js';
import {runLocally, type OwnerContext} from './owner.js';
import type {Pressure} from './pressure.js';
import type {AttemptMark, Returns} from './returns.js';
import {
  ENTRY_GRACE_MS,
  holderWaitUntil,
  letIn,
  stopWhenOver,
  type Course,
  type Flow,
  type Work,
} from './work.js';

/** A configuration with what is derived from it. */
export interface ActiveConfiguration extends RoutedConfiguration {
  readonly table: RouteTable;
}

/** How requests of callers are handled. */
export interface EntryContext extends OwnerContext, ForwardContext {
  readonly node: string;
  readonly domain: string;
  /** Service of the instance beside which requests begin. */
  readonly callerService: () => string;
  readonly configuration: () => ActiveConfiguration | undefined;
  readonly view: () => FleetView;
  readonly viewChanged: () => Promise<unknown>;
  readonly service: (route: Route) => string;
  readonly returns: Returns;
  readonly heard: Heard;
  readonly holders: Holders;
  readonly lengths: Lengths;
  readonly pressure: Pressure;
  /**
   * Takes one retry to a service from the budget; false when none is left.
   *
   * @param canReturn The caller has time to send the request again itself.
   */
  readonly retryAllowed: (service: string, canReturn: boolean) => boolean;
  /** Counts a request to a service, whose retries draw on its budget. */
  readonly countRequest: (service: string) => void;
  readonly ended: (outcome: Ended) => void;
}

/** How a request of a caller ended. */
export interface Ended {
  readonly service: string;
  readonly route: string;
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'broken' | 'cancelled';
  readonly reason: string;
  readonly timeMs: number;
}

/** Longest wait for an instance where none is known, in milliseconds. */
const OWNER_WAIT_MS = 400;

/** Time after which an instance that refused is asked again, in milliseconds. */
const OWNER_POLL_MS = 100;

/** Shortest Retry-After where daemons have no room, in milliseconds. */
const FULL_RETRY_MS = 200;

/** Retry-After where no instance is known, in milliseconds. */
const NO_OWNER_RETRY_MS = 500;

/** Most daemons that are asked for one request. */
const ASK_LIMIT = 6;

/**
 * Time that a caller needs to send a request again itself, in milliseconds; it
 * obeys a Retry-After for a third of it.
 */
const RETURN_MS = 1000;

/** Time for which a caller waits that states no deadline, in milliseconds. */
const DEFAULT_DEADLINE_MS = 30_000;

/**
 * Rank of the requests of callers at the intake; those of other daemons, of rank
 * 0, have taken time there already and go before.
 */
const CALLER_RANK = 1;

/** Lowest status that tells of an error of the upstream. */
const FIRST_ERROR_STATUS = 500;

/** One request of a caller and what its attempts have shown. */
interface Request {
  readonly flow: Flow;
  readonly caller: CallerRequest;
  readonly route: Route;
  readonly service: string;
  readonly body: RequestBody;
  readonly startedAt: number;
  readonly deadlineAt: number;
  /** Time of the caller's first attempt. */
  readonly firstAt: number;
  readonly mark: AttemptMark;
  readonly method: string;
  readonly target: string;
  /** Daemons that refused the request. */
  readonly refused: Set<string>;
  /** Instances to which the request may have been sent. */
  readonly offered: Set<string>;
  asked: number;
  waitUntil: number;
  /** Shortest time after which a daemon that refused expects to have room. */
  retryAfterMs?: number;
}

/**
 * Handles a request of a caller: finds its route and an instance that serves it,
 * forwards it at most one hop, and answers in any case.
 *
 * @example
 * server.on('request', (request, response) =>
 *   handleCaller(context, request, response));
 */
export async function handleCaller(
  context: EntryContext,
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
    const message = 'no configuration is in force yet';
    return refuse(notRun('no-owner', message, NO_OWNER_RETRY_MS));
  }
  const path = target.split('?', 1)[0];
  const route = findRoute(configuration.table, caller.host, path);
  if (route ? route.parts.length === 0 : configuration.isPartial) {
    const message = 'the route of this request can not be read';
    const failure = notRun('no-owner', message, NO_OWNER_RETRY_MS);
    return refuse(failure, route?.name);
  }
  if (!route) {
    const message = `no route for this path in version ${configuration.version}`;
    return refuse(notRun('no-service', message));
  }
  const patienceMs = caller.deadlineMs ?? DEFAULT_DEADLINE_MS;
  const timeMs = Math.min(patienceMs, route.timeoutMs);
  const deadlineAt = startedAt + timeMs;
  const settled = stopWhenOver(response, stop, timeMs, ENTRY_GRACE_MS);
  if (caller.expectsContinue) response.writeContinue();
  const body = await readBody(request, caller, configuration.limits.bodyBytes);
  const service = context.service(route);
  if (body.kind === 'too-large' || body.kind === 'broken') {
    settled();
    const reason = body.kind === 'broken' ? 'cancelled' : 'too-large';
    return refuse(notRun(reason, `body: ${body.kind}`), route.name, service);
  }
  const bodyMode = body.kind === 'streamed' ? 'streamed' : 'none';
  const method = request.method ?? 'GET';
  const dueAt = startedAt + patienceMs;
  const course: Course = {bodyMs: Math.round(context.clock() - startedAt)};
  const mark = {method, target, key: caller.key, dueAt};
  const pass: Request = {
    flow: {request, response, state, bodyMode, stop, course},
    caller,
    route,
    service,
    body,
    startedAt,
    deadlineAt,
    firstAt: context.returns.firstAt(mark, startedAt) ?? startedAt,
    mark,
    method,
    target,
    refused: new Set(),
    offered: new Set(),
    asked: 0,
    waitUntil: holderWaitUntil(startedAt, deadlineAt, OWNER_WAIT_MS),
  };
  context.countRequest(service);
  const result = await serve(context, pass);
  settled();
  finish(context, pass, result);
}

function finish(context: EntryContext, pass: Request, result: Attempt): void {
  const {flow, route, service, caller, startedAt} = pass;
  const timeMs = Math.round(context.clock() - startedAt);
  const names = {service, route: route.name, timeMs};
  const spent = {bodyBytes: lengthOf(pass.body), asked: pass.asked};
  const isSuccess =
    result.kind === 'answered' && result.status < FIRST_ERROR_STATUS;
  if (!isSuccess) context.returns.remember(pass.mark, pass.firstAt);
  if (result.kind === 'answered') {
    const {status} = result;
    context.ended({...names, outcome: 'answered', reason: ''});
    const request = caller.id;
    context.log(RELAY_EVENTS.served, {
      request,
      status,
      ...names,
      ...flow.course,
      ...spent,
    });
    return;
  }
  if (result.kind === 'broken') {
    const {message} = result.error;
    context.ended({...names, outcome: 'broken', reason: ''});
    context.log(RELAY_EVENTS.broken, {request: caller.id, message, ...names});
    breakOff(flow.response);
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
  context: EntryContext,
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
  const names = {service, route, timeMs};
  if (reason === 'cancelled') {
    context.ended({...names, outcome: 'cancelled', reason});
    context.log(RELAY_EVENTS.cancelled, {request, ...names, ...spent});
    return;
  }
  context.ended({...names, outcome, reason});
  const result = {outcome, reason, message, status, retryAfterMs, version};
  context.log(RELAY_EVENTS.failed, {
    request,
    ...result,
    ...names,
    ...spent,
  });
}

const MS_PER_SECOND = 1000;

/** Answers a caller with a failure; a Retry-After keeps its fractions. */
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

async function serve(context: EntryContext, pass: Request): Promise<Attempt> {
  const {flow, deadlineAt} = pass;
  const {state} = flow;
  const now = context.clock();
  const refusal = await letIn(
    context.intake,
    flow,
    CALLER_RANK,
    now,
    deadlineAt,
  );
  if (refusal) return conclude(pass, refusal);
  for (;;) {
    if (state.stopReason) return conclude(pass, state.stopReason);
    const target = findTarget(context, pass);
    if (target.kind === 'refuse') return conclude(pass, target.failure);
    if (target.kind === 'wait') {
      const leftMs = target.until - context.clock();
      await untilStoppedOrTimeout(pass.flow, context.viewChanged(), leftMs);
      continue;
    }
    const {member, term} = target;
    pass.asked += 1;
    const attempt = await attemptAt(context, pass, member);
    if (attempt.kind !== 'failed') return attempt;
    const {failure} = attempt;
    if (failure.outcome === 'unknown') state.mayHaveRun = true;
    if (failure.reason === 'overloaded') {
      noteRefusal(context, pass, member, failure);
    }
    if (term && isWithoutKeys(attempt)) {
      context.holders.refused(pass.service, term, context.clock());
    }
    if (state.stopReason) return conclude(pass, state.stopReason);
    if (!mayRepeat(context, pass, member, attempt)) {
      return conclude(pass, failure);
    }
    const {reason, message} = failure;
    context.log(RELAY_EVENTS.retried, {
      request: pass.caller.id,
      service: pass.service,
      upstream: member.id,
      reason,
      message,
    });
  }
}

function noteRefusal(
  context: EntryContext,
  {route}: Request,
  {node}: Member,
  {retryAfterMs = 0}: Failure,
): void {
  // The own instance is asked at no cost.
  if (node === context.node) return;
  context.pressure.refused(node, route.name, retryAfterMs, context.clock());
}

/** Refuses a request for which every daemon that may run it has no room. */
function refuseForRoom(roomInMs: number): Target {
  const retryAfterMs = Math.max(roomInMs, FULL_RETRY_MS);
  const message = 'a daemon that was asked just before has no room';
  return {kind: 'refuse', failure: notRun('overloaded', message, retryAfterMs)};
}

/**
 * Tells whether the daemon of a holder says that nobody gets the keys there now.
 * What the instance itself refused concerns only one request.
 */
function isWithoutKeys({
  failure,
  isRetryBudgetExempt: free,
}: AttemptFailure): boolean {
  const {reason} = failure;
  return free !== false && (reason === 'not-owner' || reason === 'draining');
}

/**
 * Describes how a request ended without an answer. Where it may have run, no
 * status says that it has not; where it has not, the caller is told when to
 * come back.
 */
function conclude(pass: Request, failure: Failure): AttemptFailure {
  const {reason, message, status} = failure;
  if (pass.flow.state.mayHaveRun) {
    const known = reason === 'deadline' ? 504 : 502;
    return finalFailure({...unknownOutcome(reason, message), status: known});
  }
  if (failure.outcome === 'unknown') return finalFailure(failure);
  if (reason === 'deadline') {
    return finalFailure({...failure, status: 503, retryAfterMs: 0});
  }
  const retryAfterMs = failure.retryAfterMs ?? pass.retryAfterMs;
  const known =
    status === 503 ? (retryAfterMs ?? NO_OWNER_RETRY_MS) : undefined;
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

function findTarget(context: EntryContext, pass: Request): Target {
  const keyed = context.isKeyed(pass.service);
  const target = keyed
    ? findHolder(context, pass)
    : findInstance(context, pass);
  if (target.kind !== 'wait' || context.clock() < pass.waitUntil) return target;
  const message = 'no instance takes the request now';
  return {
    kind: 'refuse',
    failure: notRun('no-owner', message, NO_OWNER_RETRY_MS),
  };
}

function findHolder(context: EntryContext, pass: Request): Target {
  const {service, waitUntil} = pass;
  const {key} = pass.caller;
  if (key === undefined) {
    return {kind: 'refuse', failure: notRun('bad-key', 'the key is missing')};
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
  const hasLeft = context.heard.hasLeft(incarnationOf(member), now);
  if (member.state === 'left' || hasLeft) return untilChanged;
  const load = context.loads(member.node);
  if (load.shunnedUntil > now) {
    const message = 'the holder of the key is unreachable';
    const retryMs = Math.max(NO_OWNER_RETRY_MS, load.shunnedUntil - now);
    return {kind: 'refuse', failure: notRun('no-owner', message, retryMs)};
  }
  const {holders} = context;
  const verdict = holders.decide(service, map, term, key, waitUntil, now);
  if (verdict.kind === 'wait') return verdict;
  if (verdict.kind === 'refuse') {
    const message = 'the key is on its way to another instance';
    const failure = notRun('no-owner', message, verdict.retryAfterMs);
    return {kind: 'refuse', failure};
  }
  const {pressure} = context;
  const roomInMs = pressure.roomInMs(member.node, pass.route.name, now);
  if (roomInMs !== undefined) return refuseForRoom(roomInMs);
  if (pass.refused.has(member.node)) {
    pass.refused.delete(member.node);
    return {kind: 'wait', until: now + OWNER_POLL_MS};
  }
  return {kind: 'member', member, term};
}

/** Returns the members of a service that take new requests. */
function openMembers(
  {view, heard}: EntryContext,
  service: string,
  now: number,
): readonly Member[] {
  return membersOf(view(), service).filter(
    member =>
      isAcceptingRequests(member) && !heard.hasLeft(incarnationOf(member), now),
  );
}

function findInstance(context: EntryContext, pass: Request): Target {
  const now = context.clock();
  const members = openMembers(context, pass.service, now);
  const untried = members.filter(
    ({node, id}) => !pass.refused.has(node) && !pass.offered.has(id),
  );
  const open: Member[] = [];
  let soonestRoomMs = Infinity;
  for (const member of untried) {
    const {node} = member;
    const roomInMs = context.pressure.roomInMs(node, pass.route.name, now);
    if (roomInMs === undefined) open.push(member);
    else soonestRoomMs = Math.min(soonestRoomMs, roomInMs);
  }
  if (untried.length > 0 && open.length === 0) {
    return refuseForRoom(soonestRoomMs);
  }
  const choices = open.map(member => ({
    node: member.node,
    isNear: member.domain === context.domain,
    load: context.loads(member.node),
    member,
  }));
  const bytes = lengthOf(pass.body) + context.lengths.mean(pass.route.name);
  const choice = chooseInstance(choices, now, bytes);
  if (!choice) {
    pass.refused.clear();
    return {kind: 'wait', until: now + OWNER_POLL_MS};
  }
  return {kind: 'member', member: choice.member};
}

/** Decides whether a failed attempt is followed by another. */
function mayRepeat(
  context: EntryContext,
  pass: Request,
  member: Member,
  attempt: AttemptFailure,
): boolean {
  const {failure, isRetryBudgetExempt: free} = attempt;
  const {route, service} = pass;
  // An instance that was sent a request has had a part of its body.
  const consumed = pass.flow.state.isBodyConsumed || free !== true;
  if (pass.body.kind === 'streamed' && consumed) return false;
  if (context.clock() >= pass.deadlineAt) return false;
  const canReturn = pass.mark.dueAt - context.clock() >= RETURN_MS;
  if (failure.outcome === 'unknown') {
    pass.offered.add(member.id);
    if (route.repetition !== 'idempotent') return false;
    if (pass.offered.size >= route.maxAttempts) return false;
    if (context.isKeyed(service)) pass.offered.clear();
    return context.retryAllowed(service, canReturn);
  }
  if (failure.reason === 'bad-key' || failure.reason === 'bad-request') {
    return false;
  }
  const isKnown = context.isKeyed(service) && isWithoutKeys(attempt);
  if (!isKnown) pass.refused.add(member.node);
  const {retryAfterMs} = failure;
  if (retryAfterMs !== undefined) {
    pass.retryAfterMs = Math.min(pass.retryAfterMs ?? Infinity, retryAfterMs);
  }
  if (pass.asked >= ASK_LIMIT) return false;
  if (free === false) {
    pass.offered.add(member.id);
    if (pass.offered.size >= route.maxAttempts) return false;
    if (!context.retryAllowed(service, canReturn)) return false;
  }
  if (NEEDS_ROOM.has(failure.reason)) {
    return !context.isKeyed(service) && hasRoom(context, pass);
  }
  return true;
}

/**
 * Reasons after which a request goes on only to an instance that seems to have
 * room; for a key there is no other instance.
 */
const NEEDS_ROOM: ReadonlySet<FailureReason> = new Set([
  'overloaded',
  'deadline',
  'no-owner',
]);

/** Tells whether an instance that was not asked yet seems to have room. */
function hasRoom(context: EntryContext, pass: Request): boolean {
  const now = context.clock();
  return openMembers(context, pass.service, now).some(member => {
    if (pass.refused.has(member.node)) return false;
    const load = context.loads(member.node);
    if (untilAllowedMs(load, now) > 0) return false;
    const {reported, inFlight, slots} = load;
    return Math.max(reported, inFlight) < Math.max(slots, member.slots);
  });
}

async function attemptAt(
  context: EntryContext,
  pass: Request,
  member: Member,
): Promise<Attempt> {
  context.observeLoad(member.node, {kind: 'sent'});
  const work = workOf(context, pass, member);
  const sentAt = context.clock();
  const observe = (head: AnswerHead) => {
    context.lengths.observe(work.route, head.contentLength);
    const answer = {
      statement: context.dialect.statement(head),
      sentAt,
      ran: true,
    };
    context.heard.hear(incarnationOf(member), answer, context.clock());
  };
  const attempt =
    member.node === context.node
      ? await runLocally(context, pass.flow, work, observe)
      : await sendTo(context, pass.flow, member.node, work, observe);
  const failedThere =
    attempt.kind === 'broken' ||
    (attempt.kind === 'failed' && isFault(attempt.failure)) ||
    (attempt.kind === 'answered' && attempt.status >= FIRST_ERROR_STATUS);
  const gaveUp = pass.flow.state.stopReason !== undefined;
  const failed = failedThere && !gaveUp;
  context.observeLoad(member.node, {kind: 'ended', failed});
  return attempt;
}

async function sendTo(
  context: EntryContext,
  flow: Flow,
  node: string,
  work: Work,
  extend: (head: AnswerHead) => void,
): Promise<Attempt> {
  if (isOffered(work)) {
    const refusal = await offer(context, flow, node, work);
    if (refusal) return refusal;
  }
  return forward(context, flow, node, work, extend);
}

/** The instance or the way to it is at fault, not its load. */
function isFault({outcome, reason}: Failure): boolean {
  return outcome === 'unknown' || reason === 'upstream-refused';
}

function workOf(context: EntryContext, pass: Request, member: Member): Work {
  const {route, caller, firstAt, deadlineAt, method, target, body} = pass;
  return {
    id: caller.id,
    service: pass.service,
    instance: member.id,
    route: route.name,
    repetition: route.repetition,
    priority: route.priority,
    objectiveAt: firstAt + route.objectiveMs,
    deadlineAt,
    key: caller.key,
    callerService: context.callerService(),
    knownLimit: context.heard.limit(incarnationOf(member)),
    method,
    target,
    headers: caller.headers,
    body,
  };
}
