import type {Verdict} from '../../src/admission/index.js';
import type {Policy} from './policies.js';
import type {Job} from './workload.js';

/** What became of one job. */
export type Status = 'in-time' | 'late' | 'refused-at-once' | 'given-up';

/** A job and what became of it. */
export interface Outcome {
  readonly job: Job;
  readonly status: Status;
  /** Time from its arrival to its last answer. */
  readonly tookMs: number;
}

interface Finish {
  readonly at: number;
  readonly id: number;
}

/**
 * Runs jobs through a policy in virtual time. An upstream runs each admitted
 * job to its end, also past its deadline.
 *
 * @throws {RangeError} when the policy answers a job twice or not at all.
 *
 * @example
 * simulate(drawJobs(MIXED, 1000, 60_000, createRandom(7)), fifoPolicy(12, 64));
 */
export function simulate(
  jobs: readonly Job[],
  policy: Policy,
): readonly Outcome[] {
  const endings = new Map<number, Outcome>();
  const finishes: Finish[] = [];
  const recordVerdicts = (verdicts: readonly Verdict[], now: number) => {
    for (const verdict of verdicts) {
      const job = jobs[verdict.request.id];
      if (endings.has(verdict.request.id))
        throw new RangeError('answered twice');
      endings.set(verdict.request.id, outcomeOf(job, verdict, now));
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
  if (endings.size !== jobs.length) throw new RangeError('a job has no answer');
  return [...endings.values()];
}

function outcomeOf(job: Job, verdict: Verdict, now: number): Outcome {
  const waitedMs = now - job.arriveAt;
  if (verdict.kind === 'refused') {
    const fate = waitedMs === 0 ? 'refused-at-once' : 'given-up';
    return {job, status: fate, tookMs: waitedMs};
  }
  const tookMs = waitedMs + job.serviceMs;
  const isInTime = job.arriveAt + tookMs <= job.work.deadlineAt;
  return {job, status: isInTime ? 'in-time' : 'late', tookMs};
}

/** Inserts into a binary heap, the earliest first. */
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

/** Takes the earliest from a binary heap and returns its id. */
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
