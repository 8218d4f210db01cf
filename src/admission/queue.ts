import {cautiousMs} from './estimate.js';
import {aheadOf, forecast, startMs} from './forecast.js';
import {enqueue, outranks} from './order.js';
import {fill} from './slots.js';
import {
  replaceWaiting,
  unchanged,
  type AdmissionState,
  type Step,
  type Verdict,
  type Waiting,
  type Work,
} from './state.js';
import {refuseLate} from './verdict.js';

/**
 * Queues a request, unless it would miss its deadline or the queue is full.
 *
 * @example
 * wait(state, work, 5, now).state.waiting;
 */
export function wait(
  state: AdmissionState,
  work: Work,
  expectedMs: number,
  now: number,
): Step {
  const latestStartAt =
    work.deadlineAt - cautiousMs(state.estimates, work.service, now);
  const waiting = enqueue(state, work, expectedMs, latestStartAt);
  const index = waiting.findIndex(other => other.id === work.id);
  const entry = waiting[index];
  const startsInMs = startMs(
    forecast(state, now, work.priority),
    aheadOf(waiting, index),
    entry,
  );
  const victim = findVictim(state, waiting, entry);
  const isFull = victim !== undefined && !outranks(entry, victim);
  if (isFull || now + startsInMs >= latestStartAt) {
    return {state, verdicts: [refuseLate(entry, startsInMs)]};
  }
  const queued = replaceWaiting(state, waiting);
  const evicted = victim ? evict(queued, victim, now) : unchanged(queued);
  const late = refuseFrom(evicted.state, index + 1, now);
  const filled = fill(late.state, now);
  const verdicts = [...evicted.verdicts, ...late.verdicts, ...filled.verdicts];
  return {state: filled.state, verdicts};
}

/**
 * Returns the request to give up when a queue that has just taken a request
 * holds too many: of the same key, or in all.
 */
function findVictim(
  state: AdmissionState,
  waiting: readonly Waiting[],
  entry: Waiting,
): Waiting | undefined {
  const {queueLimit, keyShare} = state.parameters;
  if (entry.key !== undefined) {
    const sameKey = waiting.filter(other => other.key === entry.key);
    const limit = Math.max(1, Math.floor(queueLimit * keyShare));
    if (sameKey.length > limit) return sameKey.at(-1);
  }
  return waiting.length > queueLimit ? waiting.at(-1) : undefined;
}

function evict(state: AdmissionState, victim: Waiting, now: number): Step {
  const index = state.waiting.indexOf(victim);
  const startsInMs = startMs(
    forecast(state, now, victim.priority),
    aheadOf(state.waiting, index),
    victim,
  );
  return {
    state: replaceWaiting(state, state.waiting.toSpliced(index, 1)),
    verdicts: [refuseLate(victim, startsInMs)],
  };
}

/**
 * Gives up the requests from a place in the queue that can't make their
 * deadline.
 *
 * @example
 * refuseFrom(state, 0, now).verdicts;
 */
export function refuseFrom(
  state: AdmissionState,
  from: number,
  now: number,
): Step {
  const {waiting} = state;
  if (from >= waiting.length) return unchanged(state);
  const kept = waiting.slice(0, from);
  const verdicts: Verdict[] = [];
  let {workMs} = aheadOf(waiting, from);
  let {priority} = waiting[from];
  let expected = forecast(state, now, priority);
  for (const entry of waiting.slice(from)) {
    if (entry.priority !== priority) {
      priority = entry.priority;
      expected = forecast(state, now, priority);
    }
    const startsInMs = startMs(expected, {count: kept.length, workMs}, entry);
    if (now + startsInMs >= entry.latestStartAt) {
      verdicts.push(refuseLate(entry, startsInMs));
    } else {
      kept.push(entry);
      workMs += entry.expectedMs;
    }
  }
  if (verdicts.length === 0) return unchanged(state);
  return {state: replaceWaiting(state, kept), verdicts};
}
