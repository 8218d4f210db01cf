import {type Outcome, notRun} from '../model/index.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Failure} from '../model/index.js';
import type {Context} from './context.js';
import {GATEWAY_EVENTS} from './events.js';
import {REASON_HEADER, sendFailure} from './failure.js';
import {EPOCH_HEADER, REQUEST_HEADER} from './local.js';
import type {ActiveRequest} from './active-request.js';
import {dispatch, type RequestResult} from './dispatch.js';

const CANCELLED = notRun('cancelled', 'caller closed the connection');

/**
 * Runs a request until its answer is sent or its connection is closed.
 *
 * @example
 * await runRequest(context, active);
 */
export async function runRequest(
  context: Context,
  active: ActiveRequest,
): Promise<void> {
  const {request, response} = active;
  const startedAt = context.clock();
  const timeMs = Math.max(1, active.deadlineAt - startedAt);
  const timer = setTimeout(stopForDeadline, timeMs, active);
  response.on('close', () => {
    if (!response.writableFinished) active.stop(CANCELLED);
    if (!request.complete) request.destroy();
  });
  try {
    const result = await dispatch(context, active);
    completeResponse(context, active, result);
    reportResult(context, active, result, context.clock() - startedAt);
  } catch (error) {
    context.log(GATEWAY_EVENTS.fault, {
      request: active.id,
      error: String(error),
    });
    response.destroy();
  } finally {
    clearTimeout(timer);
  }
}

function reportResult(
  context: Context,
  active: ActiveRequest,
  result: RequestResult,
  timeMs: number,
): void {
  const sender = active.hop ? 'peer' : 'caller';
  context.onFinished?.(active.service.name, outcomeOf(result), sender, timeMs);
}

function outcomeOf(result: RequestResult): 'answered' | Outcome {
  if (result.kind === 'answered') return 'answered';
  return result.kind === 'broken' ? 'unknown' : result.failure.outcome;
}

function stopForDeadline(active: ActiveRequest): void {
  active.stop(notRun('deadline', 'request deadline exceeded'));
}

function completeResponse(
  context: Context,
  active: ActiveRequest,
  result: RequestResult,
): void {
  const {request, response, id, span} = active;
  switch (result.kind) {
    case 'answered':
      span.end({status: result.status});
      return;
    case 'broken':
      span.end({reason: 'broken'});
      context.log(GATEWAY_EVENTS.broken, {
        request: id,
        error: result.error.message,
      });
      resetConnection(response);
      return;
    case 'failed': {
      const {failure} = result;
      span.end({reason: failure.reason});
      if (failure.reason === 'cancelled') {
        const {outcome} = failure;
        context.log(GATEWAY_EVENTS.cancelled, {request: id, outcome});
        response.destroy();
      } else {
        const epoch = knownEpoch(context, active);
        refuse(context, request, response, {id, failure, epoch}, !!active.hop);
      }
    }
  }
}

/**
 * Resets a connection, so that the caller does not accept a truncated answer as
 * complete.
 */
function resetConnection(response: ServerResponse): void {
  const {socket} = response;
  if (socket) socket.resetAndDestroy();
  else response.destroy();
}

/**
 * Returns the epoch of the slice known to this daemon, for a forwarded request.
 */
function knownEpoch(
  context: Context,
  active: ActiveRequest,
): number | undefined {
  if (!active.hop || active.slice < 0) return undefined;
  const route = context.ownership.route(active.service.name, active.slice);
  return 'epoch' in route ? route.epoch : undefined;
}

/** A failure and the identifier of its request. */
export interface Refusal {
  readonly id: string;
  readonly failure: Failure;
  /** Epoch of the slice, for the daemon that forwarded the request. */
  readonly epoch?: number;
}

/**
 * Answers a request with a failure. Closes the connection afterwards if the
 * request body has not fully arrived.
 *
 * @example
 * refuse(context, request, response, {id, failure}, false);
 */
export function refuse(
  context: Context,
  request: IncomingMessage,
  response: ServerResponse,
  refusal: Refusal,
  isForwarded: boolean,
): void {
  const {id, failure} = refusal;
  const {reason, outcome, message} = failure;
  context.log(GATEWAY_EVENTS.failed, {request: id, outcome, reason, message});
  if (hasUnreadBody(request)) response.shouldKeepAlive = false;
  sendFailure(response, failure, id, hopHeaders(refusal, isForwarded));
}

/**
 * Returns whether a part of the request body has not arrived. Node.js sets
 * `complete` only after the handler was called, even for a request without a
 * body, so the headers are checked as well.
 */
function hasUnreadBody(request: IncomingMessage): boolean {
  if (request.complete) return false;
  const {headers} = request;
  const length = headers['content-length'];
  return 'transfer-encoding' in headers || (!!length && length !== '0');
}

/** Returns the headers by which the forwarding daemon recognizes a failure. */
function hopHeaders(refusal: Refusal, isForwarded: boolean): readonly string[] {
  if (!isForwarded) return [];
  const {id, failure, epoch} = refusal;
  const headers = [REQUEST_HEADER, id, REASON_HEADER, failure.reason];
  if (epoch !== undefined) headers.push(EPOCH_HEADER, String(epoch));
  return headers;
}
