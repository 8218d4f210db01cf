import {
  finalFailure,
  runExchange,
  signalOf,
  untilStoppedOrTimeout,
  type Attempt,
  type AttemptFailure,
} from '../gateway/index.js';
import {notRun, unknownOutcome, type Failure} from '../model/index.js';
import type {Log} from '../telemetry/index.js';
import type {
  ResponseHead,
  Pools,
  ReceivedStatement,
} from '../upstream/index.js';
import type {Dialect, StatedLoad, Verdict} from './dialect.js';
import {RELAY_EVENTS} from './events.js';
import type {ReportedLoad} from './hop.js';
import type {Intake} from './intake.js';
import {limitDelayMsOf, type QueueState} from './queue.js';
import type {Claim, Grant, Slots} from './slots.js';
import type {Transfers} from './transfers.js';
import {holderWaitUntil, bodyToSend, type Flow, type Work} from './work.js';

/** The upstream instance beside a daemon. */
export interface LocalInstance {
  readonly id: string;
  /** Start of the instance, in Unix milliseconds. */
  readonly born: number;
  readonly service: string;
  readonly address: {readonly host: string; readonly port: number};
  readonly slots: number;
  /** The instance takes no new requests. */
  readonly isClosed: boolean;
}

/** How the daemon beside an instance passes requests on to it. */
export interface LocalContext {
  readonly clock: () => number;
  /** Lets requests of callers and of other daemons in. */
  readonly intake: Intake;
  readonly dialect: Dialect;
  readonly local: () => LocalInstance | undefined;
  /** The service's requests carry keys. */
  readonly isKeyed: (service: string) => boolean;
  /** Tells whether the instance holds a key now. */
  readonly holdsKey: (key: number) => boolean;
  /** Told when the instance says that it does not hold a key. */
  readonly keyDenied: (key: number) => void;
  /** Tells whether the instance is about to hold a key. */
  readonly awaitsKey: (key: number) => boolean;
  /** Resolves when the keys that the instance holds may have changed. */
  readonly heldKeysChanged: () => Promise<unknown>;
  /** Slots of the instance beside. */
  readonly slots: () => Slots;
  readonly pools: Pools;
  /** Told of each request that the instance ran, and how long it took. */
  readonly requestCompleted: (
    work: Work,
    timeMs: number,
    load?: StatedLoad,
  ) => void;
  /** Told of what the instance says of itself in an answer. */
  readonly statementReceived: (
    instance: Pick<LocalInstance, 'id' | 'born'>,
    answer: ReceivedStatement,
  ) => void;
  /** Told of each key that is asked for. */
  readonly keyRequested: (key: number) => void;
  readonly log: Log;
}

/** Longest wait for keys that the instance is about to hold. */
const MAX_KEY_WAIT_MS = 700;

/** Time after which a caller is to ask for a key that has no holder. */
const HOLDER_RETRY_MS = 400;

/** Connections beyond the slots: calls, and those that are being closed. */
const SPARE_CONNECTIONS = 8;

/**
 * Returns the most connections that a daemon opens to the instance beside.
 *
 * @example
 * pools.to(address, connectionsOf(local.slots));
 */
export function maxConnections(slots: number): number {
  return slots + SPARE_CONNECTIONS;
}

/**
 * Runs a request at the instance beside: waits for its key and for a slot, then
 * passes the request on and the answer back.
 *
 * @param onHead Adds headers to an answer that is passed on.
 *
 * @example
 * const attempt = await runLocally(context, flow, work, () => {});
 */
export async function runLocally(
  context: LocalContext,
  flow: Flow,
  work: Work,
  onHead: (head: ResponseHead) => void,
): Promise<Attempt> {
  const arrivedAt = context.clock();
  const refusal =
    checkInstance(context, work) ?? (await awaitKey(context, flow, work));
  if (refusal) return refusal;
  const grant = await takeSlot(context, flow, work);
  flow.course.waitMs = Math.round(context.clock() - arrivedAt);
  if (grant.kind === 'denied') {
    const {reason, retryAfterMs} = grant;
    return failedWithFreeRetry(notRun(reason, 'no slot in time', retryAfterMs));
  }
  const lateRefusal = flow.state.stopReason
    ? finalFailure(flow.state.stopReason)
    : checkInstance(context, work);
  if (lateRefusal) {
    grant.release(false);
    return lateRefusal;
  }
  return send(context, flow, work, grant.release, onHead);
}

/** Tells why the instance beside can't run a request, if it can't. */
export function checkInstance(
  context: LocalContext,
  work: Work,
): AttemptFailure | undefined {
  const local = context.local();
  if (!local || local.service !== work.service) {
    const message = 'no instance of the service is beside this daemon';
    return failedWithFreeRetry(notRun('not-owner', message));
  }
  if (local.id !== work.instance) {
    return failedWithFreeRetry(
      notRun('not-owner', `instance ${local.id} is here`),
    );
  }
  if (local.isClosed) {
    return failedWithFreeRetry(notRun('draining', 'the instance is leaving'));
  }
  return undefined;
}

async function awaitKey(
  context: LocalContext,
  flow: Flow,
  work: Work,
): Promise<AttemptFailure | undefined> {
  const {key} = work;
  if (!context.isKeyed(work.service)) return undefined;
  if (key === undefined) {
    return finalFailure(notRun('bad-key', 'the request carries no key'));
  }
  context.keyRequested(key);
  const now = context.clock();
  const until = holderWaitUntil(now, work.deadlineAt, MAX_KEY_WAIT_MS);
  while (!context.holdsKey(key)) {
    if (flow.state.stopReason) return finalFailure(flow.state.stopReason);
    if (!context.awaitsKey(key)) {
      const message = 'the instance does not hold the key';
      return failedWithFreeRetry(notRun('not-owner', message, HOLDER_RETRY_MS));
    }
    if (context.clock() >= until) {
      const message = 'the instance has not got the key in time';
      return failedWithFreeRetry(notRun('no-owner', message, HOLDER_RETRY_MS));
    }
    const leftMs = until - context.clock();
    await untilStoppedOrTimeout(flow, context.heldKeysChanged(), leftMs);
  }
  return undefined;
}

function takeSlot(
  context: LocalContext,
  flow: Flow,
  work: Work,
): Promise<Grant> | Grant {
  return context.slots().acquire(claimOf(work), () => signalOf(flow));
}

/**
 * Returns what a request asks of the slots of its instance.
 *
 * @example
 * slots.refusal(claimOf(work), 0);
 */
export function claimOf(work: Work): Claim {
  const {route, priority, objectiveAt, deadlineAt} = work;
  return {kind: route, priority, objectiveAt, deadlineAt};
}

function send(
  context: LocalContext,
  flow: Flow,
  work: Work,
  release: (ran: boolean) => void,
  extend: (head: ResponseHead) => void,
): Promise<Attempt> {
  const {dialect, clock} = context;
  const local = context.local() as LocalInstance;
  const pool = context.pools.get(local.address, maxConnections(local.slots));
  const startedAt = clock();
  let load: StatedLoad | undefined;
  let hasAnswer = false;
  let isGarbled = false;
  let sentAt = startedAt;
  const leftMs = Math.max(1, Math.floor(work.deadlineAt - startedAt));
  const call = {
    method: work.method,
    path: work.target,
    headers: dialect.upstreamHeaders(work.headers, {
      instance: work.instance,
      leftMs,
      callerService: work.callerService,
    }),
    body: bodyToSend(work.body),
  };
  return runExchange(flow, pool, call, {
    canSend: () => {
      sentAt = clock();
      return context.local()?.id === work.instance;
    },
    classify: head => {
      const verdict = dialect.judge(head, work.id, work.instance);
      if ('statement' in verdict) {
        const {statement} = verdict;
        const ran = verdict.kind === 'answer';
        context.statementReceived(local, {statement, sentAt, ran});
      }
      if (verdict.kind === 'answer') {
        load = verdict.load;
        hasAnswer = true;
        return undefined;
      }
      isGarbled = verdict.kind === 'garbled';
      const isDenial = verdict.kind === 'not-holder';
      if (isDenial && work.key !== undefined) context.keyDenied(work.key);
      context.log(RELAY_EVENTS.answerRefused, {
        request: work.id,
        verdict: verdict.kind,
        status: head.status,
      });
      return refusalOf(verdict);
    },
    mustCloseConnection: () => isGarbled,
    addHeaders: extend,
    classifyUnsent: error => {
      const message = `the instance was not reached: ${error.message}`;
      return failedWithFreeRetry(notRun('upstream-refused', message));
    },
    onEnd: () => {
      release(hasAnswer);
      flow.course.runMs = Math.round(clock() - startedAt);
      if (hasAnswer) context.requestCompleted(work, clock() - startedAt, load);
    },
  });
}

function refusalOf(verdict: Verdict): AttemptFailure {
  switch (verdict.kind) {
    case 'not-run':
      return failedWithBudgetedRetry(
        notRun('overloaded', 'the instance refused it', 100),
      );
    case 'not-holder':
    case 'other-instance':
      return failedWithBudgetedRetry(
        notRun('not-owner', 'the instance does not hold it', 100),
      );
    case 'garbled':
      return failedWithFreeRetry(
        unknownOutcome('upstream-reset', verdict.message),
      );
    case 'answer':
      return finalFailure(
        unknownOutcome('upstream-reset', 'an answer is no refusal'),
      );
  }
}

/** The request reached the instance, so that a repeat draws on the budget. */
function failedWithBudgetedRetry(failure: Failure): AttemptFailure {
  return {
    kind: 'failed',
    failure,
    hasAlternative: true,
    isRetryBudgetExempt: false,
  };
}

/**
 * Describes a failed attempt that reached no instance, so that another one may
 * be tried freely.
 *
 * @example
 * return alternative(notRun('draining', 'the instance is leaving'));
 */
export function failedWithFreeRetry(failure: Failure): AttemptFailure {
  return {
    kind: 'failed',
    failure,
    hasAlternative: true,
    isRetryBudgetExempt: true,
  };
}

/**
 * Returns the load of the instance beside, for those who choose among
 * instances. Requests whose bodies are to arrive count like those that wait.
 *
 * @example
 * const load = loadOf(slots, transfers, 118, performance.now());
 * head.headers.push(LOAD_HEADER, formatLoad(load));
 */
export function loadOf(
  slots: Pick<Slots, 'state'>,
  transfers: Pick<Transfers, 'state'>,
  meanMs: number,
  now: number,
): ReportedLoad {
  const queue = slots.state();
  const busy = countOf(queue) + countOf(transfers.state());
  const {allowance} = queue;
  const intervalMs = allowance ? MS_PER_SECOND / allowance.perSecond : 0;
  const times = {meanMs, limitedMs: limitDelayMsOf(queue, now), intervalMs};
  return {busy, slots: queue.slots, ...times};
}

const MS_PER_SECOND = 1000;

function countOf({running, waiting}: QueueState): number {
  return running.length + waiting.length;
}
