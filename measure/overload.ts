import {mkdirSync, writeFileSync} from 'node:fs';
import {createAdmission} from '../src/admission/index.js';
import {admissionPolicy, fifoPolicy, type Policy} from './overload/policies.js';
import {plotOverload} from './overload/plot.js';
import {createRandom} from './overload/random.js';
import {runRealtime} from './overload/realtime.js';
import {simulate, type Outcome} from './overload/simulate.js';
import {summarise, type Summary} from './overload/summary.js';
import {
  GREEDY_CALLER,
  HOT_KEY,
  MIXED,
  NEWSROOM,
  READS_ONLY,
  SLOW_READS,
  drawJobs,
  meanServiceMs,
  type Workload,
} from './overload/workload.js';

/** One row of the results: a policy under one load, over all or some of the jobs. */
export interface Row extends Summary {
  readonly scenario: string;
  readonly policy: string;
  /** Offered load as a multiple of the capacity. */
  readonly load: number;
  /** The jobs that the row is about. */
  readonly of: string;
}

/** Ways to make a policy, by name. */
type Policies = Readonly<Record<string, () => Policy>>;

/** Settings of the measurement. */
interface Settings {
  readonly seed: number;
  readonly durationMs: number;
}

const SLOTS = 12;
const QUEUE_LIMIT = 64;
const WARM_UP_MS = 5000;
const LOADS = [0.5, 0.75, 0.9, 1, 1.25, 1.5, 2, 3, 4];
const GOODPUT_SHARE_TARGET = 0.9;
const LATE_SHARE_TARGET = 0.01;
const RESULTS = 'measure/results';
const PROCESS_LOADS = [0.5, 1, 2, 4];
const ADMISSION_ROUNDS = 2_000_000;

const POLICIES: Policies = {
  admission: () => admissionPolicy(SLOTS, QUEUE_LIMIT),
  'fifo-unlimited': () => fifoPolicy(SLOTS, Infinity),
  'fifo-limited': () => fifoPolicy(SLOTS, QUEUE_LIMIT),
};

const HOT_KEY_POLICIES: Policies = {
  ...POLICIES,
  'admission-key-quarter': () => admissionPolicy(SLOTS, QUEUE_LIMIT, 0.25),
};

/**
 * Measures admission under overload in virtual time, against first-in
 * first-out queues, and the time that one admission takes.
 *
 * @example
 * await run(['--seed', '7', '--seconds', '60']);
 * await run(['--processes', '--seconds', '15']);
 */
export async function run(args: readonly string[]): Promise<void> {
  const settings = readSettings(args);
  if (args.includes('--processes')) return runProcesses(settings);
  const rows = [
    ...loadRows('mixed', MIXED, settings),
    ...loadRows('reads', READS_ONLY, settings),
    ...scenarioRows(settings),
  ];
  const verdict = compareWithTargets(rows);
  const cost = measureAdmission();
  writeLines('overload.jsonl', [...rows, verdict, cost]);
  writeFileSync(`${RESULTS}/overload.svg`, plotOverload(rows));
}

/** Measures the edge of admission on the real clock with an upstream process. */
async function runProcesses(settings: Settings): Promise<void> {
  const {seed, durationMs} = settings;
  const capacityPerSecond = (SLOTS * 1000) / meanServiceMs(SLOW_READS.kinds);
  const rows: object[] = [];
  for (const load of PROCESS_LOADS) {
    const {endings, exceeded} = await runRealtime({
      workload: SLOW_READS,
      slots: SLOTS,
      queue: QUEUE_LIMIT,
      perSecond: load * capacityPerSecond,
      durationMs,
      seed,
    });
    const row = rowOf('processes', 'admission', load, 'all', endings, settings);
    rows.push({...row, exceeded});
  }
  writeLines('overload-processes.jsonl', rows);
}

function writeLines(name: string, values: readonly object[]): void {
  const lines = values.map(value => JSON.stringify(value));
  mkdirSync(RESULTS, {recursive: true});
  writeFileSync(`${RESULTS}/${name}`, lines.join('\n') + '\n');
  for (const line of lines) console.log(line);
}

function readSettings(args: readonly string[]): Settings {
  const numberAfter = (name: string, fallback: number) => {
    const index = args.indexOf(name);
    return index < 0 ? fallback : Number(args[index + 1]);
  };
  const seed = numberAfter('--seed', 20261203);
  return {seed, durationMs: numberAfter('--seconds', 60) * 1000};
}

function loadRows(
  scenario: string,
  workload: Workload,
  settings: Settings,
): readonly Row[] {
  return LOADS.flatMap(load =>
    Object.entries(POLICIES).flatMap(([policy, create]) => {
      const endings = simulateLoad(workload, create(), load, settings);
      const row = (of: string, some: readonly Outcome[]) =>
        rowOf(scenario, policy, load, of, some, settings);
      if (workload.kinds.length === 1) return [row('all', endings)];
      const ofServices = workload.kinds.map(({service}) =>
        row(
          service,
          endings.filter(ending => ending.job.work.service === service),
        ),
      );
      return [row('all', endings), ...ofServices];
    }),
  );
}

function scenarioRows(settings: Settings): readonly Row[] {
  const greedy = {...READS_ONLY, greedyShare: 0.5};
  const hot = {...READS_ONLY, hotShare: 0.5};
  const slow = slowAfterHalf(settings.durationMs);
  const isGreedy = ({job}: Outcome) => job.work.caller === GREEDY_CALLER;
  const isHot = ({job}: Outcome) => job.work.key === HOT_KEY;
  const halfMs = settings.durationMs / 2;
  const isLater = ({job}: Outcome) => job.arriveAt >= halfMs;
  return [
    ...splitRows('greedy-caller', greedy, 1.5, isGreedy, settings),
    ...splitRows('hot-key', hot, 1.5, isHot, settings, HOT_KEY_POLICIES),
    ...splitRows('slows-to-a-third', slow, 0.9, isLater, settings),
  ];
}

function slowAfterHalf(durationMs: number): Workload {
  return {...READS_ONLY, slowdownAt: atMs => (atMs < durationMs / 2 ? 1 : 3)};
}

function splitRows(
  scenario: string,
  workload: Workload,
  load: number,
  isPart: (ending: Outcome) => boolean,
  settings: Settings,
  policies: Policies = POLICIES,
): readonly Row[] {
  return Object.entries(policies).flatMap(([policy, create]) => {
    const endings = simulateLoad(workload, create(), load, settings);
    const part = endings.filter(isPart);
    const others = endings.filter(ending => !isPart(ending));
    return [
      rowOf(scenario, policy, load, 'part', part, settings),
      rowOf(scenario, policy, load, 'others', others, settings),
    ];
  });
}

function simulateLoad(
  workload: Workload,
  policy: Policy,
  load: number,
  settings: Settings,
): readonly Outcome[] {
  const capacityPerSecond = (SLOTS * 1000) / meanServiceMs(workload.kinds);
  const random = createRandom(settings.seed);
  const perSecond = load * capacityPerSecond;
  const jobs = drawJobs(workload, perSecond, settings.durationMs, random);
  return simulate(jobs, policy);
}

function rowOf(
  scenario: string,
  policy: string,
  load: number,
  of: string,
  endings: readonly Outcome[],
  settings: Settings,
): Row {
  const {durationMs} = settings;
  const summary = summarise(endings, SLOTS, WARM_UP_MS, durationMs);
  return {scenario, policy, load, of, ...summary};
}

/**
 * Compares the figures of admission at the highest load with their targets.
 * Goodput is counted in requests where all cost the same, and in useful slot
 * time where priority changes the mix of cheap and dear ones with the load.
 */
function compareWithTargets(rows: readonly Row[]) {
  const own = rows.filter(
    row => row.policy === 'admission' && row.of === 'all',
  );
  const reads = own.filter(row => row.scenario === 'reads');
  const mixed = own.filter(row => row.scenario === 'mixed');
  const readsGoodput = lastToPeakRatio(reads.map(row => row.goodputPerSecond));
  const mixedUseful = lastToPeakRatio(mixed.map(row => row.usefulShare));
  const mixedGoodput = lastToPeakRatio(mixed.map(row => row.goodputPerSecond));
  const mixedGoodputBound = lastToPeakRatio(LOADS.map(maxGoodputPerS));
  const lateShare = Math.max(...own.map(row => row.lateShare));
  const met =
    readsGoodput >= GOODPUT_SHARE_TARGET &&
    mixedUseful >= GOODPUT_SHARE_TARGET &&
    lateShare <= LATE_SHARE_TARGET;
  return {
    verdict: 'overload',
    readsGoodput,
    mixedUseful,
    mixedGoodput,
    mixedGoodputBound,
    lateShare,
    met,
  };
}

function lastToPeakRatio(values: readonly number[]): number {
  return values[values.length - 1] / Math.max(...values);
}

/** The most requests a second that any policy can answer in order of priority. */
function maxGoodputPerS(load: number): number {
  let slotsLeft = SLOTS;
  let sum = 0;
  const offered = (load * SLOTS * 1000) / meanServiceMs(NEWSROOM);
  for (const {share, meanMs} of NEWSROOM) {
    const served = Math.min(offered * share, (slotsLeft * 1000) / meanMs);
    slotsLeft -= (served * meanMs) / 1000;
    sum += served;
  }
  return sum;
}

/** Measures one admission and release with a free slot and an empty queue. */
function measureAdmission() {
  const clock = () => performance.now();
  const admission = createAdmission({slots: SLOTS, queue: QUEUE_LIMIT, clock});
  const request = {
    service: 'rota-display',
    priority: 2,
    deadlineAt: Infinity,
    caller: 'desk-7',
    key: 'night',
  };
  const admitAndRelease = () => {
    const result = admission.admit(request);
    if ('release' in result) result.release();
  };
  for (let i = 0; i < ADMISSION_ROUNDS / 10; i++) admitAndRelease();
  const startedAt = performance.now();
  for (let i = 0; i < ADMISSION_ROUNDS; i++) admitAndRelease();
  const tookMs = performance.now() - startedAt;
  const nanoseconds = Math.round((tookMs * 1e6) / ADMISSION_ROUNDS);
  return {measure: 'admit-and-release', nanoseconds, rounds: ADMISSION_ROUNDS};
}
