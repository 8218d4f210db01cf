import {observeDemand} from './demand.js';
import {meanMs} from './estimate.js';
import {allowanceOf, sendableAt} from './allowance.js';
import {coldRamp, limitAt, mayStart, nextRiseAt} from './limit.js';
import {refuseFrom, wait} from './queue.js';
import {fill, finish, start} from './slots.js';
import {
  checkCount,
  replaceWaiting,
  unchanged,
  type AdmissionEvent,
  type AdmissionState,
  type Step,
  type Work,
} from './state.js';
import {refuse} from './verdict.js';

/** Longest Retry-After of an upstream that is obeyed. */
export const PAUSE_LIMIT_MS = 60_000;

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
): Step {
  switch (event.kind) {
    case 'arrive':
      return arrive(state, event.work, now);
    case 'finish':
      return finish(state, event.id, event.completion, now);
    case 'cancel':
      return cancel(state, event.id);
    case 'shed':
      return shed(state, event.retryAfterMs, now);
    case 'slots':
      return setSlots(state, event.slots, now);
    case 'limit': {
      const allowance = allowanceOf(state.allowance, event.perSecond, now);
      return reconsider({...state, allowance}, now);
    }
    case 'queue':
      return {state: withQueue(state, event.queueLimit), verdicts: []};
    case 'restart':
      return reconsider({...state, ramp: coldRamp(state, now)}, now);
    case 'tick':
      return reconsider(state, now);
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
  const {allowance, running} = state;
  let at = nextRiseAt(state, now);
  if (allowance && running.length < limitAt(state, now)) {
    at = Math.min(at, sendableAt(allowance, 0));
  }
  for (const entry of state.waiting) at = Math.min(at, entry.latestStartAt);
  return at;
}

function arrive(state: AdmissionState, work: Work, now: number): Step {
  const {waiting, estimates} = state;
  const expectedMs = meanMs(estimates, work.service, now);
  if (isHopeless(state, work, expectedMs, now)) {
    return {state, verdicts: [refuse(work, 'deadline', 0)]};
  }
  if (waiting.length === 0 && mayStart(state, now)) {
    return start(state, work, expectedMs, now);
  }
  const demand = observeDemand(state.demand, work.priority, expectedMs, now);
  return wait({...state, demand}, work, expectedMs, now);
}

/**
 * Tells whether a request can't be done in time even if it starts now. A
 * service of which nothing runs is given the benefit of the doubt, or an
 * estimate that is too high would never be corrected.
 */
function isHopeless(
  state: AdmissionState,
  work: Work,
  expectedMs: number,
  now: number,
): boolean {
  if (now >= work.deadlineAt) return true;
  if (now + expectedMs < work.deadlineAt) return false;
  return state.running.some(entry => entry.work.service === work.service);
}

function cancel(state: AdmissionState, id: number): Step {
  const index = state.waiting.findIndex(work => work.id === id);
  if (index < 0) return unchanged(state);
  const verdict = refuse(state.waiting[index], 'cancelled', 0);
  const waiting = state.waiting.toSpliced(index, 1);
  return {state: replaceWaiting(state, waiting), verdicts: [verdict]};
}

function shed(state: AdmissionState, retryAfterMs: number, now: number): Step {
  if (!(retryAfterMs >= 0)) {
    throw new RangeError(`Retry-After is negative: ${retryAfterMs}`);
  }
  const until = now + Math.min(retryAfterMs, PAUSE_LIMIT_MS);
  const pausedUntil = Math.max(state.pausedUntil, until);
  const paused = now < state.pausedUntil;
  const from = paused
    ? state.ramp.from
    : Math.max(1, Math.floor(limitAt(state, now) * SHED_FACTOR));
  const ramp = {from, startedAt: pausedUntil};
  return reconsider({...state, pausedUntil, ramp}, now);
}

/** Sets the slots; an upstream that had none is taken to be cold. */
function setSlots(state: AdmissionState, slots: number, now: number): Step {
  checkCount('slots', slots);
  const next = {...state, slots};
  const ramp = state.slots === 0 ? coldRamp(next, now) : state.ramp;
  return reconsider({...next, ramp}, now);
}

/** Sets the most requests that wait; those that wait already stay. */
function withQueue(state: AdmissionState, queueLimit: number): AdmissionState {
  checkCount('queue limit', queueLimit);
  return {...state, parameters: {...state.parameters, queueLimit}};
}

/** Gives free slots away, then gives up what can't make its deadline any more. */
function reconsider(state: AdmissionState, now: number): Step {
  const filled = fill(state, now);
  const late = refuseFrom(filled.state, 0, now);
  if (late.verdicts.length === 0) return filled;
  return {state: late.state, verdicts: [...filled.verdicts, ...late.verdicts]};
}
