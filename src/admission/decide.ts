import {observeDemand} from './demand.js';
import {meanMs} from './estimate.js';
import {withRate, tokenAvailableAt} from './bucket.js';
import {coldRamp, slotLimitAt, mayStart, nextIncreaseAt} from './limit.js';
import {refuseLateFrom, enqueueOrRefuse} from './queue.js';
import {fillSlots, finishRequest, startRequest} from './slots.js';
import {
  checkCount,
  replaceWaiting,
  unchanged,
  type AdmissionEvent,
  type AdmissionState,
  type Transition,
  type TrackedRequest,
} from './state.js';
import {refuse} from './verdict.js';

/** Longest Retry-After of an upstream that is obeyed. */
export const MAX_PAUSE_MS = 60_000;

const SHED_FACTOR = 0.5;

/**
 * Applies an event and returns the new state with the answers it brought about.
 *
 * @param now Time in milliseconds, of the clock of all times in the state.
 * @throws {RangeError} when an event carries a number out of its range.
 *
 * @example
 * const {state, verdicts} = decide(before, {kind: 'arrive', work}, now);
 */
export function decide(
  state: AdmissionState,
  event: AdmissionEvent,
  now: number,
): Transition {
  switch (event.kind) {
    case 'arrive':
      return arrive(state, event.request, now);
    case 'finish':
      return finishRequest(state, event.id, event.completion, now);
    case 'cancel':
      return cancel(state, event.id);
    case 'shed':
      return shed(state, event.retryAfterMs, now);
    case 'slots':
      return setSlots(state, event.slots, now);
    case 'limit': {
      const bucket = withRate(state.bucket, event.perSecond, now);
      return reevaluate({...state, bucket: bucket}, now);
    }
    case 'queue':
      return {state: setQueueLimit(state, event.queueLimit), verdicts: []};
    case 'restart':
      return reevaluate({...state, ramp: coldRamp(state, now)}, now);
    case 'tick':
      return reevaluate(state, now);
  }
}

/**
 * Returns the time at which a `tick` is due, or infinity: a waiting request is
 * to be given up, or the limit rises.
 *
 * @example
 * nextTickAt(createState(12, parameters), now); // Infinity
 */
export function nextTickAt(state: AdmissionState, now: number): number {
  if (state.waiting.length === 0) return Infinity;
  const {bucket: bucket, running} = state;
  let at = nextIncreaseAt(state, now);
  if (bucket && running.length < slotLimitAt(state, now)) {
    at = Math.min(at, tokenAvailableAt(bucket, 0));
  }
  for (const entry of state.waiting) at = Math.min(at, entry.latestStartAt);
  return at;
}

function arrive(
  state: AdmissionState,
  request: TrackedRequest,
  now: number,
): Transition {
  const {waiting, estimates} = state;
  const expectedMs = meanMs(estimates, request.service, now);
  if (willMissDeadline(state, request, expectedMs, now)) {
    return {state, verdicts: [refuse(request, 'deadline', 0)]};
  }
  if (waiting.length === 0 && mayStart(state, now)) {
    return startRequest(state, request, expectedMs, now);
  }
  const demand = observeDemand(state.demand, request.priority, expectedMs, now);
  return enqueueOrRefuse({...state, demand}, request, expectedMs, now);
}

/**
 * Tells whether a request can't be done in time even if it starts now. A
 * service of which nothing runs is given the benefit of the doubt, or an
 * estimate that is too high would never be corrected.
 */
function willMissDeadline(
  state: AdmissionState,
  request: TrackedRequest,
  expectedMs: number,
  now: number,
): boolean {
  if (now >= request.deadlineAt) return true;
  if (now + expectedMs < request.deadlineAt) return false;
  return state.running.some(entry => entry.request.service === request.service);
}

function cancel(state: AdmissionState, id: number): Transition {
  const index = state.waiting.findIndex(other => other.id === id);
  if (index < 0) return unchanged(state);
  const verdict = refuse(state.waiting[index], 'cancelled', 0);
  const waiting = state.waiting.toSpliced(index, 1);
  return {state: replaceWaiting(state, waiting), verdicts: [verdict]};
}

function shed(
  state: AdmissionState,
  retryAfterMs: number,
  now: number,
): Transition {
  if (!(retryAfterMs >= 0)) {
    throw new RangeError(`Retry-After is negative: ${retryAfterMs}`);
  }
  const until = now + Math.min(retryAfterMs, MAX_PAUSE_MS);
  const pausedUntil = Math.max(state.pausedUntil, until);
  const isPaused = now < state.pausedUntil;
  const from = isPaused
    ? state.ramp.initialSlots
    : Math.max(1, Math.floor(slotLimitAt(state, now) * SHED_FACTOR));
  const ramp = {from, startedAt: pausedUntil};
  return reevaluate({...state, pausedUntil, ramp}, now);
}

/** Sets the slots; an upstream that had none is taken to be cold. */
function setSlots(
  state: AdmissionState,
  slots: number,
  now: number,
): Transition {
  checkCount('slots', slots);
  const next = {...state, slots};
  const ramp = state.slots === 0 ? coldRamp(next, now) : state.ramp;
  return reevaluate({...next, ramp}, now);
}

/** Sets the most requests that wait; those that wait already stay. */
function setQueueLimit(
  state: AdmissionState,
  queueLimit: number,
): AdmissionState {
  checkCount('queue limit', queueLimit);
  return {...state, parameters: {...state.parameters, queueLimit}};
}

/** Gives free slots away, then gives up what can't make its deadline any more. */
function reevaluate(state: AdmissionState, now: number): Transition {
  const filled = fillSlots(state, now);
  const late = refuseLateFrom(filled.state, 0, now);
  if (late.verdicts.length === 0) return filled;
  return {state: late.state, verdicts: [...filled.verdicts, ...late.verdicts]};
}
