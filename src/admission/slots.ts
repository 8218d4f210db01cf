import {observeTime} from './estimate.js';
import {forecast} from './forecast.js';
import {sendOne} from './allowance.js';
import {limitAt, mayStart} from './limit.js';
import {advance, countCallers} from './order.js';
import {
  replaceFinished,
  replaceRequests,
  replaceWaiting,
  unchanged,
  type AdmissionState,
  type Completion,
  type Step,
  type Verdict,
  type Work,
} from './state.js';
import {refuseLate} from './verdict.js';

/**
 * Gives a slot to a request.
 *
 * @example
 * start(state, work, 5, now).verdicts; // [{kind: 'admitted', work}]
 */
export function start(
  state: AdmissionState,
  work: Work,
  expectedMs: number,
  now: number,
): Step {
  const running = [...state.running, {work, startedAt: now, expectedMs}];
  const {waiting, progress} = state;
  const next = replaceRequests(state, running, waiting, progress);
  return {
    state: countStart(next, now),
    verdicts: [{kind: 'admitted', work}],
  };
}

function countStart(state: AdmissionState, now: number): AdmissionState {
  const {allowance} = state;
  return allowance ? {...state, allowance: sendOne(allowance, now)} : state;
}

/**
 * Takes the slot of a request that has ended and gives it to the next.
 *
 * @example
 * finish(state, work.id, 'ran', now);
 */
export function finish(
  state: AdmissionState,
  id: number,
  completion: Completion,
  now: number,
): Step {
  const {running} = state;
  const index = running.findIndex(entry => entry.work.id === id);
  if (index < 0) return unchanged(state);
  const {work, startedAt} = running[index];
  const estimates =
    completion === 'ran'
      ? observeTime(state.estimates, work.service, now - startedAt, now)
      : state.estimates;
  const rest = running.toSpliced(index, 1);
  return fill(replaceFinished(state, rest, estimates, now), now);
}

/**
 * Gives free slots to waiting requests.
 *
 * @example
 * fill(state, now).state.running;
 */
export function fill(before: AdmissionState, now: number): Step {
  if (before.waiting.length === 0) return unchanged(before);
  const limit = limitAt(before, now);
  const verdicts: Verdict[] = [];
  let state = before;
  while (state.waiting.length > 0 && mayStart(state, now)) {
    const step = takeNext(state, limit, now);
    verdicts.push(...step.verdicts);
    state = step.state;
  }
  return {state, verdicts};
}

function takeNext(state: AdmissionState, limit: number, now: number): Step {
  const {running, progress} = state;
  const index = nextIndex(state, limit);
  const entry = state.waiting[index];
  const waiting = state.waiting.toSpliced(index, 1);
  if (now >= entry.latestStartAt) {
    const {firstMs} = forecast(state, now, entry.priority);
    const rest = replaceWaiting(state, waiting);
    return {state: rest, verdicts: [refuseLate(entry, firstMs)]};
  }
  const callers = countCallers(state.waiting, entry.priority);
  const moved = advance(progress, entry, callers);
  const kept = waiting.length === 0 ? [] : moved;
  const rest = replaceRequests(state, running, waiting, kept);
  return start(rest, entry, entry.expectedMs, now);
}

/**
 * Returns the place of the next request to admit: the first of its class whose
 * key holds less than its share of the slots, or else the first of all.
 */
function nextIndex(state: AdmissionState, limit: number): number {
  const {waiting, running, parameters} = state;
  const keyLimit = Math.max(1, Math.floor(limit * parameters.keyShare));
  const holdsShare = (key: string | undefined) =>
    key !== undefined && countOf(running, key) >= keyLimit;
  const {priority} = waiting[0];
  for (let i = 0; i < waiting.length; i++) {
    if (waiting[i].priority !== priority) return 0;
    if (!holdsShare(waiting[i].key)) return i;
  }
  return 0;
}

function countOf(running: AdmissionState['running'], key: string): number {
  let count = 0;
  for (const entry of running) {
    if (entry.work.key === key) count++;
  }
  return count;
}
