import {maySend, sendableAt} from './allowance.js';
import type {AdmissionState, Ramp} from './state.js';

/**
 * Returns how many requests may hold a slot now: none while the upstream's
 * Retry-After runs, a rising part during a ramp, otherwise all slots.
 *
 * @example
 * limitAt(createState(12, parameters), now); // 12
 */
export function limitAt(state: AdmissionState, now: number): number {
  if (now < state.pausedUntil) return 0;
  return rampedAt(state, now);
}

/**
 * Tells whether one more request may start now.
 *
 * @example
 * mayStart(createState(12, parameters), now); // true
 */
export function mayStart(state: AdmissionState, now: number): boolean {
  const {running, allowance} = state;
  return running.length < limitAt(state, now) && maySend(allowance, now);
}

/**
 * Returns the time until the upstream's limit of requests a second allows one
 * more behind others, in milliseconds; 0 without such a limit.
 *
 * @param ahead Requests that are to start before it.
 *
 * @example
 * untilAllowedMs(createState(12, parameters), 3, now); // 0
 */
export function untilAllowedMs(
  {allowance}: AdmissionState,
  ahead: number,
  now: number,
): number {
  return allowance ? Math.max(0, sendableAt(allowance, ahead) - now) : 0;
}

/**
 * Returns the time of the next rise of the limit, or infinity.
 *
 * @example
 * nextRiseAt(createState(12, parameters), now); // Infinity
 */
export function nextRiseAt(state: AdmissionState, now: number): number {
  if (now < state.pausedUntil) return state.pausedUntil;
  const limit = rampedAt(state, now);
  if (limit >= state.slots) return Infinity;
  const {from, startedAt} = state.ramp;
  const part = (limit + 1 - from) / (state.slots - from);
  return startedAt + part * state.parameters.rampMs;
}

/**
 * Returns the limit that holds once a pause is over.
 *
 * @example
 * limitAfterPause({...state, pausedUntil: now + 1000}, now);
 */
export function limitAfterPause(state: AdmissionState, now: number): number {
  return rampedAt(state, Math.max(now, state.pausedUntil));
}

/**
 * Begins the ramp of an upstream that has just started.
 *
 * @example
 * coldRamp(createState(12, parameters), now).from; // 3 with a cold share of 0.25
 */
export function coldRamp(state: AdmissionState, now: number): Ramp {
  const from = Math.ceil(state.slots * state.parameters.coldShare);
  return {from: Math.max(1, from), startedAt: now};
}

function rampedAt(state: AdmissionState, now: number): number {
  const {from, startedAt} = state.ramp;
  const {slots, parameters} = state;
  const elapsedMs = now - startedAt;
  if (elapsedMs >= parameters.rampMs || from >= slots) return slots;
  const part = Math.max(0, elapsedMs) / parameters.rampMs;
  const risen = Math.floor(from + (slots - from) * part + RISE_TOLERANCE);
  return Math.min(slots, Math.max(1, risen));
}

// Keeps a rise computed by nextRiseAt from being missed by a rounding error.
const RISE_TOLERANCE = 1e-9;
