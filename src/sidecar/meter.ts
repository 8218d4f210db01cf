import {RATE_BUCKETS, LAST_KEY, type RequestRates} from '../ranges/index.js';

/** Time after which an observation counts half, in milliseconds. */
const HALF_LIFE_MS = 4000;

/** Mean time of a request before any was observed, in milliseconds. */
const INITIAL_MEAN_MS = 150;

/** Least share of the newest time in the moving mean. */
const MEAN_WEIGHT = 0.05;

/** Times that the initial mean counts for while few have been observed. */
const INITIAL_SAMPLES = 2;

const MS_PER_SECOND = 1000;

/** What a daemon measures of the instance beside it. */
export interface Meter {
  /** Records that a key was asked for. */
  readonly asked: (key: number) => void;
  /** Records how long the instance took for a request, in milliseconds. */
  readonly ran: (timeMs: number) => void;
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
export function createMeter(clock: () => number): Meter {
  const counts = new Float64Array(RATE_BUCKETS);
  let countedAt = clock();
  let meanMs = INITIAL_MEAN_MS;
  let samples = INITIAL_SAMPLES;
  const decay = () => {
    const now = clock();
    const factor = 2 ** ((countedAt - now) / HALF_LIFE_MS);
    for (let part = 0; part < RATE_BUCKETS; part++) counts[part] *= factor;
    countedAt = now;
  };
  return {
    asked: key => {
      // Weighted as if counted at the time of the last decay.
      const weight = 2 ** ((clock() - countedAt) / HALF_LIFE_MS);
      counts[partOf(key)] += weight;
    },
    ran: timeMs => {
      samples += 1;
      const weight = Math.max(MEAN_WEIGHT, 1 / samples);
      meanMs += weight * (timeMs - meanMs);
    },
    meanMs: () => meanMs,
    heat: () => {
      decay();
      const hot: [number, number][] = [];
      counts.forEach((count, part) => {
        const rate = (count * Math.LN2 * MS_PER_SECOND) / HALF_LIFE_MS;
        if (rate >= LEAST_RATE) hot.push([part, round(rate)]);
      });
      return hot;
    },
    reset: () => {
      meanMs = INITIAL_MEAN_MS;
      samples = INITIAL_SAMPLES;
      counts.fill(0);
    },
  };
}

/** Lowest rate that is reported, in requests a second. */
const LEAST_RATE = 0.02;

function partOf(key: number): number {
  return Math.floor((key * RATE_BUCKETS) / (LAST_KEY + 1));
}

function round(rate: number): number {
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
