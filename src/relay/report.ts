import type {Attempt} from '../gateway/index.js';
import type {Failure} from '../model/index.js';
import type {EventFields} from '../telemetry/index.js';
import {abortResponse, type ResponseWriter} from '../upstream/index.js';
import {lengthOf} from './body.js';
import {RELAY_EVENTS} from './events.js';
import type {IngressContext, RoutedRequest} from './routed.js';

/** Lowest status of a server error. */
export const FIRST_ERROR_STATUS = 500;

/**
 * Ends a request after its last attempt: logs the result, and answers the caller
 * unless the answer of an instance was passed on.
 *
 * @example
 * finish(context, routed, await serve(context, routed));
 */
export function finish(
  context: IngressContext,
  routed: RoutedRequest,
  result: Attempt,
): void {
  const {flow, route, service, caller, startedAt} = routed;
  const timeMs = Math.round(context.clock() - startedAt);
  const fields = {service, route: route.name, timeMs};
  const isInTime =
    context.clock() <= routed.firstAt + route.objectiveMs &&
    result.kind === 'answered';
  const spent = {bodyBytes: lengthOf(routed.body), asked: routed.forwardCount};
  const isSuccess =
    result.kind === 'answered' && result.status < FIRST_ERROR_STATUS;
  if (!isSuccess)
    context.callerRetries.recordFailure(routed.identity, routed.firstAt);
  if (result.kind === 'answered') {
    const {status} = result;
    const answered = {outcome: 'answered', reason: '', isInTime} as const;
    context.requestEnded({...fields, ...answered});
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
    const broken = {outcome: 'broken', reason: '', isInTime} as const;
    context.requestEnded({...fields, ...broken});
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

/**
 * Logs a failed request and passes its result on.
 *
 * @param spent Further fields of the log line.
 *
 * @example
 * report(context, caller.id, failure, route.name, service, startedAt);
 */
export function report(
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
    const cancelled = {outcome: 'cancelled', reason, isInTime: false} as const;
    context.requestEnded({...fields, ...cancelled});
    context.log(RELAY_EVENTS.cancelled, {request, ...fields, ...spent});
    return;
  }
  context.requestEnded({...fields, outcome, reason, isInTime: false});
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
 *
 * @example
 * sendFailure(response, notRun('overloaded', message, 300));
 */
export function sendFailure(response: ResponseWriter, failure: Failure): void {
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
