/** Moving estimate of the time that the upstream takes for one service. */
export interface Estimate {
  readonly service: string;
  readonly meanMs: number;
  /** Moving mean of the absolute difference from the mean. */
  readonly deviationMs: number;
}

const MEAN_GAIN = 1 / 16;
const DEVIATION_GAIN = 1 / 8;
const CAUTION_DEVIATIONS = 3;

/**
 * Returns the estimate of a service, if any of its requests has finished.
 *
 * @example
 * findEstimate([{service: 'a', meanMs: 5, deviationMs: 1}], 'a')?.meanMs; // 5
 */
export function findEstimate(
  estimates: readonly Estimate[],
  service: string,
): Estimate | undefined {
  for (const estimate of estimates) {
    if (estimate.service === service) return estimate;
  }
  return undefined;
}

/**
 * Returns the time that a request of a service is expected to take, in
 * milliseconds; 0 when nothing is known.
 *
 * @example
 * meanMs([{service: 'a', meanMs: 5, deviationMs: 1}], 'a'); // 5
 */
export function meanMs(
  estimates: readonly Estimate[],
  service: string,
): number {
  return findEstimate(estimates, service)?.meanMs ?? 0;
}

/**
 * Returns a time that nearly all requests of a service stay under, in
 * milliseconds; 0 when nothing is known.
 *
 * @example
 * cautiousMs([{service: 'a', meanMs: 5, deviationMs: 1}], 'a'); // 8
 */
export function cautiousMs(
  estimates: readonly Estimate[],
  service: string,
): number {
  const estimate = findEstimate(estimates, service);
  if (!estimate) return 0;
  return estimate.meanMs + CAUTION_DEVIATIONS * estimate.deviationMs;
}

/**
 * Returns the estimates after a request took `tookMs`.
 *
 * @example
 * observeTime([], 'a', 10); // [{service: 'a', meanMs: 10, deviationMs: 5}]
 */
export function observeTime(
  estimates: readonly Estimate[],
  service: string,
  tookMs: number,
): readonly Estimate[] {
  const old = findEstimate(estimates, service);
  if (!old) {
    const first = {service, meanMs: tookMs, deviationMs: tookMs / 2};
    return [...estimates, first];
  }
  const next = adjust(old, tookMs);
  if (estimates.length === 1) return [next];
  return estimates.map(estimate => (estimate === old ? next : estimate));
}

function adjust(old: Estimate, tookMs: number): Estimate {
  const error = tookMs - old.meanMs;
  const deviationError = Math.abs(error) - old.deviationMs;
  return {
    service: old.service,
    meanMs: old.meanMs + MEAN_GAIN * error,
    deviationMs: old.deviationMs + DEVIATION_GAIN * deviationError,
  };
}
