/** Durations of recent runs at the local instance, by route. */
export interface RunTimes {
  /** Records how long a run took, in milliseconds. */
  readonly record: (route: string, timeMs: number) => void;
  /**
   * Returns a time in which the given share of the recent runs of a route
   * ended, in milliseconds; at most a tenth longer than the shortest such time.
   *
   * @returns undefined if too few runs were recorded.
   */
  readonly quantileMs: (route: string, share: number) => number | undefined;
  /** Discards the runs of an earlier incarnation. */
  readonly reset: () => void;
}

/** Half-life of a run in the distribution, in milliseconds. */
const HALF_LIFE_MS = 60_000;

/** Weight of the recorded runs below which a route has no quantiles. */
const MIN_WEIGHT = 3;

/** Largest number of routes; the one that was added first is evicted first. */
const MAX_ROUTES = 256;

/** Buckets for each doubling of the duration, which bounds the error to 9%. */
const BUCKETS_PER_DOUBLING = 8;

/** Durations up to 2 minutes are told apart. */
const BUCKET_COUNT = 17 * BUCKETS_PER_DOUBLING;

/** Histogram of the durations of a route. */
interface Histogram {
  readonly weights: Float64Array;
  /** Time up to which the weights have decayed, in milliseconds. */
  decayedAt: number;
}

/**
 * Creates the record of run times. It takes about 1 KiB a route.
 *
 * @param clock Monotonic time in milliseconds.
 *
 * @example
 * const runTimes = createRunTimes(() => performance.now());
 * runTimes.record('book', 240);
 * runTimes.quantileMs('book', 0.99);
 */
export function createRunTimes(clock: () => number): RunTimes {
  const histograms = new Map<string, Histogram>();

  const decay = (histogram: Histogram) => {
    const now = clock();
    const factor = 2 ** ((histogram.decayedAt - now) / HALF_LIFE_MS);
    const {weights} = histogram;
    for (let i = 0; i < weights.length; i++) weights[i] *= factor;
    histogram.decayedAt = now;
  };

  const histogramOf = (route: string) => {
    const known = histograms.get(route);
    if (known) return known;
    const weights = new Float64Array(BUCKET_COUNT);
    const added = {weights, decayedAt: clock()};
    histograms.set(route, added);
    if (histograms.size > MAX_ROUTES) {
      const [oldest] = histograms.keys();
      histograms.delete(oldest);
    }
    return added;
  };

  return {
    record: (route, timeMs) => {
      const histogram = histogramOf(route);
      const ageMs = clock() - histogram.decayedAt;
      if (ageMs > HALF_LIFE_MS) decay(histogram);
      // Weights are stored as of the last decay, so a new one is scaled up.
      const weight = 2 ** ((clock() - histogram.decayedAt) / HALF_LIFE_MS);
      histogram.weights[bucketOf(timeMs)] += weight;
    },
    quantileMs: (route, share) => {
      const histogram = histograms.get(route);
      if (!histogram) return undefined;
      decay(histogram);
      const {weights} = histogram;
      const total = weights.reduce((sum, weight) => sum + weight, 0);
      if (total < MIN_WEIGHT) return undefined;
      let below = 0;
      const index = weights.findIndex(weight => {
        below += weight;
        return weight > 0 && below >= share * total;
      });
      return upperBoundMs(index < 0 ? BUCKET_COUNT - 1 : index);
    },
    reset: () => histograms.clear(),
  };
}

function bucketOf(timeMs: number): number {
  const index = Math.ceil(
    Math.log2(Math.max(1, timeMs)) * BUCKETS_PER_DOUBLING,
  );
  return Math.min(index, BUCKET_COUNT - 1);
}

function upperBoundMs(bucket: number): number {
  return 2 ** (bucket / BUCKETS_PER_DOUBLING);
}
