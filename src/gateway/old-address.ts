import {type Handover, notRun} from '../model/index.js';
import {runExchange, type Attempt} from './attempt.js';
import type {Context} from './context.js';
import {bodyOf, type ActiveRequest} from './active-request.js';

/** Connection limit from one daemon to one old address. */
const OLD_CONNECTIONS = 32;

/**
 * Sends a request to the address that served it before the handover to
 * vanillaspool. The request is forwarded as received, with only the trace
 * context added and without an epoch, because the old service doesn't know
 * epochs.
 *
 * @example
 * const attempt = await sendOld(context, active, side.handover);
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
  const message = `old address is unreachable: ${error.message}`;
  const failure = notRun('upstream-refused', message);
  return {kind: 'failed', failure, hasAlternative: false} as const;
}
