import {finalFailure, type AttemptFailure} from '../gateway/index.js';
import {notRun, parseAddress} from '../model/index.js';
import {
  exchange,
  type ResponseHead,
  type ExchangeResult,
} from '../upstream/index.js';
import {lengthOf} from './body.js';
import {PEER_CONNECTIONS, type ForwardContext} from './forward.js';
import {OFFER_HEADER, readFailure, readLoad} from './hop.js';
import {failedWithFreeRetry} from './local.js';
import {MAX_TRANSFER_WAIT_MS} from './transfers.js';
import {hopHeaders, type Flow, type Work} from './work.js';

/**
 * Length from which a body is offered before it is sent, in bytes: a 10 Mbit/s
 * link transfers as much in the time of the additional round trip.
 */
const MIN_OFFERED_BYTES = 8 * 1024;

/**
 * Timeout of an offer, in milliseconds: the longest wait for a transfer slot,
 * and a round trip behind two bodies.
 */
const OFFER_TIMEOUT_MS = MAX_TRANSFER_WAIT_MS + 300;

/**
 * Tells whether the body of a request is offered before it is sent.
 *
 * @example
 * if (needsOffer(work)) await offer(context, flow, node, work);
 */
export function needsOffer({body}: Work): boolean {
  return lengthOf(body) >= MIN_OFFERED_BYTES;
}

/**
 * Asks the daemon beside an instance whether and when to send a request with a
 * long body. No part of the request is sent before the daemon accepts.
 *
 * @param node Address of the daemon, as `ip:port`.
 * @returns the reason for the refusal; undefined if the body is accepted.
 *
 * @example
 * const refusal = await offer(context, flow, '10.1.0.8:7620', work);
 */
export async function offer(
  context: ForwardContext,
  flow: Flow,
  node: string,
  work: Work,
): Promise<AttemptFailure | undefined> {
  const {clock, peerPools, observeLoad} = context;
  const pool = peerPools.get(parseAddress(node), PEER_CONNECTIONS);
  const length = String(lengthOf(work.body));
  const sentAt = clock();
  const described = hopHeaders(work, sentAt, context.clockAheadMs(node));
  const headers = [...described, OFFER_HEADER, length];
  const call = {method: 'GET', path: '/', headers, body: null};
  let answer: ResponseHead | undefined;
  let timer: NodeJS.Timeout | undefined;
  const result = await new Promise<ExchangeResult>(resolve => {
    const abort = exchange(pool, call, flow.response, {
      beforeSend: () => true,
      onHead: head => {
        answer = head;
        return undefined;
      },
      onEnd: resolve,
    });
    flow.state.abortCurrent = () =>
      abort(
        new Error('the request was stopped before its body offer was answered'),
      );
    timer = setTimeout(flow.state.abortCurrent, OFFER_TIMEOUT_MS);
  });
  clearTimeout(timer);
  flow.state.abortCurrent = undefined;
  if (flow.state.stopReason) return finalFailure(flow.state.stopReason);
  const load = answer && readLoad(answer);
  if (!answer || !load) {
    if (!answer) context.probe(node);
    const wasReached = result.kind !== 'failed' || result.sent;
    const reason = wasReached ? 'overloaded' : 'upstream-refused';
    const message =
      'the daemon did not answer the offer of a request body in time';
    return failedWithFreeRetry(notRun(reason, message));
  }
  observeLoad(node, {kind: 'reported', ...load});
  context.observeClock(node, {sentAt, readAt: load.clockMs});
  const reported = readFailure(answer);
  return reported && failedWithFreeRetry(reported.failure);
}
