import type {
  AdmissionState,
  ClassProgress,
  WaitingRequest,
  TrackedRequest,
} from './state.js';

/**
 * Orders requests for admission: by priority, within a class by round, and
 * within a round by deadline.
 *
 * @example
 * waiting.toSorted(compareWaiting);
 */
export function compareWaiting(a: WaitingRequest, b: WaitingRequest): number {
  return (
    a.priority - b.priority ||
    a.round - b.round ||
    a.deadlineAt - b.deadlineAt ||
    a.id - b.id
  );
}

/**
 * Tells whether a request is ahead of another by priority or by round, that
 * is, by more than its deadline.
 *
 * @example
 * outranks({...work, priority: 0}, {...work, priority: 1}); // true
 */
export function outranks(a: WaitingRequest, b: WaitingRequest): boolean {
  return (a.priority - b.priority || a.round - b.round) < 0;
}

/**
 * Puts a request into the queue and returns the new queue. Each round holds one
 * request of a caller in a class. The earliest round goes to the request with
 * the earliest deadline, so that a new request may push its caller's other
 * requests to later rounds but never those of another caller.
 *
 * @example
 * const waiting = enqueue(state, work, 5, work.deadlineAt - 8);
 */
export function enqueue(
  state: AdmissionState,
  request: TrackedRequest,
  expectedMs: number,
  latestStartAt: number,
): readonly WaitingRequest[] {
  const last = state.waiting.findLast(other => isSameFlow(other, request));
  const round = nextRound(state, request, last);
  const entry = createWaiting(request, round, expectedMs, latestStartAt);
  if (!last || last.deadlineAt <= request.deadlineAt) {
    return insert(state.waiting, entry);
  }
  const own = state.waiting.filter(other => isSameFlow(other, request));
  const others = state.waiting.filter(other => !isSameFlow(other, request));
  return assignRounds(own, entry).reduce(insert, others);
}

/**
 * Returns the progress of the classes after a request left the queue for a
 * slot. With N callers waiting in its class, the virtual time grows by at least
 * one for each N admissions, so a request is passed only by those that arrive
 * before its round is over.
 *
 * @param callers Callers that waited in the class, the request's included.
 *
 * @example
 * advance([], entry, 4); // [{priority: entry.priority, virtualTime: 0.25}] in round 0
 */
export function advanceProgress(
  progress: readonly ClassProgress[],
  entry: WaitingRequest,
  callers: number,
): readonly ClassProgress[] {
  const {priority, round} = entry;
  const before = virtualTimeOf(progress, priority);
  const virtualTime = Math.max(before + 1 / Math.max(1, callers), round);
  const others = progress.filter(other => other.priority !== priority);
  return [...others, {priority, virtualTime}];
}

/**
 * Counts the callers with requests of a class in the queue.
 *
 * @example
 * countCallers(state.waiting, 1); // 0 when the queue is empty
 */
export function countCallers(
  waiting: readonly WaitingRequest[],
  priority: number,
): number {
  const callers = new Set<string>();
  for (const entry of waiting) {
    if (entry.priority === priority) callers.add(entry.caller);
  }
  return callers.size;
}

/**
 * Returns the virtual time of a class; 0 before its first admission.
 *
 * @example
 * virtualTimeOf([{priority: 1, virtualTime: 2.5}], 1); // 2.5
 */
export function virtualTimeOf(
  progress: readonly ClassProgress[],
  priority: number,
): number {
  for (const entry of progress) {
    if (entry.priority === priority) return entry.virtualTime;
  }
  return 0;
}

function isSameFlow(a: TrackedRequest, b: TrackedRequest): boolean {
  return a.priority === b.priority && a.caller === b.caller;
}

function nextRound(
  state: AdmissionState,
  request: TrackedRequest,
  last: WaitingRequest | undefined,
): number {
  const current = Math.floor(virtualTimeOf(state.progress, request.priority));
  const holdsSlot = state.running.some(entry =>
    isSameFlow(entry.request, request),
  );
  const first = holdsSlot ? current + 1 : current;
  return last ? Math.max(first, last.round + 1) : first;
}

function createWaiting(
  request: TrackedRequest,
  round: number,
  expectedMs: number,
  latestStartAt: number,
): WaitingRequest {
  return {
    id: request.id,
    service: request.service,
    priority: request.priority,
    caller: request.caller,
    key: request.key,
    deadlineAt: request.deadlineAt,
    round,
    expectedMs,
    latestStartAt,
  };
}

function assignRounds(
  own: readonly WaitingRequest[],
  entry: WaitingRequest,
): readonly WaitingRequest[] {
  const rounds = [...own.map(other => other.round), entry.round];
  const byDeadline = insertByDeadline(own, entry);
  return byDeadline.map((other, index) => withRound(other, rounds[index]));
}

function withRound(entry: WaitingRequest, round: number): WaitingRequest {
  if (entry.round === round) return entry;
  return createWaiting(entry, round, entry.expectedMs, entry.latestStartAt);
}

function insertByDeadline(
  own: readonly WaitingRequest[],
  entry: WaitingRequest,
): readonly WaitingRequest[] {
  const later = own.findIndex(other => other.deadlineAt > entry.deadlineAt);
  return later < 0 ? [...own, entry] : own.toSpliced(later, 0, entry);
}

/** Inserts into an ordered queue by binary search. */
function insert(
  waiting: readonly WaitingRequest[],
  entry: WaitingRequest,
): readonly WaitingRequest[] {
  let low = 0;
  let high = waiting.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (compareWaiting(waiting[middle], entry) < 0) low = middle + 1;
    else high = middle;
  }
  return waiting.toSpliced(low, 0, entry);
}
