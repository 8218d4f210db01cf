import {runExchange, type Attempt} from '../gateway/index.js';
import {notRun, unknownOutcome} from '../model/index.js';
import type {Log} from '../telemetry/index.js';
import type {ResponseHead, Pools, Transport} from '../upstream/index.js';
import {lengthOf} from './body.js';
import type {InstanceLoad, LoadEvent} from './load.js';
import {RELAY_EVENTS} from './events.js';
import {LOAD_HEADER, readFailure, readLoad} from './hop.js';
import {failedWithFreeRetry} from './local.js';
import {
  LATE_TIMER_MS,
  decidePending,
  type Liveness,
  type PeerStatus,
} from './detector.js';
import type {RouteDurations} from './durations.js';
import type {ClockReading} from './transit.js';
import {hopHeaders, bodyToSend, type Flow, type Work} from './work.js';

/** Dependencies for forwarding requests to other daemons. */
export interface ForwardContext {
  readonly clock: () => number;
  readonly peerPools: Pools;
  /**
   * Returns how a request is sent to a daemon, given its address as `ip:port`.
   */
  readonly peerTransport: (node: string, work: Work) => Transport;
  readonly loads: (node: string) => InstanceLoad;
  readonly observeLoad: (node: string, event: LoadEvent) => void;
  readonly durations: RouteDurations;
  /** Records that a part of an answer has arrived from a daemon. */
  readonly recordAnswer: (node: string) => void;
  /** Records when a daemon read a request, by its clock. */
  readonly observeClock: (node: string, reading: ClockReading) => void;
  /**
   * Returns by how much the clock of a daemon is ahead of this one's, in
   * milliseconds, if known.
   */
  readonly clockAheadMs: (node: string) => number | undefined;
  /**
   * Starts a probe of a daemon on a new connection, unless one is in progress.
   */
  readonly probe: (node: string) => void;
  /** Returns the status of a daemon from the failure detector. */
  readonly peerStatus: (node: string) => PeerStatus;
  /** Delay of the last timer of this process, in milliseconds. */
  readonly loopDelayMs: () => number;
  readonly log: Log;
}

/**
 * Time after which an unanswered request is first checked, in milliseconds;
 * nearly all requests are answered by then, so that they need one timer only.
 */
const FIRST_CHECK_MS = 200;

/** Largest number of connections to one daemon. */
export const PEER_CONNECTIONS = 128;

/**
 * Forwards a request to the daemon beside an instance and passes its answer on.
 * If no answer arrives, the daemon is probed, and `decidePending` decides
 * whether the request is aborted. A check whose timer was late is repeated once
 * before it counts, so that a decision is made even if the event loop is always
 * late.
 *
 * @param node Address of the daemon, as `ip:port`.
 * @param canMove Returns whether the request could be sent to another instance
 *     now, should this attempt be aborted.
 * @param onHead Called with the head of an answer that is passed on.
 *
 * @example
 * const attempt = await forward(
 *   context, flow, '10.1.0.8:7620', work, () => false);
 */
export async function forward(
  context: ForwardContext,
  flow: Flow,
  node: string,
  work: Work,
  canMove: (isSent: boolean) => boolean,
  onHead: (head: ResponseHead) => void = () => {},
): Promise<Attempt> {
  const transport = context.peerTransport(node, work);
  const forwardedAt = context.clock();
  const aheadMs = context.clockAheadMs(node);
  if (work.body.kind === 'streamed') flow.state.isBodyConsumed = true;
  let hasAnswer = false;
  let isSent = false;
  let silence: 'unconnected' | Liveness | undefined;
  const isRepeatable =
    work.repetition === 'idempotent' && work.body.kind !== 'streamed';
  let isRepeatedCheck = false;
  const check = (dueAt: number) => {
    if (hasAnswer) return;
    const status = context.peerStatus(node);
    const now = context.clock();
    const lateMs = isRepeatedCheck ? 0 : now - dueAt;
    isRepeatedCheck = lateMs >= LATE_TIMER_MS;
    const pendingMs = now - forwardedAt;
    const step = decidePending(status, {
      pendingMs,
      isSent,
      isRepeatable,
      // The answer matters only once the daemon is suspected.
      hasAlternative: status.liveness !== 'alive' && canMove(isSent),
      lateMs,
    });
    if (step.kind === 'give-up') {
      silence = status.liveness;
      flow.state.abortCurrent?.();
      return;
    }
    if (step.kind === 'probe') context.probe(node);
    checkTimer = scheduleCheck(step.ms);
  };
  const scheduleCheck = (ms: number) =>
    setTimeout(check, ms, context.clock() + ms);
  let checkTimer = scheduleCheck(FIRST_CHECK_MS);
  const judge = (head: ResponseHead) => {
    hasAnswer = true;
    const load = readLoad(head);
    if (load) {
      context.observeLoad(node, {kind: 'reported', ...load});
      context.durations.observe(node, work.route, load.routeMs ?? NaN);
      const reading = {sentAt: forwardedAt, readAt: load.clockMs};
      context.observeClock(node, reading);
    }
    const reported = readFailure(head);
    if (!reported && head.ownHeaders.has(LOAD_HEADER)) return undefined;
    if (!reported) {
      const message = `status ${head.status} without load header: not from the request handler`;
      return {
        kind: 'failed',
        failure: unknownOutcome('upstream-reset', message),
        hasAlternative: true,
      } as const;
    }
    const {failure, offered} = reported;
    return {
      kind: 'failed',
      failure,
      hasAlternative: true,
      isRetryBudgetExempt: !offered,
    } as const;
  };
  const attempt = await runExchange(
    flow,
    transport,
    {
      method: work.method,
      path: work.target,
      headers: [...work.headers, ...hopHeaders(work, forwardedAt, aheadMs)],
      body: bodyToSend(work.body),
    },
    {
      canSend: () => {
        isSent = true;
        return true;
      },
      classify: judge,
      addHeaders: onHead,
      onBodyPart: () => context.recordAnswer(node),
      classifyUnsent: error => {
        if (!silence && !flow.state.stopReason) {
          silence = 'unconnected';
          context.probe(node);
        }
        const message = `connection to the daemon failed: ${error.message}`;
        return failedWithFreeRetry(notRun('upstream-refused', message));
      },
      onEnd: () => {
        hasAnswer = true;
        clearTimeout(checkTimer);
      },
    },
  );
  if (silence && !flow.state.stopReason) {
    const endedAt = context.clock();
    context.log(RELAY_EVENTS.unreachable, {
      request: work.id,
      node,
      silence,
      forwardedMs: Math.round(endedAt - forwardedAt),
      heardMs: Math.round(endedAt - context.loads(node).reportedAt),
      bodyBytes: lengthOf(work.body),
      loopDelayMs: Math.round(context.loopDelayMs()),
    });
  }
  return attempt;
}
