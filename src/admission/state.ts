import type {FailureReason} from '../model/index.js';
import type {TokenBucket} from './bucket.js';
import type {Demand} from './demand.js';
import type {Estimate} from './estimate.js';

/** A request subject to admission. All times are in milliseconds of one clock. */
export interface TrackedRequest {
  readonly id: number;
  readonly service: string;
  /** A lower number is admitted first. */
  readonly priority: number;
  readonly caller: string;
  /** Absent for a request of an unkeyed service. */
  readonly key: string | undefined;
  readonly deadlineAt: number;
}

/** A request queued for a slot. */
export interface WaitingRequest extends TrackedRequest {
  /** Fair-queueing round of its priority class; see `order.ts`. */
  readonly round: number;
  /** Estimated service time, as of the arrival. */
  readonly expectedMs: number;
  /** Latest start time from which it is likely to meet its deadline. */
  readonly latestStartAt: number;
}

/** A request in flight at the upstream; it holds one slot. */
export interface RunningRequest {
  readonly request: TrackedRequest;
  readonly startedAt: number;
  readonly expectedMs: number;
}

/** Fair-queueing progress of one priority class. */
export interface ClassProgress {
  readonly priority: number;
  /** Increases with each admission from the queue; the integer part is the round. */
  readonly virtualTime: number;
}

/** Parameters of admission. */
export interface Parameters {
  /** Maximum number of queued requests. */
  readonly queueLimit: number;
  /** Maximum share of the slots and of the queue for one key under contention. */
  readonly keyShare: number;
  /** Duration of the ramp from a cold start to all slots. */
  readonly rampMs: number;
  /** Share of the slots available at a cold start. */
  readonly coldShare: number;
}

/** A linear increase of the slot limit from `initialSlots` to all slots. */
export interface Ramp {
  readonly initialSlots: number;
  readonly startedAt: number;
}

/** Admission state of one upstream. */
export interface AdmissionState {
  readonly parameters: Parameters;
  /** Number of requests that the upstream executes concurrently. */
  readonly slots: number;
  /** Requests in flight, in start order. */
  readonly running: readonly RunningRequest[];
  /** Queued requests, in admission order. */
  readonly waiting: readonly WaitingRequest[];
  readonly progress: readonly ClassProgress[];
  readonly estimates: readonly Estimate[];
  /** Demand of each class, estimated from arrivals that found no free slot. */
  readonly demand: readonly Demand[];
  readonly ramp: Ramp;
  /** End of the pause requested by the Retry-After of the upstream. */
  readonly pausedUntil: number;
  readonly lastFinishAt: number;
  /** Enforces the rate limit of the upstream; undefined without a limit. */
  readonly bucket: TokenBucket | undefined;
}

/** How an execution ended. Only the duration of `ran` updates the estimates. */
export type Completion = 'ran' | 'cut-short';

/** An input of the admission state machine. */
export type AdmissionEvent =
  | {readonly kind: 'arrive'; readonly request: TrackedRequest}
  | {
      readonly kind: 'finish';
      readonly id: number;
      readonly completion: Completion;
    }
  | {readonly kind: 'cancel'; readonly id: number}
  | {readonly kind: 'shed'; readonly retryAfterMs: number}
  | {readonly kind: 'slots'; readonly slots: number}
  /** @param perSecond Rate limit in requests per second; undefined for no limit. */
  | {readonly kind: 'limit'; readonly perSecond: number | undefined}
  /** Applies to later arrivals only. */
  | {readonly kind: 'queue'; readonly queueLimit: number}
  | {readonly kind: 'restart'}
  | {readonly kind: 'tick'};

/** The request may be sent to the upstream. */
export interface AdmittedVerdict {
  readonly kind: 'admitted';
  readonly request: TrackedRequest;
}

/** The request is refused. */
export interface RefusedVerdict {
  readonly kind: 'refused';
  readonly request: TrackedRequest;
  readonly reason: FailureReason;
  /** Suggested delay before a retry, in milliseconds. */
  readonly retryAfterMs: number;
}

/** The final decision on a request; each request gets exactly one. */
export type Verdict = AdmittedVerdict | RefusedVerdict;

/** The new state and the verdicts that an event caused. */
export interface Transition {
  readonly state: AdmissionState;
  readonly verdicts: readonly Verdict[];
}

const NO_VERDICTS: readonly Verdict[] = [];

/**
 * Creates the state of a warm, idle upstream: all slots are available.
 *
 * @throws {RangeError} if a count, share or duration is out of range.
 *
 * @example
 * const state = createState(12, {queueLimit: 64, keyShare: 0.5, rampMs: 5000, coldShare: 0.25});
 */
export function createState(
  slots: number,
  parameters: Parameters,
): AdmissionState {
  checkCount('slots', slots);
  checkCount('queueLimit', parameters.queueLimit);
  checkShare('keyShare', parameters.keyShare);
  checkShare('coldShare', parameters.coldShare);
  if (!(parameters.rampMs >= 0)) {
    throw new RangeError(
      `rampMs must not be negative, got ${parameters.rampMs}`,
    );
  }
  return {
    parameters,
    slots,
    running: [],
    waiting: [],
    progress: [],
    estimates: [],
    demand: [],
    ramp: {initialSlots: slots, startedAt: -Infinity},
    pausedUntil: -Infinity,
    lastFinishAt: -Infinity,
    bucket: undefined,
  };
}

/**
 * Returns the state with the given requests and progress. Lists the fields
 * instead of using object spread, which costs a microsecond on the request path.
 *
 * @example
 * replaceRequests(state, state.running, [], []);
 */
export function replaceRequests(
  state: AdmissionState,
  running: readonly RunningRequest[],
  waiting: readonly WaitingRequest[],
  progress: readonly ClassProgress[],
): AdmissionState {
  return {
    parameters: state.parameters,
    slots: state.slots,
    running,
    waiting,
    progress,
    estimates: state.estimates,
    demand: state.demand,
    ramp: state.ramp,
    pausedUntil: state.pausedUntil,
    lastFinishAt: state.lastFinishAt,
    bucket: state.bucket,
  };
}

/**
 * Returns the state after a request has released its slot.
 *
 * @example
 * replaceFinished(state, [], state.estimates, now);
 */
export function replaceFinished(
  state: AdmissionState,
  running: readonly RunningRequest[],
  estimates: readonly Estimate[],
  now: number,
): AdmissionState {
  return {
    parameters: state.parameters,
    slots: state.slots,
    running,
    waiting: state.waiting,
    progress: state.progress,
    estimates,
    demand: state.demand,
    ramp: state.ramp,
    pausedUntil: state.pausedUntil,
    lastFinishAt: now,
    bucket: state.bucket,
  };
}

/**
 * Returns the state with the given queue. An empty queue resets the rounds.
 *
 * @example
 * replaceWaiting(state, []).progress; // []
 */
export function replaceWaiting(
  state: AdmissionState,
  waiting: readonly WaitingRequest[],
): AdmissionState {
  const progress = waiting.length === 0 ? [] : state.progress;
  return replaceRequests(state, state.running, waiting, progress);
}

/**
 * Returns a transition without verdicts that keeps the state.
 *
 * @example
 * unchanged(state).verdicts; // []
 */
export function unchanged(state: AdmissionState): Transition {
  return {state, verdicts: NO_VERDICTS};
}

/**
 * Checks that a number is a non-negative integer.
 *
 * @throws {RangeError} if it is negative or has a fraction.
 *
 * @example
 * checkCount('slots', 12);
 */
export function checkCount(name: string, value: number): void {
  if (Number.isInteger(value) && value >= 0) return;
  throw new RangeError(`${name} must be a non-negative integer, got ${value}`);
}

function checkShare(name: string, value: number): void {
  if (value >= 0 && value <= 1) return;
  throw new RangeError(`${name} must be from 0 to 1, got ${value}`);
}
