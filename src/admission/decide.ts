import {observeDemand} from './demand.js';
import {cautiousMs, meanMs, observeTime} from './estimate.js';
import {aheadOf, forecast, startMs} from './forecast.js';
import {coldRamp, limitAt, nextRiseAt} from './limit.js';
import {advance, countCallers, enqueue, outranks} from './order.js';
import {
  checkCount,
  replaceFinished,
  replaceRequests,
  type AdmissionEvent,
  type AdmissionState,
  type Completion,
  type RefusedVerdict,
  type Step,
  type Verdict,
  type Waiting,
  type Work,
} from './state.js';

/** Longest Retry-After of an upstream that is obeyed. */
export const PAUSE_LIMIT_MS = 60_000;

/** Retry-After of a refusal when no end of the overload can be foreseen. */
export const UNKNOWN_RETRY_AFTER_MS = 1000;

const SHED_FACTOR = 0.5;
const NO_VERDICTS: readonly Verdict[] = [];

/**
 * Applies an event and returns the new state with the answers it brought about.
 *
 * @param now Time in milliseconds, of the clock of all times in the state.
 * @throws {RangeError} when an event carries a number out of its range.
 *
 * @example
 * const {state, verdicts} = decide(before, {kind: 'arrive', work}, now);
 */
export function decide(
  state: AdmissionState,
  event: AdmissionEvent,
  now: number,
): Step {
  switch (event.kind) {
    case 'arrive':
      return arrive(state, event.work, now);
    case 'finish':
      return finish(state, event.id, event.completion, now);
    case 'cancel':
      return cancel(state, event.id);
    case 'shed':
      return shed(state, event.retryAfterMs, now);
    case 'slots':
      return setSlots(state, event.slots, now);
    case 'restart':
      return reconsider({...state, ramp: coldRamp(state, now)}, now);
    case 'tick':
      return reconsider(state, now);
  }
}

/**
 * Returns the time at which a `tick` is due, or infinity: a waiting request is
 * to be given up, or the limit rises.
 *
 * @example
 * nextTickAt(createState(12, parameters), now); // Infinity
 */
export function nextTickAt(state: AdmissionState, now: number): number {
  if (state.waiting.length === 0) return Infinity;
  let at = nextRiseAt(state, now);
  for (const entry of state.waiting) at = Math.min(at, entry.latestStartAt);
  return at;
}

function arrive(state: AdmissionState, work: Work, now: number): Step {
  const {running, waiting, estimates} = state;
  const expectedMs = meanMs(estimates, work.service);
  if (now + expectedMs >= work.deadlineAt) {
    return {state, verdicts: [refuse(work, 'deadline', 0)]};
  }
  if (waiting.length === 0 && running.length < limitAt(state, now)) {
    return start(state, work, expectedMs, now);
  }
  const demand = observeDemand(state.demand, work.priority, expectedMs, now);
  return wait({...state, demand}, work, expectedMs, now);
}

function start(
  state: AdmissionState,
  work: Work,
  expectedMs: number,
  now: number,
): Step {
  const running = [...state.running, {work, startedAt: now, expectedMs}];
  const {waiting, progress} = state;
  return {
    state: replaceRequests(state, running, waiting, progress),
    verdicts: [{kind: 'admitted', work}],
  };
}

/** Queues a request, unless it would miss its deadline or the queue is full. */
function wait(
  state: AdmissionState,
  work: Work,
  expectedMs: number,
  now: number,
): Step {
  const latestStartAt =
    work.deadlineAt - cautiousMs(state.estimates, work.service);
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
  const queued = withWaiting(state, waiting);
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
    state: withWaiting(state, state.waiting.toSpliced(index, 1)),
    verdicts: [refuseLate(victim, startsInMs)],
  };
}

/** Gives up the requests from a place in the queue that can't make their deadline. */
function refuseFrom(state: AdmissionState, from: number, now: number): Step {
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
  return {state: withWaiting(state, kept), verdicts};
}

/**
 * Refuses a request for lack of capacity. A repeat makes sense once the
 * requests that are before it now have been served.
 */
function refuseLate(work: Work, startsInMs: number): RefusedVerdict {
  const isKnown = Number.isFinite(startsInMs);
  const retryAfterMs = isKnown ? startsInMs : UNKNOWN_RETRY_AFTER_MS;
  return refuse(work, 'overloaded', retryAfterMs);
}

function unchanged(state: AdmissionState): Step {
  return {state, verdicts: NO_VERDICTS};
}

function refuse(
  work: Work,
  reason: RefusedVerdict['reason'],
  retryAfterMs: number,
): RefusedVerdict {
  return {kind: 'refused', work, reason, retryAfterMs};
}

function finish(
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
      ? observeTime(state.estimates, work.service, now - startedAt)
      : state.estimates;
  const rest = running.toSpliced(index, 1);
  return fill(replaceFinished(state, rest, estimates, now), now);
}

/** Gives free slots to waiting requests. */
function fill(before: AdmissionState, now: number): Step {
  if (before.waiting.length === 0) return unchanged(before);
  const limit = limitAt(before, now);
  const verdicts: Verdict[] = [];
  let state = before;
  while (state.waiting.length > 0 && state.running.length < limit) {
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
    const rest = withWaiting(state, waiting);
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

function cancel(state: AdmissionState, id: number): Step {
  const index = state.waiting.findIndex(work => work.id === id);
  if (index < 0) return unchanged(state);
  const verdict = refuse(state.waiting[index], 'cancelled', 0);
  const waiting = state.waiting.toSpliced(index, 1);
  return {state: withWaiting(state, waiting), verdicts: [verdict]};
}

function shed(state: AdmissionState, retryAfterMs: number, now: number): Step {
  if (!(retryAfterMs >= 0)) {
    throw new RangeError(`Retry-After is negative: ${retryAfterMs}`);
  }
  const until = now + Math.min(retryAfterMs, PAUSE_LIMIT_MS);
  const pausedUntil = Math.max(state.pausedUntil, until);
  const paused = now < state.pausedUntil;
  const from = paused
    ? state.ramp.from
    : Math.max(1, Math.floor(limitAt(state, now) * SHED_FACTOR));
  const ramp = {from, startedAt: pausedUntil};
  return reconsider({...state, pausedUntil, ramp}, now);
}

/** Sets the slots; an upstream that had none is taken to be cold. */
function setSlots(state: AdmissionState, slots: number, now: number): Step {
  checkCount('slots', slots);
  const next = {...state, slots};
  const ramp = state.slots === 0 ? coldRamp(next, now) : state.ramp;
  return reconsider({...next, ramp}, now);
}

/** Gives free slots away, then gives up what can't make its deadline any more. */
function reconsider(state: AdmissionState, now: number): Step {
  const filled = fill(state, now);
  const late = refuseFrom(filled.state, 0, now);
  if (late.verdicts.length === 0) return filled;
  return {state: late.state, verdicts: [...filled.verdicts, ...late.verdicts]};
}

/** Replaces the queue; the rounds begin anew when it becomes empty. */
function withWaiting(
  state: AdmissionState,
  waiting: readonly Waiting[],
): AdmissionState {
  const progress = waiting.length === 0 ? [] : state.progress;
  return replaceRequests(state, state.running, waiting, progress);
}
