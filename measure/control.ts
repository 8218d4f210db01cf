import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {createProcesses} from '../demo/processes.js';
import {DAEMON_METRICS} from '../src/daemon/metrics.js';
import {formatAddress} from '../src/model/index.js';
import {
  createFleet,
  startDaemon,
  waitUntilServing,
  type Fleet,
  type Node,
} from './fleet.js';
import {fitLine, mean} from './statistics.js';
import {drawPlot} from './plot.js';
import {
  formatResults,
  round,
  describeRun,
  writeResultFile,
  writeResults,
  type Result,
} from './results.js';

const DOMAINS = 4;

/** Slices for each daemon. */
const SLICES_PER_DAEMON = 4;

/** Daemons whose upstreams share one process. */
const UPSTREAMS_PER_PROCESS = 32;

/** Time limit for a fleet to serve every slice, in milliseconds. */
const START_TIMEOUT_MS = 120_000;

/** Time from the start of service to the measurement, in milliseconds. */
const WARM_UP_MS = 10_000;

/** Time over which a fleet is measured, in milliseconds. */
const SAMPLE_DURATION_MS = 20_000;

/** Headers of IP and UDP, in bytes. */
const IP_UDP_HEADER_BYTES = 28;

/** What one daemon has used at one time. */
interface Usage {
  readonly cpuSeconds: number;
  readonly heapBytes: number;
  readonly residentBytes: number;
  readonly messages: number;
  readonly bytes: number;
}

/** What a daemon uses in a second, or at the end of the measurement. */
interface Metric {
  readonly name: string;
  readonly unit: string;
  readonly of: (before: Usage, after: Usage, seconds: number) => number;
}

const METRICS: readonly Metric[] = [
  {
    name: 'cpu',
    unit: '% of a core',
    of: (a, b, s) => (100 * (b.cpuSeconds - a.cpuSeconds)) / s,
  },
  {
    name: 'messages',
    unit: 'messages/s',
    of: (a, b, s) => (b.messages - a.messages) / s,
  },
  {
    name: 'traffic',
    unit: 'bytes/s',
    of: (a, b, s) =>
      (b.bytes - a.bytes + IP_UDP_HEADER_BYTES * (b.messages - a.messages)) / s,
  },
  {name: 'heap', unit: 'bytes', of: (_, b) => b.heapBytes},
  {name: 'resident', unit: 'bytes', of: (_, b) => b.residentBytes},
];

/**
 * Measures what a daemon uses without traffic, at several sizes of the fleet.
 * Datagrams sent and received are counted with their IP and UDP headers; the
 * streams over TCP are not counted.
 */
export async function run(args: readonly string[]): Promise<void> {
  const {values} = parseArgs({
    args: [...args],
    options: {sizes: {type: 'string', default: '4,16,64'}},
  });
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => process.exit(1));
  }
  const sizes = values.sizes.split(',').map(Number);
  const header = describeRun(['npm run measure -- control', ...args].join(' '));
  const results: Result[] = [];
  for (const size of sizes) {
    results.push(...(await measureFleet(size)));
    process.stderr.write(formatResults(header, results.slice(-METRICS.length)));
  }
  writeResults('control.jsonl', header, [...results, ...fitSlopes(results)]);
  writeResultFile('control.svg', drawPlot(plotOf(results)));
}

async function measureFleet(size: number): Promise<readonly Result[]> {
  const directory = mkdtempSync(join(tmpdir(), 'vanillaspool-control-'));
  const processes = createProcesses(directory);
  try {
    const fleet = await createFleet(processes, directory, {
      domains: DOMAINS,
      instancesPerDomain: size / DOMAINS,
      slices: size * SLICES_PER_DAEMON,
    });
    fleet.nodes.forEach(node => startDaemon(fleet, node));
    startUpstreams(fleet);
    await waitUntilServing(fleet, START_TIMEOUT_MS);
    await sleep(WARM_UP_MS);
    return await measureMetrics(fleet.nodes);
  } finally {
    await processes.killAll();
    rmSync(directory, {recursive: true, force: true});
  }
}

function startUpstreams({processes, nodes, service}: Fleet): void {
  for (let start = 0; start < nodes.length; start += UPSTREAMS_PER_PROCESS) {
    const controls = nodes
      .slice(start, start + UPSTREAMS_PER_PROCESS)
      .map(({control}) => formatAddress(control));
    const args = [service.name, ...controls];
    processes.start(`upstreams-${start}`, 'measure/fleet/upstreams.js', args);
  }
}

async function measureMetrics(
  nodes: readonly Node[],
): Promise<readonly Result[]> {
  const startMs = performance.now();
  const before = await Promise.all(nodes.map(readUsage));
  await sleep(SAMPLE_DURATION_MS);
  const after = await Promise.all(nodes.map(readUsage));
  const seconds = (performance.now() - startMs) / 1000;
  return METRICS.flatMap(({name, unit, of}) => {
    const values = before.map((usage, i) => of(usage, after[i], seconds));
    const daemons = {daemons: nodes.length};
    return [
      {name, value: round(mean(values)), unit, of: daemons},
      {
        name: `${name}-max`,
        value: round(Math.max(...values)),
        unit,
        of: daemons,
      },
    ];
  });
}

async function readUsage({control}: Node): Promise<Usage> {
  const url = `http://${formatAddress(control)}/metrics`;
  const text = await (await fetch(url)).text();
  const {cpu, heap, resident, datagrams, datagramBytes} = DAEMON_METRICS;
  return {
    cpuSeconds: sumMetric(text, cpu.name),
    heapBytes: sumMetric(text, heap.name),
    residentBytes: sumMetric(text, resident.name),
    messages: sumMetric(text, datagrams.name),
    bytes: sumMetric(text, datagramBytes.name),
  };
}

/** Adds up the values of a metric over its labels. */
function sumMetric(text: string, name: string): number {
  return text
    .split('\n')
    .filter(line => line.startsWith(`${name}{`) || line.startsWith(`${name} `))
    .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
}

function pointsOf(results: readonly Result[], name: string) {
  return results
    .filter(result => result.name === name)
    .map(({of, value}) => ({x: Number(of?.daemons), y: value}));
}

function fitSlopes(results: readonly Result[]): readonly Result[] {
  return METRICS.flatMap(({name, unit}) => {
    const points = pointsOf(results, name);
    if (points.length < 2) return [];
    const {slope, intercept, r2} = fitLine(points);
    return [
      {name: `${name}-slope`, value: round(slope), unit: `${unit} a daemon`},
      {name: `${name}-intercept`, value: round(intercept), unit},
      {name: `${name}-r2`, value: round(r2), unit: 'share'},
    ];
  });
}

function plotOf(results: readonly Result[]) {
  return {
    title: 'Processor time and messages of a daemon without traffic',
    xLabel: 'daemons',
    yLabel: '% of a core, messages/s',
    series: ['cpu', 'messages'].map(name => ({
      name,
      points: pointsOf(results, name),
    })),
    logY: true,
  };
}
