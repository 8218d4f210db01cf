import type {
  AdmissionState,
  ClassProgress,
  WaitingRequest,
  TrackedRequest,
} from './state.js';

/**
 * Compares two requests by admission order: by priority, then by round, then by
 * deadline, then by arrival.
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
 * Returns whether a request precedes another by priority or round. The deadline
 * is ignored.
 *
 * @example
 * outranks({...request, priority: 0}, {...request, priority: 1}); // true
 */
export function outranks(a: WaitingRequest, b: WaitingRequest): boolean {
  return (a.priority - b.priority || a.round - b.round) < 0;
}

/**
 * Inserts a request into the queue by fair queueing between callers and returns
 * the new queue. Each round holds at most one request per caller and class. The
 * requests of a caller take its rounds in deadline order, so a new request may
 * move other requests of its caller to later rounds, but none of another caller.
 *
 * @example
 * const waiting = enqueue(state, request, 5, request.deadlineAt - 8);
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
 * Returns the progress of the classes after a request was admitted from the
 * queue. With N callers waiting in its class, the virtual time increases by at
 * least one per N admissions. Later arrivals therefore overtake a request only
 * until its round is over.
 *
 * @param callers Number of callers that waited in the class, including the one of
 *     the request.
 *
 * @example
 * advanceProgress([], entry, 4); // [{priority: entry.priority, virtualTime: 0.25}] in round 0
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
 * Counts the callers that have queued requests in a class.
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
 * Returns the virtual time of a class; 0 before its first admission from the
 * queue.
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

/** Inserts a request into an ordered queue by binary search. */
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
