import {recordDuration} from './estimate.js';
import {forecast} from './forecast.js';
import {takeToken} from './bucket.js';
import {slotLimitAt, mayStart} from './limit.js';
import {advanceProgress, countCallers} from './order.js';
import {
  replaceFinished,
  replaceRequests,
  replaceWaiting,
  unchanged,
  type AdmissionState,
  type Completion,
  type Transition,
  type Verdict,
  type TrackedRequest,
} from './state.js';
import {refuseOverloaded} from './verdict.js';

/**
 * Gives a slot to a request.
 *
 * @example
 * start(state, work, 5, now).verdicts; // [{kind: 'admitted', work}]
 */
export function startRequest(
  state: AdmissionState,
  work: TrackedRequest,
  expectedMs: number,
  now: number,
): Transition {
  const running = [...state.running, {work, startedAt: now, expectedMs}];
  const {waiting, progress} = state;
  const next = replaceRequests(state, running, waiting, progress);
  return {
    state: consumeToken(next, now),
    verdicts: [{kind: 'admitted', request: work}],
  };
}

function consumeToken(state: AdmissionState, now: number): AdmissionState {
  const {bucket: bucket} = state;
  return bucket ? {...state, bucket: takeToken(bucket, now)} : state;
}

/**
 * Takes the slot of a request that has ended and gives it to the next.
 *
 * @example
 * finish(state, work.id, 'ran', now);
 */
export function finishRequest(
  state: AdmissionState,
  id: number,
  completion: Completion,
  now: number,
): Transition {
  const {running} = state;
  const index = running.findIndex(entry => entry.request.id === id);
  if (index < 0) return unchanged(state);
  const {request: request, startedAt} = running[index];
  const estimates =
    completion === 'ran'
      ? recordDuration(state.estimates, request.service, now - startedAt, now)
      : state.estimates;
  const rest = running.toSpliced(index, 1);
  return fillSlots(replaceFinished(state, rest, estimates, now), now);
}

/**
 * Gives free slots to waiting requests.
 *
 * @example
 * fill(state, now).state.running;
 */
export function fillSlots(before: AdmissionState, now: number): Transition {
  if (before.waiting.length === 0) return unchanged(before);
  const slotLimit = slotLimitAt(before, now);
  const verdicts: Verdict[] = [];
  let state = before;
  while (state.waiting.length > 0 && mayStart(state, now)) {
    const transition = startNext(state, slotLimit, now);
    verdicts.push(...transition.verdicts);
    state = transition.state;
  }
  return {state, verdicts};
}

function startNext(
  state: AdmissionState,
  slotLimit: number,
  now: number,
): Transition {
  const {running, progress} = state;
  const index = nextIndex(state, slotLimit);
  const entry = state.waiting[index];
  const waiting = state.waiting.toSpliced(index, 1);
  if (now >= entry.latestStartAt) {
    const {nextSlotMs: nextSlotMs} = forecast(state, now, entry.priority);
    const rest = replaceWaiting(state, waiting);
    return {state: rest, verdicts: [refuseOverloaded(entry, nextSlotMs)]};
  }
  const callers = countCallers(state.waiting, entry.priority);
  const moved = advanceProgress(progress, entry, callers);
  const kept = waiting.length === 0 ? [] : moved;
  const rest = replaceRequests(state, running, waiting, kept);
  return startRequest(rest, entry, entry.expectedMs, now);
}

/**
 * Returns the place of the next request to admit: the first of its class whose
 * key holds less than its share of the slots, or else the first of all.
 */
function nextIndex(state: AdmissionState, slotLimit: number): number {
  const {waiting, running, parameters} = state;
  const keyLimit = Math.max(1, Math.floor(slotLimit * parameters.keyShare));
  const holdsShare = (key: string | undefined) =>
    key !== undefined && countRunning(running, key) >= keyLimit;
  const {priority} = waiting[0];
  for (let i = 0; i < waiting.length; i++) {
    if (waiting[i].priority !== priority) return 0;
    if (!holdsShare(waiting[i].key)) return i;
  }
  return 0;
}

function countRunning(running: AdmissionState['running'], key: string): number {
  let count = 0;
  for (const entry of running) {
    if (entry.request.key === key) count++;
  }
  return count;
}
