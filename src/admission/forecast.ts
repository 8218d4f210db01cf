import {demandAbove} from './demand.js';
import {cautiousMs} from './estimate.js';
import {limitAfterPause, untilAllowedMs} from './limit.js';
import {countCallers, virtualTimeOf} from './order.js';
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
  readonly virtualTime: number;
  /** Time until the upstream's limit allows one more behind others. */
  readonly untilAllowedMs: (ahead: number) => number;
  /** Counts the callers that wait in the class. */
  readonly callers: () => number;
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
 * startMs(forecast(state, now, 2), {count: 3, workMs: 30}, entry);
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
  const virtualTime = virtualTimeOf(state.progress, priority);
  let counted: number | undefined;
  const callers = () => (counted ??= countCallers(state.waiting, priority));
  const free = limit - busy;
  return {
    pauseMs,
    free,
    firstMs,
    limit,
    shareLeft,
    virtualTime,
    untilAllowedMs: ahead => untilAllowedMs(state, ahead, now),
    callers,
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
export function startMs(
  expected: Forecast,
  ahead: Ahead,
  entry: Waiting,
): number {
  const rounds = entry.round - expected.virtualTime;
  const passing = rounds > 0 ? rounds * expected.callers() : 0;
  const before = Math.max(ahead.count, passing);
  const slotMs = untilSlotMs(expected, ahead, before, entry);
  return Math.max(slotMs, expected.untilAllowedMs(before));
}

function untilSlotMs(
  expected: Forecast,
  ahead: Ahead,
  before: number,
  entry: Waiting,
): number {
  const {pauseMs, free, firstMs, limit, shareLeft} = expected;
  if (limit === 0) return Infinity;
  const finishes = before + 1 - free;
  if (finishes <= 0) return pauseMs;
  if (shareLeft === 0) return Infinity;
  const workMs =
    ahead.count === 0 ? entry.expectedMs : ahead.workMs / ahead.count;
  const gapMs = workMs / limit;
  return pauseMs + (firstMs + Math.max(0, finishes - 1) * gapMs) / shareLeft;
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
  const usualMs = cautiousMs(state.estimates, newest.work.service, now);
  return quietMs > usualMs ? quietMs : 0;
}
