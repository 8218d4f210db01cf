import {runExchange, type Attempt} from '../gateway/index.js';
import {notRun, parseAddress, unknown} from '../model/index.js';
import type {Log} from '../telemetry/index.js';
import type {AnswerHead, Pools} from '../upstream/index.js';
import {lengthOf} from './body.js';
import type {InstanceLoad, LoadEvent} from './choose.js';
import {RELAY_EVENTS} from './events.js';
import {
  HOP_HEADER,
  LOAD_HEADER,
  formatHop,
  hopOf,
  readFailure,
  readLoad,
} from './hop.js';
import {sendable, type Flow, type Work} from './work.js';

/** How requests are forwarded to other daemons. */
export interface ForwardContext {
  readonly clock: () => number;
  readonly peerPools: Pools;
  readonly loads: (node: string) => InstanceLoad;
  readonly observeLoad: (node: string, event: LoadEvent) => void;
  /** Tells whether a daemon answers on a new connection. */
  readonly probe: (node: string) => Promise<boolean>;
  /** Time by which the last timer of this process was late, in milliseconds. */
  readonly loopDelayMs: () => number;
  readonly log: Log;
}

/** Silence of a daemon after which it is asked whether it lives. */
const PROBE_AFTER_MS = 400;

/** Connections to one daemon. */
export const PEER_CONNECTIONS = 128;

/**
 * Forwards a request to the daemon beside an instance and passes its answer on.
 * A daemon that stays silent is asked whether it lives; one that does not answer
 * is given up.
 *
 * @param node Address of the daemon, as `ip:port`.
 *
 * @example
 * const attempt = await forward(context, flow, '10.1.0.8:7620', work);
 */
export async function forward(
  context: ForwardContext,
  flow: Flow,
  node: string,
  work: Work,
): Promise<Attempt> {
  const pool = context.peerPools.to(parseAddress(node), PEER_CONNECTIONS);
  const now = context.clock();
  const hop = formatHop(hopOf(work, now));
  if (work.body.kind === 'streamed') flow.state.consumed = true;
  let heard = false;
  let silence: 'unconnected' | 'unanswered' | undefined;
  let probing = setTimeout(() => void probe(), PROBE_AFTER_MS);
  const probe = async () => {
    if (heard) return;
    const silentMs = context.clock() - context.loads(node).reportedAt;
    const lives = silentMs < PROBE_AFTER_MS || (await context.probe(node));
    if (heard) return;
    if (lives) {
      probing = setTimeout(() => void probe(), PROBE_AFTER_MS);
      return;
    }
    silence = 'unanswered';
    flow.state.giveUp?.();
  };
  const read = (head: AnswerHead) => {
    heard = true;
    const load = readLoad(head);
    if (load) context.observeLoad(node, {kind: 'reported', ...load});
    const reported = readFailure(head);
    if (!reported && head.own.has(LOAD_HEADER)) return undefined;
    if (!reported) {
      const message = `status ${head.status} was not made by its handler`;
      return {
        kind: 'failed',
        failure: unknown('upstream-reset', message),
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
      headers: [...work.headers, HOP_HEADER, hop],
      body: sendable(work.body),
    },
    {
      ready: () => true,
      judge: read,
      extend: () => {},
      unsent: error => {
        silence ??= 'unconnected';
        const message = `the daemon was not reached: ${error.message}`;
        const failure = notRun('upstream-refused', message);
        return {kind: 'failed', failure, alternative: true, free: true};
      },
      ended: () => {
        heard = true;
        clearTimeout(probing);
      },
    },
  );
  if (silence && !flow.state.stopped) {
    const endedAt = context.clock();
    context.log(RELAY_EVENTS.unreachable, {
      request: work.id,
      node,
      silence,
      forwardedMs: Math.round(endedAt - now),
      heardMs: Math.round(endedAt - context.loads(node).reportedAt),
      bodyBytes: lengthOf(work.body),
      loopDelayMs: Math.round(context.loopDelayMs()),
    });
    context.observeLoad(node, {kind: 'unreachable'});
  }
  return attempt;
}
