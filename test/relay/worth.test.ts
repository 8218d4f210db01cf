import test from 'ava';
import {createRandom, type Random} from '../../src/load/random.js';
import {
  logNormal,
  play,
  type PlayedKind,
  type PlayedResults,
  type Play,
} from './play.js';

const SLOTS = 13;
const PLAY_MS = 60_000;
const SEEDS: readonly number[] = [1, 2, 3, 4, 5, 6];

/** Worth of an answer by its latency objective, and of a later one. */
const WORTH = {inTime: 2, late: 0.6};

const ownMs = logNormal({
  meanMs: 380,
  spread: 0.8,
  tail: 0.01,
  tailFactor: 5,
  maxMs: 2800,
});
const callMs = logNormal({meanMs: 72, spread: 0.5, maxMs: 430});

/** Share of the orders that make two calls at once. */
const CALL_SHARE = 0.7;

/** Deadline of a call, in milliseconds. */
const CALL_DEADLINE_MS = 800;

/** @param waitMs Time that the slower call waits elsewhere. */
function orderMs(random: Random, waitMs = 0): number {
  const own = ownMs(random);
  if (random() >= CALL_SHARE) return own;
  const call = Math.max(callMs(random), callMs(random)) + waitMs;
  return own + Math.min(CALL_DEADLINE_MS, call);
}

const ORDER: PlayedKind = {
  name: 'order',
  priority: 1,
  perSecond: 0,
  objectiveMs: 1200,
  deadlineMs: 6000,
  attemptMs: 3000,
  retries: 2,
  runMs: random => orderMs(random),
};

/** A short call of requests that run elsewhere. */
const CHECK: PlayedKind = {
  name: 'check',
  priority: 1,
  perSecond: 0,
  objectiveMs: 300,
  deadlineMs: CALL_DEADLINE_MS,
  retries: 0,
  runMs: callMs,
};

function meanMsOf({runMs}: PlayedKind): number {
  const random = createRandom(9);
  const count = 50_000;
  let sumMs = 0;
  for (let i = 0; i < count; i++) sumMs += runMs(random, 0);
  return sumMs / count;
}

/**
 * Sets the rate of orders, each with a number of checks, so that they need a
 * multiple of the capacity.
 */
function atLoad(
  load: number,
  order: PlayedKind,
  check: PlayedKind = CHECK,
  checks = 0,
): readonly PlayedKind[] {
  const workMs = meanMsOf(order) + checks * meanMsOf(check);
  const perSecond = (load * SLOTS * 1000) / workMs;
  const orders = {...order, perSecond};
  if (checks === 0) return [orders];
  return [orders, {...check, perSecond: checks * perSecond}];
}

/** Results of several plays, summed. */
interface Total {
  readonly order: PlayedResults;
  readonly check?: PlayedResults;
  readonly wastedMs: number;
  readonly worthPerSecond: number;
}

function playAll(kinds: readonly PlayedKind[]): Total {
  const plays = SEEDS.map(seed =>
    play({slots: SLOTS, kinds, seed, lengthMs: PLAY_MS}),
  );
  const order = sumOf(plays, 'order') as PlayedResults;
  const worth = WORTH.inTime * order.inTime + WORTH.late * order.late;
  const wastedMs = plays.reduce((sum, played) => sum + played.wastedMs, 0);
  const seconds = (SEEDS.length * PLAY_MS) / 1000;
  const worthPerSecond = worth / seconds;
  return {order, check: sumOf(plays, 'check'), wastedMs, worthPerSecond};
}

function sumOf(
  plays: readonly Play[],
  name: string,
): PlayedResults | undefined {
  let sum: PlayedResults | undefined;
  for (const {byKind} of plays) {
    const results = byKind.get(name);
    if (!results) continue;
    if (!sum) {
      sum = results;
      continue;
    }
    const {arrived, inTime, late, refused} = sum;
    const {refusals, refusalWaitMs, abandoned} = sum;
    sum = {
      arrived: arrived + results.arrived,
      inTime: inTime + results.inTime,
      late: late + results.late,
      refused: refused + results.refused,
      refusals: refusals + results.refusals,
      refusalWaitMs: refusalWaitMs + results.refusalWaitMs,
      abandoned: abandoned + results.abandoned,
    };
  }
  return sum;
}

/** Loads of a situation, as multiples of the capacity. */
const LOADS = [1, 1.2, 1.5] as const;

/** Least worth a second at each of these loads. */
type LeastWorth = readonly [number, number, number];

interface Situation {
  readonly title: string;
  readonly kinds: (load: number) => readonly PlayedKind[];
  readonly least: LeastWorth;
  /** Longest mean wait for a refusal at the highest load, in milliseconds. */
  readonly mostWaitMs: number;
}

const SLOW_FACTOR = 1.6;

const STALLED: PlayedKind = {
  ...ORDER,
  runMs: random => orderMs(random, random() < 0.5 ? 200 + 600 * random() : 0),
};

const FROM_AFAR: PlayedKind = {
  ...ORDER,
  transitMs: logNormal({meanMs: 120, spread: 1.2, maxMs: 1500}),
};

const SITUATIONS: readonly Situation[] = [
  {
    title: 'orders alone',
    kinds: load => atLoad(load, ORDER),
    least: [51.4, 52.8, 54.2],
    mostWaitMs: 300,
  },
  {
    title: 'even run times',
    kinds: load => {
      const even = logNormal({meanMs: 400, spread: 0.3});
      return atLoad(load, {...ORDER, runMs: even});
    },
    least: [62.2, 62.8, 64.0],
    mostWaitMs: 300,
  },
  {
    title: 'callers that do not retry',
    kinds: load => atLoad(load, {...ORDER, retries: 0}),
    least: [51.3, 52.8, 53.2],
    mostWaitMs: 950,
  },
  {
    title: 'an instance that becomes slow and recovers',
    kinds: load => {
      const isSlow = (now: number) => now % 20_000 > 10_000;
      const runMs = (random: Random, now: number) =>
        orderMs(random) * (isSlow(now) ? SLOW_FACTOR : 1);
      const [{perSecond}] = atLoad(load, ORDER);
      return [{...ORDER, runMs, perSecond}];
    },
    least: [41.3, 42.5, 43.2],
    mostWaitMs: 250,
  },
  {
    title: 'calls that wait elsewhere',
    kinds: load => atLoad(load, STALLED),
    least: [34.3, 35.8, 37.0],
    mostWaitMs: 380,
  },
  {
    title: 'orders that are on their way for long',
    kinds: load => atLoad(load, FROM_AFAR),
    least: [50.0, 52.1, 53.6],
    mostWaitMs: 300,
  },
  {
    title: 'bursts',
    kinds: load => {
      const rateFactor = (now: number) => (now % 10_000 < 1500 ? 1.7 : 0.875);
      return atLoad(load, {...ORDER, rateFactor});
    },
    least: [49.3, 52.0, 53.5],
    mostWaitMs: 300,
  },
  {
    title: 'orders beside short calls',
    kinds: load => atLoad(load, ORDER, CHECK, 2),
    least: [38.4, 37.7, 34.9],
    mostWaitMs: 300,
  },
  {
    title: 'a slow instance, calls that wait, and short calls',
    kinds: load => {
      const runMs = (random: Random) =>
        SLOW_FACTOR * ownMs(random) + stalledCallMs(random);
      const slow = {...FROM_AFAR, runMs};
      const check = {
        ...CHECK,
        runMs: (random: Random) => SLOW_FACTOR * callMs(random),
      };
      return atLoad(load, slow, check, 3);
    },
    least: [11.45, 10.9, 10.2],
    mostWaitMs: 530,
  },
];

function stalledCallMs(random: Random): number {
  if (random() >= CALL_SHARE) return 0;
  const call = Math.max(callMs(random), callMs(random));
  return Math.min(CALL_DEADLINE_MS, call + 1000 * random());
}

for (const {title, kinds, least, mostWaitMs} of SITUATIONS) {
  LOADS.forEach((load, index) => {
    test(`worth a second at ${load} times the capacity: ${title}`, t => {
      const {order, check, wastedMs, worthPerSecond} = playAll(kinds(load));
      const waitMs = order.refusalWaitMs / Math.max(1, order.refusals);
      t.log(
        `worth ${worthPerSecond.toFixed(2)}, in time ${order.inTime}, ` +
          `late ${order.late}, refused ${order.refused}, ` +
          `wait for a refusal ${waitMs.toFixed(0)} ms` +
          (check ? `, checks ${check.inTime} of ${check.arrived}` : ''),
      );
      t.true(worthPerSecond >= least[index]);
      t.is(wastedMs, 0);
      if (index === LOADS.length - 1) t.true(waitMs <= mostWaitMs);
      if (!check) return;
      t.true(check.inTime + check.late >= 0.995 * check.arrived);
    });
  });
}
