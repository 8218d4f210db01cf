import {type Handover, notRun} from '../model/index.js';
import {runExchange, type Attempt} from './attempt.js';
import type {Context} from './context.js';
import {bodyOf, type Pass} from './pass.js';

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
  pass: Pass,
  handover: Handover,
): Promise<Attempt> {
  const span = context.trace.start('old', pass.span.traceparent, {});
  const pool = context.oldPools.get(handover.oldAddress, OLD_CONNECTIONS);
  const headers = pass.head.headers.slice();
  headers.push('traceparent', span.traceparent);
  const call = {
    method: pass.request.method ?? 'GET',
    path: pass.target,
    headers,
    body: bodyOf(pass),
  };
  return runExchange(pass, pool, call, {
    ready: () => true,
    judge: () => undefined,
    extend: () => {},
    unsent: error => unreachable(error),
    ended: span.end,
  });
}

function unreachable(error: Error) {
  const message = `the old address was not reached: ${error.message}`;
  const failure = notRun('upstream-refused', message);
  return {kind: 'failed', failure, alternative: false} as const;
}
