import {type Outcome, notRun} from '../model/index.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Failure} from '../model/index.js';
import type {Context} from './context.js';
import {GATEWAY_EVENTS} from './events.js';
import {REASON_HEADER, sendFailure} from './failure.js';
import {EPOCH_HEADER, REQUEST_HEADER} from './local.js';
import type {ActiveRequest} from './active-request.js';
import {dispatch, type RequestResult} from './dispatch.js';

const CANCELLED = notRun('cancelled', 'the caller closed the connection');

/**
 * Runs a pass to its end: the caller has its answer, or its connection is closed.
 *
 * @example
 * await runPass(context, pass);
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
  active.stop(notRun('deadline', 'the deadline has passed'));
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

/** Closes a connection so that a part of an answer is not taken for a whole. */
function resetConnection(response: ServerResponse): void {
  const {socket} = response;
  if (socket) socket.resetAndDestroy();
  else response.destroy();
}

/** Returns the epoch that this daemon knows for the slice of a pass. */
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
 * Answers a request with a failure. The connection is closed after it if a part
 * of the request's body is still to come.
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
 * Tells whether a part of a request's body is still to come. A request is marked
 * as complete only after its handler was called, also one without a body.
 */
function hasUnreadBody(request: IncomingMessage): boolean {
  if (request.complete) return false;
  const {headers} = request;
  const length = headers['content-length'];
  return 'transfer-encoding' in headers || (!!length && length !== '0');
}

/** Headers by which the forwarding daemon recognises a failure. */
function hopHeaders(refusal: Refusal, isForwarded: boolean): readonly string[] {
  if (!isForwarded) return [];
  const {id, failure, epoch} = refusal;
  const headers = [REQUEST_HEADER, id, REASON_HEADER, failure.reason];
  if (epoch !== undefined) headers.push(EPOCH_HEADER, String(epoch));
  return headers;
}
