import {type Outcome, notRun} from '../model/index.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Failure} from '../model/index.js';
import type {Context} from './context.js';
import {GATEWAY_EVENTS} from './events.js';
import {REASON_HEADER, sendFailure} from './failure.js';
import {EPOCH_HEADER, REQUEST_HEADER} from './local.js';
import type {Pass} from './pass.js';
import {serve, type PassResult} from './serve.js';

const CANCELLED = notRun('cancelled', 'the caller closed the connection');

/**
 * Runs a pass to its end: the caller has its answer, or its connection is closed.
 *
 * @example
 * await runPass(context, pass);
 */
export async function runPass(context: Context, pass: Pass): Promise<void> {
  const {request, response} = pass;
  const startedAt = context.clock();
  const timeMs = Math.max(1, pass.deadlineAt - startedAt);
  const timer = setTimeout(stopForDeadline, timeMs, pass);
  response.on('close', () => {
    if (!response.writableFinished) pass.stop(CANCELLED);
    if (!request.complete) request.destroy();
  });
  try {
    const result = await serve(context, pass);
    finish(context, pass, result);
    report(context, pass, result, context.clock() - startedAt);
  } catch (error) {
    context.log(GATEWAY_EVENTS.fault, {request: pass.id, error: String(error)});
    response.destroy();
  } finally {
    clearTimeout(timer);
  }
}

function report(
  context: Context,
  pass: Pass,
  result: PassResult,
  timeMs: number,
): void {
  const sender = pass.hop ? 'peer' : 'caller';
  context.finished?.(pass.service.name, outcomeOf(result), sender, timeMs);
}

function outcomeOf(result: PassResult): 'answered' | Outcome {
  if (result.kind === 'answered') return 'answered';
  return result.kind === 'broken' ? 'unknown' : result.failure.outcome;
}

function stopForDeadline(pass: Pass): void {
  pass.stop(notRun('deadline', 'the deadline has passed'));
}

function finish(context: Context, pass: Pass, result: PassResult): void {
  const {request, response, id, span} = pass;
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
      closeAbruptly(response);
      return;
    case 'failed': {
      const {failure} = result;
      span.end({reason: failure.reason});
      if (failure.reason === 'cancelled') {
        const {outcome} = failure;
        context.log(GATEWAY_EVENTS.cancelled, {request: id, outcome});
        response.destroy();
      } else {
        const epoch = knownEpoch(context, pass);
        refuse(context, request, response, {id, failure, epoch}, !!pass.hop);
      }
    }
  }
}

/** Closes a connection so that a part of an answer is not taken for a whole. */
function closeAbruptly(response: ServerResponse): void {
  const {socket} = response;
  if (socket) socket.resetAndDestroy();
  else response.destroy();
}

/** Returns the epoch that this daemon knows for the slice of a pass. */
function knownEpoch(context: Context, pass: Pass): number | undefined {
  if (!pass.hop || pass.slice < 0) return undefined;
  const route = context.ownership.route(pass.service.name, pass.slice);
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
  forwarded: boolean,
): void {
  const {id, failure} = refusal;
  const {reason, outcome, message} = failure;
  context.log(GATEWAY_EVENTS.failed, {request: id, outcome, reason, message});
  if (hasUnreadBody(request)) response.shouldKeepAlive = false;
  sendFailure(response, failure, id, hopHeaders(refusal, forwarded));
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
function hopHeaders(refusal: Refusal, forwarded: boolean): readonly string[] {
  if (!forwarded) return [];
  const {id, failure, epoch} = refusal;
  const headers = [REQUEST_HEADER, id, REASON_HEADER, failure.reason];
  if (epoch !== undefined) headers.push(EPOCH_HEADER, String(epoch));
  return headers;
}
