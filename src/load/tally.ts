import {build, type Histogram} from 'hdr-histogram-js';
import type {Verdict} from './answer.js';
import type {Result} from './caller.js';

/** Highest latency that is told apart, in microseconds. */
const LATENCY_MAX_US = 120_000_000;

/** Latency from the time a request was due to its answer, in milliseconds. */
export interface Latency {
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** Figures of the requests that ended. */
export interface Summary {
  readonly requests: number;
  readonly verdicts: Readonly<Record<Verdict, number>>;
  /** Number of failures by reason. */
  readonly reasons: Readonly<Record<string, number>>;
  readonly attempts: number;
  /** Latency of the requests with the verdict `ok`. */
  readonly latencyMs: Latency;
}

/** Adds up results. */
export interface Tally {
  readonly add: (result: Result) => void;
  readonly summary: () => Summary;
}

/**
 * Creates an empty tally.
 *
 * @example
 * const tally = createTally();
 * tally.add(result);
 * tally.summary().latencyMs.p99;
 */
export function createTally(): Tally {
  const verdicts = {ok: 0, wrong: 0, 'not-run': 0, unknown: 0, 'not-sent': 0};
  const reasons: Record<string, number> = {};
  const latencies = build({
    highestTrackableValue: LATENCY_MAX_US,
    numberOfSignificantValueDigits: 3,
  });
  let requests = 0;
  let attempts = 0;
  return {
    add: result => {
      requests += 1;
      attempts += result.attempts;
      verdicts[result.verdict] += 1;
      if (result.verdict === 'ok') {
        const latencyMs = result.endedMs - result.request.dueMs;
        latencies.recordValue(Math.max(1, Math.round(latencyMs * 1000)));
      } else {
        const reason = result.reason ?? `status ${result.status}`;
        reasons[reason] = (reasons[reason] ?? 0) + 1;
      }
    },
    summary: () => ({
      requests,
      verdicts: {...verdicts},
      reasons: {...reasons},
      attempts,
      latencyMs: readLatency(latencies),
    }),
  };
}

function readLatency(latencies: Histogram): Latency {
  const percentile = (percent: number) =>
    latencies.totalCount === 0
      ? 0
      : latencies.getValueAtPercentile(percent) / 1000;
  return {
    p50: percentile(50),
    p90: percentile(90),
    p99: percentile(99),
    p999: percentile(99.9),
    max: latencies.totalCount === 0 ? 0 : latencies.maxValue / 1000,
  };
}
