import type {Outcome, Status} from './simulate.js';

/** Statistics of a set of jobs of a run. */
export interface Summary {
  readonly jobs: number;
  /** Jobs completed by their deadline, per second. */
  readonly goodputPerSecond: number;
  /** Share of slot time spent on jobs that were completed by their deadline. */
  readonly usefulShare: number;
  /** Share of the jobs that were completed by their deadline. */
  readonly inTimeShare: number;
  /** Share of the admitted jobs that were completed after their deadline. */
  readonly lateShare: number;
  /** Share of the jobs that were refused after a wait in the queue. */
  readonly givenUpShare: number;
  /** Time in the queue of the jobs that were refused after a wait. */
  readonly givenUpAfterMsMean: number;
  readonly givenUpAfterMsP99: number;
  readonly answeredMsP99: number;
}

/**
 * Computes the statistics of the jobs that arrived after the warm-up.
 *
 * @example
 * summarise(outcomes, 12, 10_000, 60_000).goodputPerSecond;
 */
export function summarise(
  outcomes: readonly Outcome[],
  slots: number,
  warmUpMs: number,
  durationMs: number,
): Summary {
  const counted = outcomes.filter(outcome => outcome.job.arriveAt >= warmUpMs);
  const seconds = (durationMs - warmUpMs) / 1000;
  const inTime = withStatus(counted, 'in-time');
  const late = withStatus(counted, 'late');
  const givenUp = withStatus(counted, 'refused-after-wait');
  const usefulMs = inTime.reduce((sum, {job}) => sum + job.serviceMs, 0);
  const answered = [...inTime, ...late];
  return {
    jobs: counted.length,
    goodputPerSecond: rounded(inTime.length / seconds),
    usefulShare: rounded(usefulMs / (slots * seconds * 1000)),
    inTimeShare: shareOf(inTime, counted),
    lateShare: shareOf(late, answered),
    givenUpShare: shareOf(givenUp, counted),
    givenUpAfterMsMean: meanMs(givenUp),
    givenUpAfterMsP99: p99Ms(givenUp),
    answeredMsP99: p99Ms(answered),
  };
}

function withStatus(
  outcomes: readonly Outcome[],
  status: Status,
): readonly Outcome[] {
  return outcomes.filter(outcome => outcome.status === status);
}

function shareOf(part: readonly Outcome[], all: readonly Outcome[]): number {
  return all.length === 0 ? 0 : rounded(part.length / all.length);
}

function meanMs(outcomes: readonly Outcome[]): number {
  if (outcomes.length === 0) return 0;
  const sum = outcomes.reduce((total, {tookMs}) => total + tookMs, 0);
  return rounded(sum / outcomes.length);
}

function p99Ms(outcomes: readonly Outcome[]): number {
  if (outcomes.length === 0) return 0;
  const sorted = outcomes.map(outcome => outcome.tookMs).sort((a, b) => a - b);
  return rounded(sorted[Math.floor((sorted.length - 1) * 0.99)]);
}

function rounded(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
