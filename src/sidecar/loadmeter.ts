import {RATE_BUCKETS, LAST_KEY, type RequestRates} from '../ranges/index.js';

/** Time after which an observation counts half, in milliseconds. */
const HALF_LIFE_MS = 4000;

/** Mean time of a request before any was observed, in milliseconds. */
const INITIAL_MEAN_MS = 150;

/** Least share of the newest time in the moving mean. */
const MIN_SAMPLE_WEIGHT = 0.05;

/** Times that the initial mean counts for while few have been observed. */
const INITIAL_SAMPLE_COUNT = 2;

const MS_PER_SECOND = 1000;

/** What a daemon measures of the instance beside it. */
export interface LoadMeter {
  /** Records that a key was asked for. */
  readonly recordRequest: (key: number) => void;
  /** Records how long the instance took for a request, in milliseconds. */
  readonly recordDuration: (timeMs: number) => void;
  readonly meanMs: () => number;
  /** Requests a second for each part of the key space, hot parts only. */
  readonly heat: () => readonly (readonly [part: number, rate: number])[];
  /** Forgets what was measured of an earlier life. */
  readonly reset: () => void;
}

/**
 * Creates a meter. Counts decay with time, so that a part of the key space that
 * has become busy shows within seconds.
 *
 * @example
 * const meter = createMeter(() => performance.now());
 * meter.asked(4711);
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
      // Weighted as if counted at the time of the last decay.
      const weight = 2 ** ((clock() - decayedAt) / HALF_LIFE_MS);
      counts[partOf(key)] += weight;
    },
    recordDuration: timeMs => {
      sampleCount += 1;
      const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / sampleCount);
      meanMs += weight * (timeMs - meanMs);
    },
    meanMs: () => meanMs,
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

/** Lowest rate that is reported, in requests a second. */
const MIN_RATE_PER_SECOND = 0.02;

function partOf(key: number): number {
  return Math.floor((key * RATE_BUCKETS) / (LAST_KEY + 1));
}

function roundToHundredths(rate: number): number {
  return Math.round(rate * 100) / 100;
}

/**
 * Adds the reports of several daemons up.
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
