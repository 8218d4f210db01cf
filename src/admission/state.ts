import type {FailureReason} from '../model/index.js';
import type {TokenBucket} from './bucket.js';
import type {Demand} from './demand.js';
import type {Estimate} from './estimate.js';

/** A request as admission sees it. Times are in milliseconds of one clock. */
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

/** A request that waits for a slot. */
export interface WaitingRequest extends TrackedRequest {
  /** Round of its class in which the request is due; see `order.ts`. */
  readonly round: number;
  /** Time that the upstream was expected to take when the request arrived. */
  readonly expectedMs: number;
  /** Time by which it must start to be likely to make its deadline. */
  readonly latestStartAt: number;
}

/** A request that holds a slot. */
export interface RunningRequest {
  readonly request: TrackedRequest;
  readonly startedAt: number;
  readonly expectedMs: number;
}

/** Progress of the rounds of one priority class. */
export interface ClassProgress {
  readonly priority: number;
  /** Grows with each admission from the queue; its whole part is the round. */
  readonly virtualTime: number;
}

/** Fixed parameters of admission. */
export interface Parameters {
  /** Most requests that wait. */
  readonly queueLimit: number;
  /** Share of the slots and of the queue that one key may hold against others. */
  readonly keyShare: number;
  /** Time from a cold start to the use of all slots. */
  readonly rampMs: number;
  /** Share of the slots that a cold upstream is given at first. */
  readonly coldShare: number;
}

/** A rise of the slots in use from `from` at `startedAt` to all of them. */
export interface Ramp {
  readonly initialSlots: number;
  readonly startedAt: number;
}

/** State of the admission to one upstream. */
export interface AdmissionState {
  readonly parameters: Parameters;
  /** Requests that the upstream executes at a time. */
  readonly slots: number;
  /** Requests that hold a slot, in the order in which they started. */
  readonly running: readonly RunningRequest[];
  /** Requests that wait, in the order in which they are to be admitted. */
  readonly waiting: readonly WaitingRequest[];
  readonly progress: readonly ClassProgress[];
  readonly estimates: readonly Estimate[];
  /** Demand of each class, as of the arrivals that found no free slot. */
  readonly demand: readonly Demand[];
  readonly ramp: Ramp;
  /** Time before which the upstream asked for no further request. */
  readonly pausedUntil: number;
  readonly lastFinishAt: number;
  /** Requests that may start now where the upstream names a limit. */
  readonly bucket: TokenBucket | undefined;
}

/** How a request that held a slot ended. Only `ran` says how long one takes. */
export type Completion = 'ran' | 'cut-short';

/** Something that happened to the admission. */
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
  /** @param perSecond Requests that the upstream takes; undefined: any number. */
  | {readonly kind: 'limit'; readonly perSecond: number | undefined}
  /** Applies to requests that arrive from now on. */
  | {readonly kind: 'queue'; readonly queueLimit: number}
  | {readonly kind: 'restart'}
  | {readonly kind: 'tick'};

/** The request may be sent to the upstream. */
export interface AdmittedVerdict {
  readonly kind: 'admitted';
  readonly request: TrackedRequest;
}

/** The request is given up. */
export interface RefusedVerdict {
  readonly kind: 'refused';
  readonly request: TrackedRequest;
  readonly reason: FailureReason;
  /** Time after which a repeat makes sense, in milliseconds. */
  readonly retryAfterMs: number;
}

/** The one final answer of admission to a request. */
export type Verdict = AdmittedVerdict | RefusedVerdict;

/** A new state and the answers that the event brought about. */
export interface Transition {
  readonly state: AdmissionState;
  readonly verdicts: readonly Verdict[];
}

const NO_VERDICTS: readonly Verdict[] = [];

/**
 * Creates the state of an upstream that is warm and idle.
 *
 * @throws {RangeError} when a count or share is out of its range.
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
    throw new RangeError(`rampMs is negative: ${parameters.rampMs}`);
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
 * Returns the state with other requests. The fields are written out because
 * the request path can't afford the object spread, which takes a microsecond.
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
 * Returns the state after a request has given its slot back.
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
 * Returns the state with another queue. The rounds begin anew when the queue
 * becomes empty.
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
 * Returns a step that changes nothing.
 *
 * @example
 * unchanged(state).verdicts; // []
 */
export function unchanged(state: AdmissionState): Transition {
  return {state, verdicts: NO_VERDICTS};
}

/**
 * Refuses a number that is not a whole count.
 *
 * @throws {RangeError} when it is negative or has a fraction.
 *
 * @example
 * checkCount('slots', 12);
 */
export function checkCount(name: string, value: number): void {
  if (Number.isInteger(value) && value >= 0) return;
  throw new RangeError(`${name} is not a whole count: ${value}`);
}

function checkShare(name: string, value: number): void {
  if (value >= 0 && value <= 1) return;
  throw new RangeError(`${name} is not from 0 to 1: ${value}`);
}
