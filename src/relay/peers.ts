import type {IncomingMessage, ServerResponse} from 'node:http';
import {stopper, type PassState} from '../gateway/index.js';
import {notRun, type Failure} from '../model/index.js';
import {breakOff} from '../upstream/index.js';
import {lengthOf, readBody} from './body.js';
import type {Dialect} from './dialect.js';
import {RELAY_EVENTS} from './events.js';
import {
  HOP_HEADER,
  LOAD_HEADER,
  failureHeaders,
  formatLoad,
  parseHop,
  type ReportedLoad,
} from './hop.js';
import {runLocally, type OwnerContext} from './owner.js';
import {stopWhenOver, type Course, type Flow, type Work} from './work.js';

/** How forwarded requests are handled. */
export interface PeersContext extends OwnerContext {
  readonly dialect: Dialect;
  readonly load: () => ReportedLoad;
  /** Longest body that is accepted, in bytes. */
  readonly bodyBytes: () => number;
}

/**
 * Handles a request that another daemon forwarded: runs it at the instance
 * beside, or answers with the reason why not.
 *
 * @example
 * server.on('request', (request, response) =>
 *   handleHop(context, request, response));
 */
export async function handleHop(
  context: PeersContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const startedAt = context.clock();
  const hop = parseHop(request.headers[HOP_HEADER]);
  if (!hop) {
    context.log(RELAY_EVENTS.hopRefused, {peer: request.socket.remoteAddress});
    answer(context, response, notRun('bad-request', 'no hop header'), false);
    return;
  }
  const state: PassState = {mayHaveRun: false, consumed: false};
  const stop = stopper(state);
  const caller = context.dialect.readRequest(request.rawHeaders);
  const settled = stopWhenOver(response, stop, hop.leftMs);
  const body = await readBody(request, caller, context.bodyBytes());
  const bodyMode = body.kind === 'streamed' ? 'streamed' : 'none';
  const course: Course = {bodyMs: Math.round(context.clock() - startedAt)};
  const flow: Flow = {request, response, state, bodyMode, stop, course};
  if (body.kind === 'broken' || body.kind === 'too-large') {
    settled();
    answer(context, response, notRun('bad-request', body.kind), false);
    return;
  }
  const {leftMs, objectiveLeftMs, ...task} = hop;
  const work: Work = {
    ...task,
    deadlineAt: startedAt + leftMs,
    objectiveAt: startedAt + objectiveLeftMs,
    method: request.method ?? 'GET',
    target: request.url ?? '/',
    headers: caller.headers,
    body,
  };
  const attempt = await runLocally(context, flow, work, head => {
    head.headers.push(LOAD_HEADER, formatLoad(context.load()));
  });
  settled();
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
    breakOff(response);
  } else {
    const {failure, free} = attempt;
    const {outcome, reason, message} = failure;
    const known =
      state.stopped && outcome === 'not-run' ? state.stopped : failure;
    context.log(RELAY_EVENTS.ran, {
      request: id,
      outcome,
      reason,
      message,
      ...spent,
      upstream: instance,
    });
    answer(context, response, known, free === false);
  }
}

function answer(
  context: PeersContext,
  response: ServerResponse,
  failure: Failure,
  offered: boolean,
): void {
  if (response.destroyed || response.headersSent) return;
  const headers = failureHeaders(failure, offered);
  headers.push(LOAD_HEADER, formatLoad(context.load()));
  headers.push('Content-Length', '0');
  response.writeHead(failure.status, headers);
  response.end();
}
