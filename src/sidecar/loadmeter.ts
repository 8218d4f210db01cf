import {RATE_BUCKETS, LAST_KEY, type RequestRates} from '../ranges/index.js';

/** Half-life of an observation, in milliseconds. */
const HALF_LIFE_MS = 4000;

/** Assumed mean duration of a request before any was observed. */
const INITIAL_MEAN_MS = 150;

/** Lower bound for the weight of a new sample in the moving mean. */
const MIN_SAMPLE_WEIGHT = 0.05;

/** Number of samples that the initial mean counts for. */
const INITIAL_SAMPLE_COUNT = 2;

/**
 * Number of samples from which the mean tells the capacity. Of the first requests
 * of a busy instance, the short ones end first.
 */
const MEASURED_SAMPLES = 20;

const MS_PER_SECOND = 1000;

/** Measures the load of the local instance. */
export interface LoadMeter {
  /** Records a request for a key. */
  readonly recordRequest: (key: number) => void;
  /** Records how long the instance took for a request, in milliseconds. */
  readonly recordDuration: (timeMs: number) => void;
  readonly meanMs: () => number;
  /** Returns whether the mean is of enough requests to tell the capacity. */
  readonly isMeasured: () => boolean;
  /**
   * Returns the requests per second of each partition of the key space, without
   * partitions below the reported minimum.
   */
  readonly heat: () => readonly (readonly [part: number, rate: number])[];
  /** Discards the measurements of an earlier incarnation. */
  readonly reset: () => void;
}

/**
 * Creates a load meter. Counts decay exponentially, so that a newly busy
 * partition of the key space is visible within seconds.
 *
 * @example
 * const meter = createLoadMeter(() => performance.now());
 * meter.recordRequest(4711);
 */
export function createLoadMeter(clock: () => number): LoadMeter {
  const counts = new Float64Array(RATE_BUCKETS);
  let decayedAt = clock();
  let meanMs = INITIAL_MEAN_MS;
  let sampleCount = INITIAL_SAMPLE_COUNT;
  const decay = () => {
    const now = clock();
    const factor = 2 ** ((decayedAt - now) / HALF_LIFE_MS);
    for (let part = 0; part < RATE_BUCKETS; part++) counts[part] *= factor;
    decayedAt = now;
  };
  return {
    recordRequest: key => {
      // Counts are stored as of the last decay, so a new one is scaled up.
      const weight = 2 ** ((clock() - decayedAt) / HALF_LIFE_MS);
      counts[partOf(key)] += weight;
    },
    recordDuration: timeMs => {
      sampleCount += 1;
      const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / sampleCount);
      meanMs += weight * (timeMs - meanMs);
    },
    meanMs: () => meanMs,
    isMeasured: () => sampleCount >= INITIAL_SAMPLE_COUNT + MEASURED_SAMPLES,
    heat: () => {
      decay();
      const hot: [number, number][] = [];
      counts.forEach((count, part) => {
        const rate = (count * Math.LN2 * MS_PER_SECOND) / HALF_LIFE_MS;
        if (rate >= MIN_RATE_PER_SECOND)
          hot.push([part, roundToHundredths(rate)]);
      });
      return hot;
    },
    reset: () => {
      meanMs = INITIAL_MEAN_MS;
      sampleCount = INITIAL_SAMPLE_COUNT;
      counts.fill(0);
    },
  };
}

/** Lowest reported rate, in requests per second. */
const MIN_RATE_PER_SECOND = 0.02;

function partOf(key: number): number {
  return Math.floor((key * RATE_BUCKETS) / (LAST_KEY + 1));
}

function roundToHundredths(rate: number): number {
  return Math.round(rate * 100) / 100;
}

/**
 * Sums the heat reports of several daemons.
 *
 * @example
 * sumHeat(statuses.map(status => status.heat));
 */
export function sumHeat(
  reports: readonly (readonly (readonly [number, number])[])[],
): RequestRates {
  const sum = new Array<number>(RATE_BUCKETS).fill(0);
  for (const report of reports) {
    for (const [part, rate] of report) sum[part] += rate;
  }
  return sum;
}
