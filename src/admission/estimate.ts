/** Moving estimate of the time that the upstream takes for one service. */
export interface Estimate {
  readonly service: string;
  readonly meanMs: number;
  /** Moving mean of the absolute difference from the mean. */
  readonly deviationMs: number;
  readonly samples: number;
  readonly updatedAt: number;
}

const ESTIMATE_VALIDITY_MS = 10_000;
const MEAN_GAIN = 1 / 16;
const DEVIATION_GAIN = 1 / 8;
const UPPER_BOUND_DEVIATIONS = 3;

/**
 * Returns the time that a request of a service is expected to take, in
 * milliseconds; 0 when no request of it has finished of late.
 *
 * @example
 * meanMs(observeTime([], 'a', 10, now), 'a', now); // 10
 */
export function meanMs(
  estimates: readonly Estimate[],
  service: string,
  now: number,
): number {
  return findValid(estimates, service, now)?.meanMs ?? 0;
}

/**
 * Returns a time that nearly all requests of a service stay under, in
 * milliseconds; 0 when no request of it has finished of late.
 *
 * @example
 * cautiousMs(observeTime([], 'a', 10, now), 'a', now); // 25
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
 * Returns by how much the times of a service differ from their mean, in
 * milliseconds; 0 when no request of it has finished of late.
 *
 * @example
 * spreadMs(observeTime([], 'a', 10, now), 'a', now); // 5
 */
export function meanDeviationMs(
  estimates: readonly Estimate[],
  service: string,
  now: number,
): number {
  return findValid(estimates, service, now)?.deviationMs ?? 0;
}

/**
 * Returns the estimates after a request took `tookMs`. The first ones weigh
 * more, and an estimate that has become too old begins anew.
 *
 * @example
 * observeTime([], 'a', 10, now)[0].meanMs; // 10
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
