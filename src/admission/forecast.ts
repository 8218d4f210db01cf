import {demandAbove} from './demand.js';
import {upperBoundMs} from './estimate.js';
import {slotLimitAfterPause, rateDelayMs} from './limit.js';
import {countCallers, virtualTimeOf} from './order.js';
import type {AdmissionState, WaitingRequest} from './state.js';

/** Expected availability of slots for one priority class. */
export interface Forecast {
  /** Remaining time of a pause requested by the upstream. */
  readonly pauseMs: number;
  /** Number of requests that can start before another one finishes. */
  readonly freeSlots: number;
  /** Expected time until the next slot is freed. */
  readonly nextSlotMs: number;
  /** Slot limit at the end of the pause. */
  readonly slotLimit: number;
  /** Share of the slots that the arrivals of higher classes do not use. */
  readonly freeShare: number;
  readonly virtualTime: number;
  /** Returns the time until the rate limit allows a request behind others. */
  readonly rateDelayMs: (ahead: number) => number;
  /** Returns the number of callers that have queued requests in the class. */
  readonly countWaitingCallers: () => number;
}

/** The requests ahead of another one in the queue. */
export interface RequestsAhead {
  readonly count: number;
  /** Sum of their expected service times. */
  readonly workMs: number;
}

/**
 * Estimates when slots become available to a class. Assumes that requests of
 * higher classes continue to arrive at their recent rate. If no request has
 * finished for longer than one should take, treats the upstream as stalled and
 * expects the next finish no sooner than after the same time again.
 *
 * @example
 * startDelayMs(forecast(state, now, 2), {count: 3, workMs: 30}, entry);
 */
export function forecast(
  state: AdmissionState,
  now: number,
  priority: number,
): Forecast {
  const pauseMs = Math.max(0, state.pausedUntil - now);
  const slotLimit = slotLimitAfterPause(state, now);
  const left = 1 - demandAbove(state.demand, priority, now) / slotLimit;
  const freeShare = Math.max(0, left);
  const busy = pauseMs > 0 ? 0 : state.running.length;
  const nextSlotMs =
    pauseMs > 0 ? 0 : Math.max(nextFinishMs(state), stallMs(state, now));
  const virtualTime = virtualTimeOf(state.progress, priority);
  let counted: number | undefined;
  const countWaitingCallers = () =>
    (counted ??= countCallers(state.waiting, priority));
  const freeSlots = slotLimit - busy;
  return {
    pauseMs,
    freeSlots,
    nextSlotMs,
    slotLimit,
    freeShare,
    virtualTime,
    rateDelayMs: ahead => rateDelayMs(state, ahead, now),
    countWaitingCallers,
  };
}

/**
 * Returns the expected time until a request starts, in milliseconds; infinity
 * if there are no slots or higher classes use all of them. Assumes that other
 * callers overtake a request until its round is reached.
 *
 * @example
 * startDelayMs(forecast(state, now, 2), {count: 3, workMs: 30}, entry);
 */
export function startDelayMs(
  expected: Forecast,
  ahead: RequestsAhead,
  entry: WaitingRequest,
): number {
  const rounds = entry.round - expected.virtualTime;
  const passing = rounds > 0 ? rounds * expected.countWaitingCallers() : 0;
  const aheadCount = Math.max(ahead.count, passing);
  const slotMs = slotDelayMs(expected, ahead, aheadCount, entry);
  return Math.max(slotMs, expected.rateDelayMs(aheadCount));
}

function slotDelayMs(
  expected: Forecast,
  ahead: RequestsAhead,
  aheadCount: number,
  entry: WaitingRequest,
): number {
  const {pauseMs, freeSlots, nextSlotMs, slotLimit, freeShare} = expected;
  if (slotLimit === 0) return Infinity;
  const finishes = aheadCount + 1 - freeSlots;
  if (finishes <= 0) return pauseMs;
  if (freeShare === 0) return Infinity;
  const workMs =
    ahead.count === 0 ? entry.expectedMs : ahead.workMs / ahead.count;
  const gapMs = workMs / slotLimit;
  return pauseMs + (nextSlotMs + Math.max(0, finishes - 1) * gapMs) / freeShare;
}

/**
 * Returns the number and the total work of the requests before an index of the
 * queue.
 *
 * @example
 * requestsAhead(state.waiting, 0); // {count: 0, workMs: 0}
 */
export function requestsAhead(
  waiting: readonly WaitingRequest[],
  place: number,
): RequestsAhead {
  let workMs = 0;
  for (let i = 0; i < place; i++) workMs += waiting[i].expectedMs;
  return {count: place, workMs};
}

/** Expected time until the first of several independent requests finishes. */
function nextFinishMs(state: AdmissionState): number {
  let perMs = 0;
  for (const entry of state.running) perMs += 1 / entry.expectedMs;
  return perMs === 0 ? 0 : 1 / perMs;
}

function stallMs(state: AdmissionState, now: number): number {
  const newest = state.running.at(-1);
  if (!newest) return 0;
  const sinceProgressMs = now - Math.max(state.lastFinishAt, newest.startedAt);
  const upperMs = upperBoundMs(state.estimates, newest.request.service, now);
  return sinceProgressMs > upperMs ? sinceProgressMs : 0;
}
