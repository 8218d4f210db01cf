import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import sade from 'sade';
import {runLoad, type LoadOptions, type Result} from '../src/load/index.js';
import {checkResults, sumRows} from './check.js';
import {waitForExit} from './control.js';
import {readExample} from './deployment.js';
import {
  readExecutionLogs,
  startFleet,
  waitForDaemons,
  waitForSlices,
  type Fleet,
} from './fleet.js';
import {createProcesses, type Processes} from './processes.js';
import {runSchedule} from './schedule.js';
import {
  SCENARIOS,
  TRAFFIC_S,
  applyExample,
  type ScenarioContext,
} from './scenarios.js';
import {formatRows, formatTotal} from './table.js';
import {REQUEST_MIXES} from './workloads.js';

/** Timeout of the whole demo. */
const DEMO_TIMEOUT_MS = 39_000;

/** Timeout for the daemons to start, and again for all slices to be served. */
const START_TIMEOUT_MS = 15_000;

/** Timeout for the daemons to exit. */
const STOP_TIMEOUT_MS = 3500;

/** Maximum findings that are printed. */
const MAX_PRINTED_FINDINGS = 10;

interface Flags {
  readonly deployment: string;
  readonly rate: number;
  readonly seed: number;
  readonly keep?: boolean;
}

/** Results of the traffic and of the scenarios run during it. */
interface Outcome {
  readonly results: readonly Result[];
  /** Name and error of each scenario that failed. */
  readonly failures: readonly string[];
}

function createLoadOptions(fleet: Fleet, {rate, seed}: Flags): LoadOptions {
  return {
    targets: fleet.nodes.map(({callers}) => callers),
    deadlineMs: 4000,
    attemptMs: 1000,
    attempts: 8,
    connections: 16,
    hints: 10_000,
    hintPrefix: 256,
    workload: {
      run: 'demo',
      kinds: REQUEST_MIXES[fleet.example.name],
      requestsPerSecond: rate,
      seconds: TRAFFIC_S,
      keys: 2000,
      skew: 0.9,
      seed,
    },
  };
}

async function run(flags: Flags, directory: string): Promise<number> {
  const startMs = performance.now();
  const printProgress = (line: string) => {
    const seconds = ((performance.now() - startMs) / 1000).toFixed(1);
    process.stdout.write(`${seconds.padStart(5)} s  ${line}\n`);
  };
  const example = readExample(flags.deployment);
  const processes = createProcesses(directory);
  const timer = setTimeout(() => {
    process.stderr.write('demo: timed out\n');
    process.exit(1);
  }, DEMO_TIMEOUT_MS);
  try {
    const fleet = await startFleet(processes, directory, example);
    printProgress(`started ${fleet.nodes.length} instances of ${example.name}`);
    const context = {processes, fleet, directory, printProgress};
    await prepare(context);
    const outcome = await runTraffic(context, flags);
    await stopFleet(processes, fleet);
    writeResults(directory, outcome.results);
    printProgress('stopped');
    return printReport(fleet, directory, outcome);
  } finally {
    await processes.killAll();
    clearTimeout(timer);
  }
}

async function prepare(context: ScenarioContext): Promise<void> {
  const {fleet, printProgress} = context;
  await waitForDaemons(fleet, START_TIMEOUT_MS);
  printProgress('every daemon responds');
  await applyExample(context);
  await waitForSlices(fleet, START_TIMEOUT_MS);
  printProgress('every slice is served');
}

async function runTraffic(
  context: ScenarioContext,
  flags: Flags,
): Promise<Outcome> {
  const results: Result[] = [];
  const options = createLoadOptions(context.fleet, flags);
  const load = runLoad(options, result => results.push(result));
  const scenarios = runSchedule(
    SCENARIOS,
    ({name, run}) => {
      context.printProgress(
        `${results.length} requests finished; starting: ${name}`,
      );
      return run(context);
    },
    sleep,
  );
  const [failures] = await Promise.all([scenarios, load]);
  context.printProgress(`${results.length} requests finished`);
  return {results, failures};
}

function writeResults(directory: string, results: readonly Result[]): void {
  const lines = results.map(result => JSON.stringify(result) + '\n');
  writeFileSync(join(directory, 'results.jsonl'), lines.join(''));
}

async function stopFleet(processes: Processes, fleet: Fleet): Promise<void> {
  const daemons = fleet.nodes.map(({daemon}) => daemon);
  daemons.forEach(daemon => daemon.signal('SIGTERM'));
  await Promise.all(daemons.map(d => waitForExit(d, STOP_TIMEOUT_MS)));
  await processes.killAll();
}

function printReport(
  fleet: Fleet,
  directory: string,
  {results, failures}: Outcome,
): number {
  const logs = readExecutionLogs(fleet, directory);
  const {rows, findings} = checkResults(fleet.example.base, results, logs);
  const total = sumRows(rows);
  const lines = [
    ...failures,
    ...findings.slice(0, MAX_PRINTED_FINDINGS),
    ...formatReasons(results),
    '',
    ...formatRows([...rows, total]),
    formatTotal(total),
  ];
  process.stdout.write(lines.join('\n') + '\n');
  return total.wrong + total.duplicated + failures.length > 0 ? 1 : 0;
}

function formatReasons(results: readonly Result[]): readonly string[] {
  const counts = new Map<string, number>();
  for (const {verdict, status, reason} of results) {
    if (verdict === 'ok') continue;
    const text = `failed: ${verdict}, ${reason ?? 'no reason'} (${status ?? 'no answer'})`;
    counts.set(text, (counts.get(text) ?? 0) + 1);
  }
  return [...counts].map(([text, count]) => `${text}: ${count}`);
}

async function main(flags: Flags): Promise<void> {
  const directory = mkdtempSync(join(tmpdir(), 'vanillaspool-demo-'));
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => process.exit(1));
  }
  process.on('exit', () => {
    if (flags.keep) process.stdout.write(`files: ${directory}\n`);
    else rmSync(directory, {recursive: true, force: true});
  });
  try {
    process.exitCode = await run(flags, directory);
  } catch (error) {
    process.stderr.write(`demo: ${(error as Error).message}\n`);
    process.exitCode = 1;
  }
}

sade('demo', true)
  .describe(
    'Runs a deployment under traffic and faults, and checks the responses.',
  )
  .option('--deployment', 'newsroom or rental', 'newsroom')
  .option('--rate', 'Requests per second', 200)
  .option('--seed', 'Random seed of the traffic', 1)
  .option(
    '--keep',
    'Keep the logs and settings of the processes, and the results',
  )
  .action(main)
  .parse(process.argv);
