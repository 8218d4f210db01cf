import {runExchange, type Attempt} from '../gateway/index.js';
import {notRun, parseAddress, unknownOutcome} from '../model/index.js';
import type {Log} from '../telemetry/index.js';
import type {ResponseHead, Pools} from '../upstream/index.js';
import {lengthOf} from './body.js';
import type {InstanceLoad, LoadEvent} from './choose.js';
import {RELAY_EVENTS} from './events.js';
import {LOAD_HEADER, readFailure, readLoad} from './hop.js';
import {failedWithFreeRetry} from './local.js';
import {
  LATE_TIMER_MS,
  decidePending,
  type Liveness,
  type PeerStatus,
} from './detector.js';
import {hopHeaders, bodyToSend, type Flow, type Work} from './work.js';

/** How requests are forwarded to other daemons. */
export interface ForwardContext {
  readonly clock: () => number;
  readonly peerPools: Pools;
  readonly loads: (node: string) => InstanceLoad;
  readonly observeLoad: (node: string, event: LoadEvent) => void;
  /** The service's keys are each served by one instance. */
  readonly isKeyed: (service: string) => boolean;
  /** Begins to ask a daemon on a new connection, unless that is under way. */
  readonly probe: (node: string) => void;
  /** What is known of a daemon that may be silent. */
  readonly peerStatus: (node: string) => PeerStatus;
  /** Time by which the last timer of this process was late, in milliseconds. */
  readonly loopDelayMs: () => number;
  readonly log: Log;
}

/**
 * Time after which an unanswered request is first looked at, in milliseconds;
 * nearly all are answered by then, so that they cost one timer.
 */
const FIRST_CHECK_MS = 200;

/** Connections to one daemon. */
export const PEER_CONNECTIONS = 128;

/**
 * Forwards a request to the daemon beside an instance and passes its answer on.
 * A daemon that stays silent is asked whether it lives; what follows for the
 * request, `decideSilence` says. A look that is late is repeated once before it
 * counts, so that a loop that is always late still decides.
 *
 * @param node Address of the daemon, as `ip:port`.
 * @param extend Looks at the head of an answer that is passed on.
 *
 * @example
 * const attempt = await forward(context, flow, '10.1.0.8:7620', work);
 */
export async function forward(
  context: ForwardContext,
  flow: Flow,
  node: string,
  work: Work,
  extend: (head: ResponseHead) => void = () => {},
): Promise<Attempt> {
  const pool = context.peerPools.get(parseAddress(node), PEER_CONNECTIONS);
  const forwardedAt = context.clock();
  if (work.body.kind === 'streamed') flow.state.isBodyConsumed = true;
  let hasAnswer = false;
  let isSent = false;
  let silence: 'unconnected' | Liveness | undefined;
  const isRepeatable =
    work.repetition === 'idempotent' && work.body.kind !== 'streamed';
  const hasChoice = !context.isKeyed(work.service);
  let isRepeatedCheck = false;
  const check = (dueAt: number) => {
    if (hasAnswer) return;
    const status = context.peerStatus(node);
    const now = context.clock();
    const lateMs = isRepeatedCheck ? 0 : now - dueAt;
    isRepeatedCheck = lateMs >= LATE_TIMER_MS;
    const pendingMs = now - forwardedAt;
    const pending = {pendingMs, isSent, isRepeatable, hasChoice, lateMs};
    const step = decidePending(status, pending);
    if (step.kind === 'give-up') {
      silence = status.liveness;
      flow.state.abortCurrent?.();
      return;
    }
    if (step.kind === 'ask') context.probe(node);
    checkTimer = scheduleCheck(step.ms);
  };
  const scheduleCheck = (ms: number) =>
    setTimeout(check, ms, context.clock() + ms);
  let checkTimer = scheduleCheck(FIRST_CHECK_MS);
  const judge = (head: ResponseHead) => {
    hasAnswer = true;
    const load = readLoad(head);
    if (load) context.observeLoad(node, {kind: 'reported', ...load});
    const reported = readFailure(head);
    if (!reported && head.ownHeaders.has(LOAD_HEADER)) return undefined;
    if (!reported) {
      const message = `status ${head.status} was not made by its handler`;
      return {
        kind: 'failed',
        failure: unknownOutcome('upstream-reset', message),
        alternative: true,
      } as const;
    }
    const {failure, offered} = reported;
    return {
      kind: 'failed',
      failure,
      alternative: true,
      free: !offered,
    } as const;
  };
  const attempt = await runExchange(
    flow,
    pool,
    {
      method: work.method,
      path: work.target,
      headers: [...work.headers, ...hopHeaders(work, forwardedAt)],
      body: bodyToSend(work.body),
    },
    {
      canSend: () => {
        isSent = true;
        return true;
      },
      classify: judge,
      addHeaders: extend,
      classifyUnsent: error => {
        if (!silence && !flow.state.stopReason) {
          silence = 'unconnected';
          context.probe(node);
        }
        const message = `the daemon was not reached: ${error.message}`;
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
