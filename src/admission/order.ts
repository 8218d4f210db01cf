import type {AdmissionState, ClassProgress, Waiting, Work} from './state.js';

/**
 * Orders requests for admission: by priority, within a class by round, and
 * within a round by deadline.
 *
 * @example
 * waiting.toSorted(compareWaiting);
 */
export function compareWaiting(a: Waiting, b: Waiting): number {
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
export function outranks(a: Waiting, b: Waiting): boolean {
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
  work: Work,
  expectedMs: number,
  latestStartAt: number,
): readonly Waiting[] {
  const last = state.waiting.findLast(other => isSameFlow(other, work));
  const round = nextRound(state, work, last);
  const entry = createWaiting(work, round, expectedMs, latestStartAt);
  if (!last || last.deadlineAt <= work.deadlineAt) {
    return insert(state.waiting, entry);
  }
  const own = state.waiting.filter(other => isSameFlow(other, work));
  const others = state.waiting.filter(other => !isSameFlow(other, work));
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
export function advance(
  progress: readonly ClassProgress[],
  entry: Waiting,
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
  waiting: readonly Waiting[],
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

function isSameFlow(a: Work, b: Work): boolean {
  return a.priority === b.priority && a.caller === b.caller;
}

function nextRound(
  state: AdmissionState,
  work: Work,
  last: Waiting | undefined,
): number {
  const current = Math.floor(virtualTimeOf(state.progress, work.priority));
  const holdsSlot = state.running.some(entry => isSameFlow(entry.work, work));
  const first = holdsSlot ? current + 1 : current;
  return last ? Math.max(first, last.round + 1) : first;
}

function createWaiting(
  work: Work,
  round: number,
  expectedMs: number,
  latestStartAt: number,
): Waiting {
  return {
    id: work.id,
    service: work.service,
    priority: work.priority,
    caller: work.caller,
    key: work.key,
    deadlineAt: work.deadlineAt,
    round,
    expectedMs,
    latestStartAt,
  };
}

function assignRounds(
  own: readonly Waiting[],
  entry: Waiting,
): readonly Waiting[] {
  const rounds = [...own.map(other => other.round), entry.round];
  const byDeadline = insertByDeadline(own, entry);
  return byDeadline.map((other, index) => withRound(other, rounds[index]));
}

function withRound(entry: Waiting, round: number): Waiting {
  if (entry.round === round) return entry;
  return createWaiting(entry, round, entry.expectedMs, entry.latestStartAt);
}

function insertByDeadline(
  own: readonly Waiting[],
  entry: Waiting,
): readonly Waiting[] {
  const later = own.findIndex(other => other.deadlineAt > entry.deadlineAt);
  return later < 0 ? [...own, entry] : own.toSpliced(later, 0, entry);
}

/** Inserts into an ordered queue by binary search. */
function insert(
  waiting: readonly Waiting[],
  entry: Waiting,
): readonly Waiting[] {
  let low = 0;
  let high = waiting.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (compareWaiting(waiting[middle], entry) < 0) low = middle + 1;
    else high = middle;
  }
  return waiting.toSpliced(low, 0, entry);
}
