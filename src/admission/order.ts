import type {AdmissionState, ClassProgress, Work} from './state.js';

/**
 * Orders requests for admission: by priority, within a class by round, and
 * within a round by deadline.
 *
 * @example
 * waiting.toSorted(compareWork);
 */
export function compareWork(a: Work, b: Work): number {
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
export function outranks(a: Work, b: Work): boolean {
  return (a.priority - b.priority || a.round - b.round) < 0;
}

/**
 * Puts a request into the queue and returns the new queue. Each round holds one
 * request of a caller in a class. The earliest round goes to the request with
 * the earliest deadline, so that a new request may push its caller's other
 * requests to later rounds but never those of another caller.
 *
 * @example
 * const waiting = enqueue(state, work);
 */
export function enqueue(state: AdmissionState, work: Work): readonly Work[] {
  const isOwn = (other: Work) =>
    other.priority === work.priority && other.caller === work.caller;
  const own = state.waiting.filter(isOwn);
  const round = nextRound(state, work, own.at(-1));
  if (own.length === 0) return merge(state.waiting, [{...work, round}]);
  const others = state.waiting.filter(other => !isOwn(other));
  return merge(others, assignRounds(own, work, round));
}

/**
 * Returns the progress of the classes after a request left the queue for a
 * slot. The virtual time grows by at least one for each `waiting` admissions,
 * so a request is passed only by those that arrive before its round is over.
 *
 * @example
 * advance([], work, 4); // [{priority: work.priority, virtualTime: 0.25}] in round 0
 */
export function advance(
  progress: readonly ClassProgress[],
  work: Work,
  waiting: number,
): readonly ClassProgress[] {
  const {priority, round} = work;
  const before = virtualTimeOf(progress, priority);
  const virtualTime = Math.max(before + 1 / Math.max(1, waiting), round);
  const others = progress.filter(entry => entry.priority !== priority);
  return [...others, {priority, virtualTime}];
}

function nextRound(
  state: AdmissionState,
  work: Work,
  last: Work | undefined,
): number {
  const current = Math.floor(virtualTimeOf(state.progress, work.priority));
  const isOwn = (other: Work) =>
    other.priority === work.priority && other.caller === work.caller;
  const holdsSlot = state.running.some(entry => isOwn(entry.work));
  const first = holdsSlot ? current + 1 : current;
  return last ? Math.max(first, last.round + 1) : first;
}

function virtualTimeOf(
  progress: readonly ClassProgress[],
  priority: number,
): number {
  for (const entry of progress) {
    if (entry.priority === priority) return entry.virtualTime;
  }
  return 0;
}

function assignRounds(
  own: readonly Work[],
  work: Work,
  round: number,
): readonly Work[] {
  const rounds = [...own.map(other => other.round), round];
  const byDeadline = insertByDeadline(own, work);
  return byDeadline.map((other, index) =>
    other.round === rounds[index] ? other : {...other, round: rounds[index]},
  );
}

function insertByDeadline(own: readonly Work[], work: Work): readonly Work[] {
  const later = own.findIndex(other => other.deadlineAt > work.deadlineAt);
  return later < 0 ? [...own, work] : own.toSpliced(later, 0, work);
}

function merge(a: readonly Work[], b: readonly Work[]): readonly Work[] {
  const merged: Work[] = [];
  let i = 0;
  for (const work of b) {
    while (i < a.length && compareWork(a[i], work) < 0) merged.push(a[i++]);
    merged.push(work);
  }
  while (i < a.length) merged.push(a[i++]);
  return merged;
}
