import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  sliceOfKey,
  type Configuration,
  type Failure,
  type Service,
  notRun,
  unknownOutcome,
} from '../model/index.js';
import {
  findKey,
  findService,
  hasDotSegment,
  originForm,
  pathOf,
} from '../routing/index.js';
import {bodyMode} from './body.js';
import type {Context} from './context.js';
import {GATEWAY_EVENTS} from './events.js';
import {readRequestHead, type RequestHead} from './head.js';
import {verifyHop, type Hop} from './hop.js';
import {
  createStop,
  type ActiveRequest,
  type RequestState,
} from './active-request.js';

/** A request that is refused before anything is tried. */
export interface RefusedRequest {
  readonly kind: 'refused';
  readonly id: string;
  readonly failure: Failure;
}

/** The pass of a request, or why it has none. */
export type Validation =
  {readonly kind: 'pass'; readonly active: ActiveRequest} | RefusedRequest;

/**
 * Checks a request and opens its pass.
 *
 * @param isForwarded Another daemon sent the request.
 *
 * @example
 * const opened = openPass(context, request, response, false);
 */
export function validateRequest(
  context: Context,
  request: IncomingMessage,
  response: ServerResponse,
  isForwarded: boolean,
): Validation {
  const head = readRequestHead(request.rawHeaders);
  const {hop, failure} = checkHop(context, request, head, isForwarded);
  const id = hop?.request ?? newRequestId(context);
  const target = failure ?? findTarget(context, request, head);
  if ('outcome' in target) return {kind: 'refused', id, failure: target};
  const active = createActiveRequest(
    context,
    request,
    response,
    head,
    target,
    id,
    hop,
  );
  return {kind: 'pass', active: active};
}

function newRequestId(context: Context): string {
  return `${context.self.process}-${context.nextNumber()}`;
}

interface HopCheck {
  readonly hop?: Hop;
  readonly failure?: Failure;
}

function checkHop(
  context: Context,
  request: IncomingMessage,
  head: RequestHead,
  isForwarded: boolean,
): HopCheck {
  if (!isForwarded) return {};
  const {signer, self} = context;
  const result = verifyHop(signer, self.process, head, {
    method: request.method ?? 'GET',
    target: request.url ?? '',
    traceparent: head.traceparent ?? '',
  });
  if (result.kind === 'accepted') {
    const {hop} = result;
    if (context.receivedHops.accept(hop)) return {hop};
    const {request} = hop;
    const message = 'the request was received before';
    context.log(GATEWAY_EVENTS.hopRefused, {request, message});
    return {hop, failure: unknownOutcome('not-owner', message)};
  }
  const {hop, message} = result;
  context.log(GATEWAY_EVENTS.hopRefused, {request: hop?.request, message});
  return {hop, failure: notRun('not-owner', message)};
}

/** Where a request belongs. */
interface RequestTarget {
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
): RequestTarget | Failure {
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
  if (!target || !path || !isPlainAscii(target) || hasDotSegment(path)) {
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

/** Tells whether a target holds only characters that need no encoding. */
function isPlainAscii(target: string): boolean {
  return !/[^\x21-\x7e]|#/.test(target);
}

function createActiveRequest(
  context: Context,
  request: IncomingMessage,
  response: ServerResponse,
  head: RequestHead,
  requestTarget: RequestTarget,
  id: string,
  hop: Hop | undefined,
): ActiveRequest {
  const {service, target, path, key, slice} = requestTarget;
  const {configuration} = requestTarget;
  const {limits} = configuration;
  const state: RequestState = {mayHaveRun: false, isBodyConsumed: false};
  const stop = createStop(state);
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
      onIdle: () => stop(bodyTimeout()),
      onTooLarge: () => stop(bodyTooLarge()),
    },
    stop,
    state,
  };
}

function bodyTimeout(): Failure {
  const failure = notRun('bad-request', 'the body arrives too slowly');
  return {...failure, status: 408};
}

function bodyTooLarge(): Failure {
  return notRun('too-large', 'body is longer than the limit');
}
