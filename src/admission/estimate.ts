/** Moving estimate of the service time of the requests of one service. */
export interface Estimate {
  readonly service: string;
  readonly meanMs: number;
  /** Moving mean of the absolute deviation from the mean. */
  readonly deviationMs: number;
  readonly samples: number;
  readonly updatedAt: number;
}

/** Time after the last sample at which an estimate expires. */
const ESTIMATE_VALIDITY_MS = 10_000;

/** Weights of a new sample in the moving means. */
const MEAN_GAIN = 1 / 16;
const DEVIATION_GAIN = 1 / 8;

/** Mean deviations between the mean and the upper bound. */
const UPPER_BOUND_DEVIATIONS = 3;

/**
 * Returns the expected service time of a request, in milliseconds; 0 if the
 * service has no recent estimate.
 *
 * @example
 * meanMs(recordDuration([], 'a', 10, now), 'a', now); // 10
 */
export function meanMs(
  estimates: readonly Estimate[],
  service: string,
  now: number,
): number {
  return findValid(estimates, service, now)?.meanMs ?? 0;
}

/**
 * Returns a service time that few requests exceed, in milliseconds; 0 if the
 * service has no recent estimate.
 *
 * @example
 * upperBoundMs(recordDuration([], 'a', 10, now), 'a', now); // 25
 */
export function upperBoundMs(
  estimates: readonly Estimate[],
  service: string,
  now: number,
): number {
  const estimate = findValid(estimates, service, now);
  if (!estimate) return 0;
  return estimate.meanMs + UPPER_BOUND_DEVIATIONS * estimate.deviationMs;
}

/**
 * Returns the mean absolute deviation of the service time, in milliseconds; 0 if
 * the service has no recent estimate.
 *
 * @example
 * meanDeviationMs(recordDuration([], 'a', 10, now), 'a', now); // 5
 */
export function meanDeviationMs(
  estimates: readonly Estimate[],
  service: string,
  now: number,
): number {
  return findValid(estimates, service, now)?.deviationMs ?? 0;
}

/**
 * Returns the estimates after a request took `durationMs`. The first samples have
 * a larger weight. An expired estimate is replaced.
 *
 * @example
 * recordDuration([], 'a', 10, now)[0].meanMs; // 10
 */
export function recordDuration(
  estimates: readonly Estimate[],
  service: string,
  durationMs: number,
  now: number,
): readonly Estimate[] {
  const old = findValid(estimates, service, now);
  const next = old
    ? updateEstimate(old, durationMs, now)
    : firstEstimate(service, durationMs, now);
  if (old && estimates.length === 1) return [next];
  const others = estimates.filter(estimate => estimate.service !== service);
  return [...others, next];
}

function findValid(
  estimates: readonly Estimate[],
  service: string,
  now: number,
): Estimate | undefined {
  for (const estimate of estimates) {
    if (estimate.service !== service) continue;
    return now - estimate.updatedAt <= ESTIMATE_VALIDITY_MS
      ? estimate
      : undefined;
  }
  return undefined;
}

function firstEstimate(
  service: string,
  durationMs: number,
  now: number,
): Estimate {
  const deviationMs = durationMs / 2;
  return {service, meanMs: durationMs, deviationMs, samples: 1, updatedAt: now};
}

function updateEstimate(
  old: Estimate,
  durationMs: number,
  now: number,
): Estimate {
  const samples = old.samples + 1;
  const error = durationMs - old.meanMs;
  const deviationError = Math.abs(error) - old.deviationMs;
  const meanGain = Math.max(MEAN_GAIN, 1 / samples);
  const deviationGain = Math.max(DEVIATION_GAIN, 1 / samples);
  return {
    service: old.service,
    meanMs: old.meanMs + meanGain * error,
    deviationMs: old.deviationMs + deviationGain * deviationError,
    samples,
    updatedAt: now,
  };
}
