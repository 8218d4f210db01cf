import {demandAbove} from './demand.js';
import {cautiousMs} from './estimate.js';
import {limitAfterPause} from './limit.js';
import type {AdmissionState, Waiting} from './state.js';

/** What is expected of the slots for the requests of one class. */
export interface Forecast {
  /** Time left of a pause that the upstream asked for. */
  readonly pauseMs: number;
  /** Requests that can start without waiting for another to finish. */
  readonly free: number;
  /** Expected time until the next slot becomes free. */
  readonly firstMs: number;
  /** Slots in use once a pause is over. */
  readonly limit: number;
  /** Share of the slots that the arrivals of higher classes leave. */
  readonly shareLeft: number;
}

/** The requests that are before another in the queue. */
export interface Ahead {
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
 * startMs(forecast(state, now, 2), {count: 3, workMs: 30});
 */
export function forecast(
  state: AdmissionState,
  now: number,
  priority: number,
): Forecast {
  const pauseMs = Math.max(0, state.pausedUntil - now);
  const limit = limitAfterPause(state, now);
  const left = 1 - demandAbove(state.demand, priority, now) / limit;
  const shareLeft = Math.max(0, left);
  const busy = pauseMs > 0 ? 0 : state.running.length;
  const firstMs =
    pauseMs > 0 ? 0 : Math.max(nextFinishMs(state), stalledForMs(state, now));
  return {pauseMs, free: limit - busy, firstMs, limit, shareLeft};
}

/**
 * Returns the expected time until a request starts, in milliseconds; infinity
 * when there are no slots or higher classes fill them all.
 *
 * @example
 * startMs({pauseMs: 0, free: 0, firstMs: 5, limit: 2, shareLeft: 1}, {count: 1, workMs: 4}); // 7
 */
export function startMs(expected: Forecast, ahead: Ahead): number {
  const {pauseMs, free, firstMs, limit, shareLeft} = expected;
  if (limit === 0) return Infinity;
  const finishes = ahead.count + 1 - free;
  if (finishes <= 0) return pauseMs;
  if (shareLeft === 0) return Infinity;
  const gapMs = ahead.count === 0 ? 0 : ahead.workMs / ahead.count / limit;
  return pauseMs + (firstMs + (finishes - 1) * gapMs) / shareLeft;
}

/**
 * Sums up the requests before a place in the queue.
 *
 * @example
 * aheadOf(state.waiting, 0); // {count: 0, workMs: 0}
 */
export function aheadOf(waiting: readonly Waiting[], place: number): Ahead {
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

function stalledForMs(state: AdmissionState, now: number): number {
  const newest = state.running.at(-1);
  if (!newest) return 0;
  const quietMs = now - Math.max(state.lastFinishAt, newest.startedAt);
  const usualMs = cautiousMs(state.estimates, newest.work.service);
  return quietMs > usualMs ? quietMs : 0;
}
