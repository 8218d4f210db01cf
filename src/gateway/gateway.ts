import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
  formatAddress,
  sliceOfKey,
  type Configuration,
  type Failure,
  type Service,
} from '../model/index.js';
import {
  findKey,
  findService,
  hasDotSegment,
  originForm,
  pathOf,
} from '../routing/index.js';
import {createPools} from '../upstream/index.js';
import {bodyMode} from './body.js';
import type {Context, GatewayOptions} from './context.js';
import {GATEWAY_EVENTS} from './events.js';
import {REASON_HEADER, notRun, sendFailure, unknown} from './failure.js';
import {readRequestHead, type RequestHead} from './head.js';
import {verifyHop, type Hop} from './hop.js';
import {REQUEST_HEADER} from './local.js';
import {createObservedLoads} from './observed.js';
import {createReceivedHops} from './received.js';
import {createRepeats} from './repeats.js';
import {stopper, type Pass, type PassState} from './pass.js';
import {serve, type PassResult} from './serve.js';

/** Handles one request of an HTTP server. */
export type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** The request path of one daemon. */
export interface Gateway {
  /** Handles a request of a caller. */
  readonly callers: Handler;
  /** Handles a request that another daemon forwarded. */
  readonly peers: Handler;
  /** Tells whether the next answer on a connection may be written to it. */
  readonly isReady: (socket: Socket) => boolean;
  /** Returns the number of requests that are not answered yet. */
  readonly inFlight: () => number;
  /**
   * Returns the number of requests in flight that began under another
   * configuration object than the one in force.
   */
  readonly earlierInFlight: () => number;
  /** Makes every further answer close its connection. */
  readonly drain: () => void;
  /** Resolves when no request is in flight, and closes the connections. */
  readonly close: () => Promise<void>;
}

const CONNECT_TIMEOUT_MS = 500;
const UPSTREAM_KEEP_ALIVE_MS = 4000;
const PEER_KEEP_ALIVE_MS = 20_000;

/**
 * Creates the request path of a daemon.
 *
 * @example
 * const gateway = createGateway(options);
 * http.createServer(gateway.callers).listen(8080);
 */
export function createGateway(options: GatewayOptions): Gateway {
  const context = createContext(options);
  const state: GatewayState = {
    inFlight: new Map(),
    draining: false,
    latest: new WeakMap(),
    idle: [],
  };
  return {
    callers: (request, response) =>
      inTurn(state, request, response, () =>
        handle(context, state, request, response, false),
      ),
    peers: (request, response) =>
      handle(context, state, request, response, true),
    isReady: socket => isReady(state, socket),
    inFlight: () => countInFlight(state, () => true),
    earlierInFlight: () => {
      const current = context.configuration();
      return countInFlight(state, configuration => configuration !== current);
    },
    drain: () => {
      state.draining = true;
    },
    close: async () => {
      state.draining = true;
      if (countInFlight(state, () => true) > 0) {
        await new Promise<void>(resolve => state.idle.push(resolve));
      }
      await closePools(context);
    },
  };
}

interface GatewayState {
  /** Number of passes by the configuration under which they began. */
  readonly inFlight: Map<Configuration, number>;
  draining: boolean;
  /** The latest response of each connection. */
  readonly latest: WeakMap<Socket, ServerResponse>;
  /** Called when no request is in flight any more. */
  readonly idle: (() => void)[];
}

function countInFlight(
  state: GatewayState,
  counts: (configuration: Configuration) => boolean,
): number {
  let total = 0;
  for (const [configuration, passes] of state.inFlight) {
    if (counts(configuration)) total += passes;
  }
  return total;
}

/**
 * Handles a request once the one before it on its connection is answered, so
 * that pipelined requests take effect in order.
 */
function inTurn(
  state: GatewayState,
  request: IncomingMessage,
  response: ServerResponse,
  begin: () => void,
): void {
  const {socket} = request;
  const before = state.latest.get(socket);
  state.latest.set(socket, response);
  if (!before || isOver(before)) return begin();
  before.once('close', () => {
    if (!socket.destroyed) begin();
  });
}

/** No answer is under way, and none was the last of the connection. */
function isReady(state: GatewayState, socket: Socket): boolean {
  const latest = state.latest.get(socket);
  return !latest || (isOver(latest) && latest.shouldKeepAlive);
}

function isOver(response: ServerResponse): boolean {
  return response.writableFinished || response.destroyed;
}

function createContext(options: GatewayOptions): Context {
  let number = 0;
  const sequences = new Map<string, number>();
  const connectTimeoutMs = CONNECT_TIMEOUT_MS;
  const pools = (keepAliveMs: number) =>
    createPools({connectTimeoutMs, keepAliveMs});
  return {
    ...options,
    upstreamPools: pools(UPSTREAM_KEEP_ALIVE_MS),
    oldPools: pools(UPSTREAM_KEEP_ALIVE_MS),
    peerPools: pools(PEER_KEEP_ALIVE_MS),
    nextNumber: () => (number += 1),
    nextSequence: process => {
      const next = (sequences.get(process) ?? 0) + 1;
      sequences.set(process, next);
      return next;
    },
    received: createReceivedHops(options.wallClock),
    repeats: createRepeats(options.clock),
    ownerHint: formatAddress(options.self.callers),
    loads: createObservedLoads(options.clock, options.random),
  };
}

async function closePools(context: Context): Promise<void> {
  const {upstreamPools, oldPools, peerPools} = context;
  await Promise.all([upstreamPools, oldPools, peerPools].map(p => p.close()));
}

function handle(
  context: Context,
  state: GatewayState,
  request: IncomingMessage,
  response: ServerResponse,
  forwarded: boolean,
): void {
  if (state.draining) response.shouldKeepAlive = false;
  const pass = open(context, request, response, forwarded);
  if (pass) void run(context, state, pass);
}

function enter(state: GatewayState, pass: Pass): void {
  const {inFlight} = state;
  inFlight.set(pass.configuration, (inFlight.get(pass.configuration) ?? 0) + 1);
}

function leave(state: GatewayState, pass: Pass): void {
  const {inFlight} = state;
  const left = (inFlight.get(pass.configuration) ?? 1) - 1;
  if (left > 0) inFlight.set(pass.configuration, left);
  else inFlight.delete(pass.configuration);
  if (inFlight.size > 0) return;
  for (const notify of state.idle.splice(0)) notify();
}

/** Opens the pass of a request, or answers it when it is refused at once. */
function open(
  context: Context,
  request: IncomingMessage,
  response: ServerResponse,
  forwarded: boolean,
): Pass | undefined {
  const head = readRequestHead(request.rawHeaders);
  const accepted = checkHop(context, request, head, forwarded);
  const id = accepted.hop?.request ?? newRequestId(context);
  const found = accepted.failure ?? findTarget(context, request, head);
  if ('outcome' in found) {
    refuse(context, request, response, found, id, forwarded);
    return undefined;
  }
  const {hop} = accepted;
  return createPass(context, request, response, head, found, id, hop);
}

function newRequestId(context: Context): string {
  return `${context.self.process}-${context.nextNumber()}`;
}

interface Accepted {
  readonly hop?: Hop;
  readonly failure?: Failure;
}

function checkHop(
  context: Context,
  request: IncomingMessage,
  head: RequestHead,
  forwarded: boolean,
): Accepted {
  if (!forwarded) return {};
  const {signer, self} = context;
  const result = verifyHop(signer, self.process, head, {
    method: request.method ?? 'GET',
    target: request.url ?? '',
    traceparent: head.traceparent ?? '',
  });
  if (result.kind === 'accepted') {
    const {hop} = result;
    if (context.received.accept(hop)) return {hop};
    const {request} = hop;
    const message = 'the request was received before';
    context.log(GATEWAY_EVENTS.hopRefused, {request, message});
    return {hop, failure: unknown('not-owner', message)};
  }
  context.log(GATEWAY_EVENTS.hopRefused, {message: result.message});
  return {failure: notRun('not-owner', result.message)};
}

/** Where a request belongs. */
interface Target {
  readonly configuration: Configuration;
  readonly service: Service;
  readonly target: string;
  readonly path: string;
  readonly key?: string;
  readonly slice: number;
}

function findTarget(
  context: Context,
  request: IncomingMessage,
  head: RequestHead,
): Target | Failure {
  if (head.problem) return notRun('bad-request', head.problem);
  if (head.host === undefined && request.httpVersion !== '1.0') {
    return notRun('bad-request', 'host is missing');
  }
  const configuration = context.configuration();
  if (!configuration) {
    return notRun('no-owner', 'no configuration is in force', 1000);
  }
  const target = originForm(request.url ?? '');
  const path = target && pathOf(target);
  if (!target || !path || target.includes('#') || hasDotSegment(path)) {
    return notRun('bad-request', 'request target is not a plain path');
  }
  if ((head.contentLength ?? 0) > configuration.limits.bodyBytes) {
    return notRun('too-large', 'body is longer than the limit');
  }
  const service = findService(configuration.services, path);
  if (!service) return notRun('no-service', 'no service has this path');
  if (!service.key) return {configuration, service, target, path, slice: -1};
  const result = findKey(service.key, path, request.rawHeaders);
  if (result.kind === 'bad') return notRun('bad-key', result.message);
  const slice = sliceOfKey(result.key, service.slices);
  return {configuration, service, target, path, key: result.key, slice};
}

function refuse(
  context: Context,
  request: IncomingMessage,
  response: ServerResponse,
  failure: Failure,
  id: string,
  forwarded: boolean,
): void {
  const {reason, message} = failure;
  context.log(GATEWAY_EVENTS.failed, {request: id, reason, message});
  if (!request.complete) response.shouldKeepAlive = false;
  sendFailure(response, failure, id, hopHeaders(failure, id, forwarded));
}

/** Headers by which the forwarding daemon recognises a failure. */
function hopHeaders(
  failure: Failure,
  id: string,
  forwarded: boolean,
): readonly string[] {
  if (!forwarded) return [];
  return [REQUEST_HEADER, id, REASON_HEADER, failure.reason];
}

function createPass(
  context: Context,
  request: IncomingMessage,
  response: ServerResponse,
  head: RequestHead,
  found: Target,
  id: string,
  hop: Hop | undefined,
): Pass {
  const {service, target, path, key, slice} = found;
  const {configuration} = found;
  const {limits} = configuration;
  const state: PassState = {consumed: false};
  const stop = stopper(state);
  const timeMs = hop?.deadlineMs ?? head.deadlineMs ?? service.deadlineMs;
  const name = hop ? 'owner' : 'entry';
  return {
    configuration,
    request,
    response,
    id,
    head,
    service,
    target,
    path,
    key,
    slice,
    hop,
    caller: hop?.caller ?? request.socket.remoteAddress ?? '',
    deadlineAt: context.clock() + timeMs,
    span: context.trace.start(name, head.traceparent, {
      request: id,
      service: service.name,
    }),
    bodyMode: bodyMode(head),
    limits: {
      bodyBytes: limits.bodyBytes,
      idleMs: limits.bodyTimeoutMs,
      onIdle: () => stop(slowBody()),
      onTooLarge: () => stop(tooLarge()),
    },
    stop,
    state,
  };
}

function slowBody(): Failure {
  const failure = notRun('bad-request', 'the body arrives too slowly');
  return {...failure, status: 408};
}

function tooLarge(): Failure {
  return notRun('too-large', 'body is longer than the limit');
}

const CANCELLED = notRun('cancelled', 'the caller closed the connection');

async function run(
  context: Context,
  gateway: GatewayState,
  pass: Pass,
): Promise<void> {
  const {state, response} = pass;
  enter(gateway, pass);
  const timeMs = Math.max(1, pass.deadlineAt - context.clock());
  state.timer = setTimeout(stopForDeadline, timeMs, pass);
  response.on('close', () => {
    if (!response.writableFinished) pass.stop(CANCELLED);
  });
  try {
    finish(context, pass, await serve(context, pass));
  } catch (error) {
    context.log(GATEWAY_EVENTS.fault, {request: pass.id, error: String(error)});
    response.destroy();
  } finally {
    clearTimeout(state.timer);
    leave(gateway, pass);
  }
}

function stopForDeadline(pass: Pass): void {
  pass.stop(notRun('deadline', 'the deadline has passed'));
}

function finish(context: Context, pass: Pass, result: PassResult): void {
  const {response, request, id, span} = pass;
  switch (result.kind) {
    case 'answered':
      span.end({status: result.status});
      return;
    case 'broken':
      span.end({result: 'broken'});
      context.log(GATEWAY_EVENTS.broken, {
        request: id,
        error: result.error.message,
      });
      closeAbruptly(response);
      return;
    case 'failed':
      span.end({result: result.failure.reason});
      refuse(context, request, response, result.failure, id, !!pass.hop);
  }
}

/** Closes a connection so that a part of an answer is not taken for a whole. */
function closeAbruptly(response: ServerResponse): void {
  const {socket} = response;
  if (socket) socket.resetAndDestroy();
  else response.destroy();
}
