import {cautiousMs, meanMs} from './estimate.js';
import {limitAfterPause} from './limit.js';
import type {AdmissionState, Work} from './state.js';

/** What is expected of the slots, as of one moment. */
export interface Forecast {
  /** Time left of a pause that the upstream asked for. */
  readonly pauseMs: number;
  /** Requests that can start without waiting for another to finish. */
  readonly free: number;
  /** Expected time until the next slot becomes free. */
  readonly firstMs: number;
  /** Expected time between slots becoming free. */
  readonly gapMs: number;
}

/**
 * Forecasts when slots become free. A slot count of 0 yields infinite times.
 * When no request has finished for longer than one should take, the upstream
 * is taken to be stalled and the next is expected no sooner than after the
 * same time again.
 *
 * @example
 * startMs(forecast(state, now), 3); // time until the fourth in the queue starts
 */
export function forecast(state: AdmissionState, now: number): Forecast {
  const pauseMs = Math.max(0, state.pausedUntil - now);
  const limit = limitAfterPause(state, now);
  const busy = pauseMs > 0 ? 0 : state.running.length;
  const gapMs = limit > 0 ? averageMeanMs(state) / limit : Infinity;
  const stalledMs = pauseMs > 0 ? 0 : stalledForMs(state, now);
  const firstMs = Math.max(gapMs, stalledMs);
  return {pauseMs, free: limit - busy, firstMs, gapMs};
}

/**
 * Returns the expected time until a request with `ahead` others before it
 * starts, in milliseconds.
 *
 * @example
 * startMs({pauseMs: 0, free: 0, firstMs: 5, gapMs: 2}, 1); // 7
 */
export function startMs(expected: Forecast, ahead: number): number {
  const finishes = ahead + 1 - expected.free;
  if (finishes <= 0) return expected.pauseMs;
  if (expected.gapMs === Infinity) return Infinity;
  return expected.pauseMs + expected.firstMs + (finishes - 1) * expected.gapMs;
}

/**
 * Returns the time by which a request must start to be likely to make its
 * deadline.
 *
 * @example
 * latestStartAt(state, {...work, deadlineAt: 1000}); // 1000 less the service time
 */
export function latestStartAt(state: AdmissionState, work: Work): number {
  return work.deadlineAt - cautiousMs(state.estimates, work.service);
}

function averageMeanMs(state: AdmissionState): number {
  const {estimates, running, waiting} = state;
  if (estimates.length === 0) return 0;
  if (estimates.length === 1) return estimates[0].meanMs;
  const count = running.length + waiting.length;
  if (count === 0) return 0;
  const sum = (total: number, work: Work) =>
    total + meanMs(estimates, work.service);
  const ofWaiting = waiting.reduce(sum, 0);
  const ofAll = running.reduce((t, entry) => sum(t, entry.work), ofWaiting);
  return ofAll / count;
}

function stalledForMs(state: AdmissionState, now: number): number {
  const newest = state.running.at(-1);
  if (!newest) return 0;
  const quietMs = now - Math.max(state.lastFinishAt, newest.startedAt);
  const usualMs = cautiousMs(state.estimates, newest.work.service);
  return quietMs > usualMs ? quietMs : 0;
}
