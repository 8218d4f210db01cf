import {type Handover, notRun} from '../model/index.js';
import {runExchange, type Attempt} from './attempt.js';
import type {Context} from './context.js';
import {bodyOf, type ActiveRequest} from './active-request.js';

/** Most connections from one daemon to one old address. */
const OLD_CONNECTIONS = 32;

/**
 * Sends a request to the address that served it before vanillaspool. It gets no
 * epoch: the old scripts see the caller's request as it came, with the trace
 * context added.
 *
 * @example
 * const attempt = await sendOld(context, pass, side.handover);
 */
export function sendOld(
  context: Context,
  active: ActiveRequest,
  handover: Handover,
): Promise<Attempt> {
  const span = context.trace.start('old', active.span.traceparent, {});
  const pool = context.oldAddressPools.get(
    handover.oldAddress,
    OLD_CONNECTIONS,
  );
  const headers = active.head.headers.slice();
  headers.push('traceparent', span.traceparent);
  const call = {
    method: active.request.method ?? 'GET',
    path: active.target,
    headers,
    body: bodyOf(active),
  };
  return runExchange(active, pool, call, {
    canSend: () => true,
    classify: () => undefined,
    addHeaders: () => {},
    classifyUnsent: error => unreachableFailure(error),
    onEnd: span.end,
  });
}

function unreachableFailure(error: Error) {
  const message = `the old address was not reached: ${error.message}`;
  const failure = notRun('upstream-refused', message);
  return {kind: 'failed', failure, alternative: false} as const;
}
