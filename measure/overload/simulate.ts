import type {Verdict} from '../../src/admission/index.js';
import type {Policy} from './policies.js';
import type {Job} from './workload.js';

/** How a job ended: completed by its deadline or later, or refused. */
export type Status =
  'in-time' | 'late' | 'refused-on-arrival' | 'refused-after-wait';

/** A job and how it ended. */
export interface Outcome {
  readonly job: Job;
  readonly status: Status;
  /** Time from arrival to completion or refusal. */
  readonly tookMs: number;
}

/** The completion of a running job, by its time and the id of its work. */
interface Finish {
  readonly at: number;
  readonly id: number;
}

/**
 * Runs jobs through a policy in virtual time. The simulated upstream runs each
 * admitted job to completion, even past its deadline.
 *
 * @param jobs Jobs ordered by arrival; the id of each job's work must be its
 *     index.
 * @returns the outcomes in the order of the verdicts.
 * @throws {RangeError} if a job gets two verdicts or none.
 *
 * @example
 * simulate(drawJobs(MIXED, 1000, 60_000, createRandom(7)), fifoPolicy(12, 64));
 */
export function simulate(
  jobs: readonly Job[],
  policy: Policy,
): readonly Outcome[] {
  const outcomes = new Map<number, Outcome>();
  const finishes: Finish[] = [];
  const recordVerdicts = (verdicts: readonly Verdict[], now: number) => {
    for (const verdict of verdicts) {
      const job = jobs[verdict.request.id];
      if (outcomes.has(verdict.request.id))
        throw new RangeError('the policy gave two verdicts on one job');
      outcomes.set(verdict.request.id, outcomeOf(job, verdict, now));
      if (verdict.kind === 'refused') continue;
      pushFinish(finishes, {at: now + job.serviceMs, id: verdict.request.id});
    }
  };
  let next = 0;
  let now = 0;
  for (;;) {
    const arriveAt = next < jobs.length ? jobs[next].arriveAt : Infinity;
    const finishAt = finishes.length > 0 ? finishes[0].at : Infinity;
    const tickAt = Math.max(now, policy.nextTickAt(now));
    now = Math.min(arriveAt, finishAt, tickAt);
    if (now === Infinity) break;
    if (now === finishAt)
      recordVerdicts(policy.finish(popFinish(finishes), now), now);
    else if (now === arriveAt)
      recordVerdicts(policy.arrive(jobs[next++].work, now), now);
    else recordVerdicts(policy.tick(now), now);
  }
  if (outcomes.size !== jobs.length)
    throw new RangeError('the policy gave no verdict on at least one job');
  return [...outcomes.values()];
}

function outcomeOf(job: Job, verdict: Verdict, now: number): Outcome {
  const waitedMs = now - job.arriveAt;
  if (verdict.kind === 'refused') {
    const status = waitedMs === 0 ? 'refused-on-arrival' : 'refused-after-wait';
    return {job, status, tookMs: waitedMs};
  }
  const tookMs = waitedMs + job.serviceMs;
  const isInTime = job.arriveAt + tookMs <= job.work.deadlineAt;
  return {job, status: isInTime ? 'in-time' : 'late', tookMs};
}

/**
 * Inserts an entry into a binary heap that is ordered by time, earliest first.
 */
function pushFinish(heap: Finish[], entry: Finish): void {
  let index = heap.push(entry) - 1;
  while (index > 0) {
    const parent = (index - 1) >> 1;
    if (heap[parent].at <= entry.at) break;
    heap[index] = heap[parent];
    index = parent;
  }
  heap[index] = entry;
}

/** Removes the earliest entry from a binary heap and returns its id. */
function popFinish(heap: Finish[]): number {
  const {id} = heap[0];
  const last = heap.pop()!;
  if (heap.length === 0) return id;
  let index = 0;
  for (;;) {
    let child = 2 * index + 1;
    if (child >= heap.length) break;
    if (child + 1 < heap.length && heap[child + 1].at < heap[child].at) child++;
    if (heap[child].at >= last.at) break;
    heap[index] = heap[child];
    index = child;
  }
  heap[index] = last;
  return id;
}
