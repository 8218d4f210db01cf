import {upperBoundMs} from './estimate.js';
import {requestsAhead, forecast, startDelayMs} from './forecast.js';
import {enqueue, outranks} from './order.js';
import {fillSlots} from './slots.js';
import {
  replaceWaiting,
  unchanged,
  type AdmissionState,
  type Transition,
  type Verdict,
  type WaitingRequest,
  type TrackedRequest,
} from './state.js';
import {refuseOverloaded} from './verdict.js';

/**
 * Queues a request, unless it would miss its deadline or the queue is full.
 *
 * @example
 * wait(state, work, 5, now).state.waiting;
 */
export function enqueueOrRefuse(
  state: AdmissionState,
  request: TrackedRequest,
  expectedMs: number,
  now: number,
): Transition {
  const latestStartAt =
    request.deadlineAt - upperBoundMs(state.estimates, request.service, now);
  const waiting = enqueue(state, request, expectedMs, latestStartAt);
  const index = waiting.findIndex(other => other.id === request.id);
  const entry = waiting[index];
  const delayMs = startDelayMs(
    forecast(state, now, request.priority),
    requestsAhead(waiting, index),
    entry,
  );
  const victim = findVictim(state, waiting, entry);
  const isFull = victim !== undefined && !outranks(entry, victim);
  if (isFull || now + delayMs >= latestStartAt) {
    return {state, verdicts: [refuseOverloaded(entry, delayMs)]};
  }
  const queued = replaceWaiting(state, waiting);
  const evicted = victim ? evict(queued, victim, now) : unchanged(queued);
  const late = refuseLateFrom(evicted.state, index + 1, now);
  const filled = fillSlots(late.state, now);
  const verdicts = [...evicted.verdicts, ...late.verdicts, ...filled.verdicts];
  return {state: filled.state, verdicts};
}

/**
 * Returns the request to give up when a queue that has just taken a request
 * holds too many: of the same key, or in all.
 */
function findVictim(
  state: AdmissionState,
  waiting: readonly WaitingRequest[],
  entry: WaitingRequest,
): WaitingRequest | undefined {
  const {queueLimit, keyShare} = state.parameters;
  if (entry.key !== undefined) {
    const sameKey = waiting.filter(other => other.key === entry.key);
    const limit = Math.max(1, Math.floor(queueLimit * keyShare));
    if (sameKey.length > limit) return sameKey.at(-1);
  }
  return waiting.length > queueLimit ? waiting.at(-1) : undefined;
}

function evict(
  state: AdmissionState,
  victim: WaitingRequest,
  now: number,
): Transition {
  const index = state.waiting.indexOf(victim);
  const delayMs = startDelayMs(
    forecast(state, now, victim.priority),
    requestsAhead(state.waiting, index),
    victim,
  );
  return {
    state: replaceWaiting(state, state.waiting.toSpliced(index, 1)),
    verdicts: [refuseOverloaded(victim, delayMs)],
  };
}

/**
 * Gives up the requests from a place in the queue that can't make their
 * deadline.
 *
 * @example
 * refuseFrom(state, 0, now).verdicts;
 */
export function refuseLateFrom(
  state: AdmissionState,
  from: number,
  now: number,
): Transition {
  const {waiting} = state;
  if (from >= waiting.length) return unchanged(state);
  const kept = waiting.slice(0, from);
  const verdicts: Verdict[] = [];
  let {workMs} = requestsAhead(waiting, from);
  let {priority} = waiting[from];
  let expected = forecast(state, now, priority);
  for (const entry of waiting.slice(from)) {
    if (entry.priority !== priority) {
      priority = entry.priority;
      expected = forecast(state, now, priority);
    }
    const delayMs = startDelayMs(expected, {count: kept.length, workMs}, entry);
    if (now + delayMs >= entry.latestStartAt) {
      verdicts.push(refuseOverloaded(entry, delayMs));
    } else {
      kept.push(entry);
      workMs += entry.expectedMs;
    }
  }
  if (verdicts.length === 0) return unchanged(state);
  return {state: replaceWaiting(state, kept), verdicts};
}
