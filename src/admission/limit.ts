import {hasToken, tokenAvailableAt} from './bucket.js';
import type {AdmissionState, Ramp} from './state.js';

/**
 * Returns the number of requests that may hold a slot now: none during a pause
 * requested by Retry-After, an increasing number during a ramp, otherwise all.
 *
 * @example
 * slotLimitAt(createState(12, parameters), now); // 12
 */
export function slotLimitAt(state: AdmissionState, now: number): number {
  if (now < state.pausedUntil) return 0;
  return rampLimitAt(state, now);
}

/**
 * Returns whether the slot limit and the rate limit allow another request now.
 *
 * @example
 * mayStart(createState(12, parameters), now); // true
 */
export function mayStart(state: AdmissionState, now: number): boolean {
  const {running, bucket} = state;
  return running.length < slotLimitAt(state, now) && hasToken(bucket, now);
}

/**
 * Returns the time until the rate limit of the upstream allows a request, in
 * milliseconds; 0 without a rate limit.
 *
 * @param ahead Number of requests that start before it.
 *
 * @example
 * rateDelayMs(createState(12, parameters), 3, now); // 0
 */
export function rateDelayMs(
  {bucket}: AdmissionState,
  ahead: number,
  now: number,
): number {
  return bucket ? Math.max(0, tokenAvailableAt(bucket, ahead) - now) : 0;
}

/**
 * Returns the time at which the slot limit next increases, or infinity.
 *
 * @example
 * nextIncreaseAt(createState(12, parameters), now); // Infinity
 */
export function nextIncreaseAt(state: AdmissionState, now: number): number {
  if (now < state.pausedUntil) return state.pausedUntil;
  const slotLimit = rampLimitAt(state, now);
  if (slotLimit >= state.slots) return Infinity;
  const {initialSlots, startedAt} = state.ramp;
  const fraction =
    (slotLimit + 1 - initialSlots) / (state.slots - initialSlots);
  return startedAt + fraction * state.parameters.rampMs;
}

/**
 * Returns the slot limit at the end of the current pause, or now without a pause.
 *
 * @example
 * slotLimitAfterPause({...state, pausedUntil: now + 1000}, now);
 */
export function slotLimitAfterPause(
  state: AdmissionState,
  now: number,
): number {
  return rampLimitAt(state, Math.max(now, state.pausedUntil));
}

/**
 * Creates the ramp of an upstream that has just started.
 *
 * @example
 * coldRamp(createState(12, parameters), now).initialSlots; // 3 with a cold share of 0.25
 */
export function coldRamp(state: AdmissionState, now: number): Ramp {
  const initialSlots = Math.ceil(state.slots * state.parameters.coldShare);
  return {initialSlots: Math.max(1, initialSlots), startedAt: now};
}

function rampLimitAt(state: AdmissionState, now: number): number {
  const {initialSlots, startedAt} = state.ramp;
  const {slots, parameters} = state;
  const elapsedMs = now - startedAt;
  if (elapsedMs >= parameters.rampMs || initialSlots >= slots) return slots;
  const fraction = Math.max(0, elapsedMs) / parameters.rampMs;
  const slotLimit = Math.floor(
    initialSlots + (slots - initialSlots) * fraction + ROUNDING_TOLERANCE_SLOTS,
  );
  return Math.min(slots, Math.max(1, slotLimit));
}

// Prevents a rounding error from missing an increase computed by `nextIncreaseAt`.
const ROUNDING_TOLERANCE_SLOTS = 1e-9;
