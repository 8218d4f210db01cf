import type {FailureReason} from '../model/index.js';
import type {Log, Metrics} from '../telemetry/index.js';
import {
  countForwarded,
  createRetryBudget,
  spendRetry,
  withRetryShare,
  type RetryLimits,
} from './budget.js';
import {decide, nextTickAt} from './decide.js';
import {ADMISSION_EVENTS} from './events.js';
import {createMeter} from './meter.js';
import {scheduleTimeout, type Schedule} from './schedule.js';
import {
  createState,
  type AdmissionEvent,
  type AdmissionState,
  type Completion,
  type Parameters,
  type Verdict,
} from './state.js';

/** A request that asks for a slot. */
export interface AdmissionRequest {
  readonly service: string;
  /** A lower number is admitted first. */
  readonly priority: number;
  /** Time by which the answer must be complete, in milliseconds of the clock. */
  readonly deadlineAt: number;
  /** Identifies the caller among whom slots are shared fairly. */
  readonly caller: string;
  /** Aborts when the caller has gone. Read only when the request has to wait. */
  readonly signal?: AbortSignal;
  readonly key?: string;
}

/** The request holds a slot until `release` is called; later calls do nothing. */
export interface Admitted {
  readonly kind: 'admitted';
  /** Frees the slot. Pass `cut-short` when the upstream did not run it whole. */
  readonly release: (completion?: Completion) => void;
}

/** The request is not to be sent to the upstream. */
export interface Refused {
  readonly kind: 'refused';
  readonly reason: FailureReason;
  /** Time after which a repeat makes sense, in milliseconds. */
  readonly retryAfterMs: number;
}

/** The answer to one request for a slot. */
export type AdmissionResult = Admitted | Refused;

/** Settings of `createAdmission`. */
export interface AdmissionOptions extends Partial<Parameters> {
  readonly slots: number;
  /** Most requests that wait. */
  readonly queue: number;
  /** Milliseconds that never go back. */
  readonly clock: () => number;
  readonly schedule?: Schedule;
  readonly retries?: RetryLimits;
  readonly log?: Log;
  readonly metrics?: Metrics;
}

/** Admission to the slots of one upstream. */
export interface Admission {
  /**
   * Asks for a slot. The answer comes at once where it is known at once, and
   * otherwise as a promise that never rejects and that settles as soon as the
   * request is admitted or given up.
   */
  readonly admit: (
    request: AdmissionRequest,
  ) => Promise<AdmissionResult> | AdmissionResult;
  /** Counts a first attempt that was sent to another daemon or the upstream. */
  readonly countForwarded: () => void;
  /** Takes one retry from the budget; false when none is left. */
  readonly takeRetry: () => boolean;
  /** Reports that the upstream shed a request. */
  readonly recordShed: (retryAfterMs: number) => void;
  /** Reports that the upstream has just started. */
  readonly recordRestart: () => void;
  readonly setSlots: (slots: number) => void;
  /**
   * Takes the limit that the upstream names, in requests a second; undefined
   * where it names none.
   */
  readonly setRateLimit: (perSecond: number | undefined) => void;
  /** Sets the most requests that wait and the share of retries. */
  readonly applySettings: (queue: number, retryShare: number) => void;
  /** The state as of the last event. */
  readonly state: () => AdmissionState;
}

interface Pending {
  readonly resolve: (result: AdmissionResult) => void;
  readonly signal: AbortSignal | undefined;
  readonly onAbort: () => void;
}

const DEFAULTS: Omit<Parameters, 'queueLimit'> = {
  keyShare: 0.5,
  rampMs: 5000,
  coldShare: 0.25,
};
const DEFAULT_RETRIES: RetryLimits = {share: 0.1, reserve: 10};
const MAX_TIMER_MS = 60_000;

/**
 * Creates the admission to one upstream.
 *
 * @throws {RangeError} when a setting is out of its range.
 *
 * @example
 * const admission = createAdmission({
 *   slots: 12, queue: 64, clock: () => performance.now()});
 * const result = await admission.admit({service: 'rota-display', priority: 2,
 *   deadlineAt: performance.now() + 500, caller: 'desk-7', key: 'night'});
 * if (result.kind === 'admitted') result.release();
 */
export function createAdmission(options: AdmissionOptions): Admission {
  const {clock, schedule = scheduleTimeout} = options;
  const meter = createMeter(options.metrics, options.log);
  const pending = new Map<number, Pending>();
  let state = createState(options.slots, parametersOf(options));
  let budget = createRetryBudget(options.retries ?? DEFAULT_RETRIES);
  let nextId = 1;
  let timerAt = Infinity;
  let cancelTimer: (() => void) | undefined;

  const dispatch = (event: AdmissionEvent): readonly Verdict[] => {
    const now = clock();
    const transition = decide(state, event, now);
    state = transition.state;
    meter.observe(state, transition.verdicts, now);
    if (state.waiting.length > 0) armTimer(now);
    return transition.verdicts;
  };

  const dispatchAndResolve = (event: AdmissionEvent) => {
    for (const verdict of dispatch(event)) resolvePending(verdict);
  };

  const armTimer = (now: number) => {
    const at = nextTickAt(state, now);
    if (at >= timerAt || at === Infinity) return;
    cancelTimer?.();
    timerAt = at;
    const delayMs = Math.min(Math.max(1, Math.ceil(at - now)), MAX_TIMER_MS);
    cancelTimer = schedule(delayMs, () => {
      timerAt = Infinity;
      dispatchAndResolve({kind: 'tick'});
    });
  };

  const resultOf = (verdict: Verdict): AdmissionResult => {
    if (verdict.kind === 'refused') {
      const {reason, retryAfterMs} = verdict;
      return {kind: 'refused', reason, retryAfterMs};
    }
    budget = countForwarded(budget);
    return {kind: 'admitted', release: releaseOf(verdict.request.id)};
  };

  // A second call names a request that holds no slot any more, which decide ignores.
  const releaseOf =
    (id: number) =>
    (completion: Completion = 'ran') =>
      dispatchAndResolve({kind: 'finish', id, completion});

  const resolvePending = (verdict: Verdict) => {
    const entry = pending.get(verdict.request.id);
    if (!entry) return;
    pending.delete(verdict.request.id);
    entry.signal?.removeEventListener('abort', entry.onAbort);
    entry.resolve(resultOf(verdict));
  };

  const untilVerdict = (id: number, signal: AbortSignal | undefined) =>
    new Promise<AdmissionResult>(resolve => {
      const onAbort = () => dispatchAndResolve({kind: 'cancel', id});
      signal?.addEventListener('abort', onAbort, {once: true});
      pending.set(id, {resolve, signal, onAbort});
      if (signal?.aborted) onAbort();
    });

  const admit = (request: AdmissionRequest) => {
    const {service, priority, deadlineAt, caller, key} = request;
    const id = nextId++;
    const tracked = {id, service, priority, caller, key, deadlineAt};
    let ownVerdict: Verdict | undefined;
    for (const verdict of dispatch({kind: 'arrive', request: tracked})) {
      if (verdict.request.id === id) ownVerdict = verdict;
      else resolvePending(verdict);
    }
    return ownVerdict ? resultOf(ownVerdict) : untilVerdict(id, request.signal);
  };

  const takeRetry = () => {
    const left = spendRetry(budget);
    if (!left) return false;
    budget = left;
    return true;
  };

  return {
    admit,
    countForwarded: () => {
      budget = countForwarded(budget);
    },
    takeRetry: takeRetry,
    recordShed: retryAfterMs => {
      const paused = clock() < state.pausedUntil;
      dispatchAndResolve({kind: 'shed', retryAfterMs});
      if (!paused) options.log?.(ADMISSION_EVENTS.paused, {retryAfterMs});
    },
    recordRestart: () => {
      dispatchAndResolve({kind: 'restart'});
      options.log?.(ADMISSION_EVENTS.restarted, {slots: state.slots});
    },
    setSlots: slots => {
      if (slots === state.slots) return;
      dispatchAndResolve({kind: 'slots', slots});
      options.log?.(ADMISSION_EVENTS.slotsChanged, {slots});
    },
    setRateLimit: perSecond => dispatchAndResolve({kind: 'limit', perSecond}),
    applySettings: (queueLimit, share) => {
      dispatchAndResolve({kind: 'queue', queueLimit});
      budget = withRetryShare(budget, share);
    },
    state: () => state,
  };
}

function parametersOf(options: AdmissionOptions): Parameters {
  const {
    keyShare = DEFAULTS.keyShare,
    rampMs = DEFAULTS.rampMs,
    coldShare = DEFAULTS.coldShare,
  } = options;
  return {queueLimit: options.queue, keyShare, rampMs, coldShare};
}
