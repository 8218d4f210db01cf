import type {Outcome, Status} from './simulate.js';

/** Figures of some of the jobs of a run. */
export interface Summary {
  readonly jobs: number;
  /** Jobs answered by their deadline, per second. */
  readonly goodputPerSecond: number;
  /** Service time of the jobs answered by their deadline, per second of one slot. */
  readonly usefulShare: number;
  /** Share of the jobs that were answered by their deadline. */
  readonly inTimeShare: number;
  /** Share of the admitted jobs whose answer came after their deadline. */
  readonly lateShare: number;
  /** Share of the jobs that were refused after they had waited. */
  readonly givenUpShare: number;
  /** Wait of the jobs that were refused after they had waited. */
  readonly givenUpAfterMsMean: number;
  readonly givenUpAfterMsP99: number;
  readonly answeredMsP99: number;
}

/**
 * Summarises the jobs that arrived after a warm-up.
 *
 * @example
 * summarise(endings, 12, 10_000, 60_000).goodputPerSecond;
 */
export function summarise(
  endings: readonly Outcome[],
  slots: number,
  warmUpMs: number,
  durationMs: number,
): Summary {
  const counted = endings.filter(ending => ending.job.arriveAt >= warmUpMs);
  const seconds = (durationMs - warmUpMs) / 1000;
  const inTime = withStatus(counted, 'in-time');
  const late = withStatus(counted, 'late');
  const givenUp = withStatus(counted, 'given-up');
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
  endings: readonly Outcome[],
  fate: Status,
): readonly Outcome[] {
  return endings.filter(ending => ending.status === fate);
}

function shareOf(part: readonly Outcome[], all: readonly Outcome[]): number {
  return all.length === 0 ? 0 : rounded(part.length / all.length);
}

function meanMs(endings: readonly Outcome[]): number {
  if (endings.length === 0) return 0;
  const sum = endings.reduce((total, {tookMs}) => total + tookMs, 0);
  return rounded(sum / endings.length);
}

function p99Ms(endings: readonly Outcome[]): number {
  if (endings.length === 0) return 0;
  const sorted = endings.map(ending => ending.tookMs).sort((a, b) => a - b);
  return rounded(sorted[Math.floor((sorted.length - 1) * 0.99)]);
}

function rounded(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
