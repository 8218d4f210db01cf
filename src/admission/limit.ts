import {hasToken, tokenAvailableAt} from './bucket.js';
import type {AdmissionState, Ramp} from './state.js';

/**
 * Returns how many requests may hold a slot now: none while the upstream's
 * Retry-After runs, a rising part during a ramp, otherwise all slots.
 *
 * @example
 * limitAt(createState(12, parameters), now); // 12
 */
export function slotLimitAt(state: AdmissionState, now: number): number {
  if (now < state.pausedUntil) return 0;
  return rampLimitAt(state, now);
}

/**
 * Tells whether one more request may start now.
 *
 * @example
 * mayStart(createState(12, parameters), now); // true
 */
export function mayStart(state: AdmissionState, now: number): boolean {
  const {running, bucket: bucket} = state;
  return running.length < slotLimitAt(state, now) && hasToken(bucket, now);
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
export function rateDelayMs(
  {bucket: bucket}: AdmissionState,
  ahead: number,
  now: number,
): number {
  return bucket ? Math.max(0, tokenAvailableAt(bucket, ahead) - now) : 0;
}

/**
 * Returns the time of the next rise of the limit, or infinity.
 *
 * @example
 * nextRiseAt(createState(12, parameters), now); // Infinity
 */
export function nextIncreaseAt(state: AdmissionState, now: number): number {
  if (now < state.pausedUntil) return state.pausedUntil;
  const slotLimit = rampLimitAt(state, now);
  if (slotLimit >= state.slots) return Infinity;
  const {initialSlots: initialSlots, startedAt} = state.ramp;
  const fraction =
    (slotLimit + 1 - initialSlots) / (state.slots - initialSlots);
  return startedAt + fraction * state.parameters.rampMs;
}

/**
 * Returns the limit that holds once a pause is over.
 *
 * @example
 * limitAfterPause({...state, pausedUntil: now + 1000}, now);
 */
export function slotLimitAfterPause(
  state: AdmissionState,
  now: number,
): number {
  return rampLimitAt(state, Math.max(now, state.pausedUntil));
}

/**
 * Begins the ramp of an upstream that has just started.
 *
 * @example
 * coldRamp(createState(12, parameters), now).from; // 3 with a cold share of 0.25
 */
export function coldRamp(state: AdmissionState, now: number): Ramp {
  const initialSlots = Math.ceil(state.slots * state.parameters.coldShare);
  return {initialSlots: Math.max(1, initialSlots), startedAt: now};
}

function rampLimitAt(state: AdmissionState, now: number): number {
  const {initialSlots: initialSlots, startedAt} = state.ramp;
  const {slots, parameters} = state;
  const elapsedMs = now - startedAt;
  if (elapsedMs >= parameters.rampMs || initialSlots >= slots) return slots;
  const fraction = Math.max(0, elapsedMs) / parameters.rampMs;
  const slotLimit = Math.floor(
    initialSlots + (slots - initialSlots) * fraction + ROUNDING_TOLERANCE_SLOTS,
  );
  return Math.min(slots, Math.max(1, slotLimit));
}

// Keeps a rise computed by nextRiseAt from being missed by a rounding error.
const ROUNDING_TOLERANCE_SLOTS = 1e-9;
