import {demandAbove} from './demand.js';
import {upperBoundMs} from './estimate.js';
import {slotLimitAfterPause, rateDelayMs} from './limit.js';
import {countCallers, virtualTimeOf} from './order.js';
import type {AdmissionState, WaitingRequest} from './state.js';

/** What is expected of the slots for the requests of one class. */
export interface Forecast {
  /** Time left of a pause that the upstream asked for. */
  readonly pauseMs: number;
  /** Requests that can start without waiting for another to finish. */
  readonly freeSlots: number;
  /** Expected time until the next slot becomes free. */
  readonly nextSlotMs: number;
  /** Slots in use once a pause is over. */
  readonly slotLimit: number;
  /** Share of the slots that the arrivals of higher classes leave. */
  readonly freeShare: number;
  readonly virtualTime: number;
  /** Time until the upstream's limit allows one more behind others. */
  readonly rateDelayMs: (ahead: number) => number;
  /** Counts the callers that wait in the class. */
  readonly countWaitingCallers: () => number;
}

/** The requests that are before another in the queue. */
export interface RequestsAhead {
  readonly count: number;
  /** Sum of the times that they are expected to take. */
  readonly workMs: number;
}

/**
 * Forecasts when slots become free for a class. Higher classes are expected to
 * go on arriving as they did of late. When no request has finished for longer
 * than one should take, the upstream is taken to be stalled and the next is
 * expected no sooner than after the same time again.
 *
 * @example
 * startMs(forecast(state, now, 2), {count: 3, workMs: 30}, entry);
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
    freeSlots: freeSlots,
    nextSlotMs: nextSlotMs,
    slotLimit: slotLimit,
    freeShare: freeShare,
    virtualTime,
    rateDelayMs: ahead => rateDelayMs(state, ahead, now),
    countWaitingCallers: countWaitingCallers,
  };
}

/**
 * Returns the expected time until a request starts, in milliseconds; infinity
 * when there are no slots or higher classes fill them all. A request of a later
 * round is expected to be passed by other callers until its round is due.
 *
 * @example
 * startMs(forecast(state, now, 2), {count: 3, workMs: 30}, entry);
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
  const {
    pauseMs,
    freeSlots: freeSlots,
    nextSlotMs: nextSlotMs,
    slotLimit: slotLimit,
    freeShare: freeShare,
  } = expected;
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
 * Sums up the requests before a place in the queue.
 *
 * @example
 * aheadOf(state.waiting, 0); // {count: 0, workMs: 0}
 */
export function requestsAhead(
  waiting: readonly WaitingRequest[],
  place: number,
): RequestsAhead {
  let workMs = 0;
  for (let i = 0; i < place; i++) workMs += waiting[i].expectedMs;
  return {count: place, workMs};
}

/** Mean time to the first of several independent finishes. */
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
