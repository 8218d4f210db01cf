import {fork, type ChildProcess} from 'node:child_process';
import {mkdirSync, writeFileSync} from 'node:fs';
import type {Address} from '../src/model/index.js';
import type {Command} from './forward/child.js';
import type {Latency} from './forward/load.js';
import type {Addresses, Role} from './forward/roles.js';

const CONNECTIONS = 16;
const WARM_UP_REQUESTS = 8000;
const ROUND_REQUESTS = 8000;
const ROUNDS = 7;
const REQUESTS_PER_S = 500;
const RATE_DURATION_MS = 10_000;
const SAMPLED_SHARE = 0.01;

/** One way to answer a request: its entry and the processes that it costs. */
interface Variant {
  readonly name: string;
  readonly address: Address;
  readonly children: readonly ChildProcess[];
}

/** Processor time for each request of one way, in microseconds. */
interface Cost {
  readonly way: string;
  readonly rounds: readonly number[];
}

/**
 * Measures the processor time for each request against a bare server and a
 * naive forward, and the time to an answer at a fixed rate.
 *
 * @param args `--rounds N` and `--rate N` replace the defaults.
 */
export async function run(args: readonly string[]): Promise<void> {
  const rounds = readNumberOption(args, '--rounds', ROUNDS);
  const rate = readNumberOption(args, '--rate', REQUESTS_PER_S);
  const children: ChildProcess[] = [];
  try {
    const {ways, load} = await startVariants(children);
    const costs = await measureCosts(ways, load, rounds);
    const lines = costs.map(cost => costLine(cost, costs));
    for (const way of ways) lines.push(await latencyLine(way, load, rate));
    writeLines(lines);
  } finally {
    for (const child of children) child.kill();
  }
}

function readNumberOption(
  args: readonly string[],
  name: string,
  byDefault: number,
): number {
  const index = args.indexOf(name);
  if (index < 0) return byDefault;
  const value = Number(args[index + 1]);
  if (!(value > 0)) throw new RangeError(`${name} needs a positive number`);
  return value;
}

/** Starts all processes: one upstream serves every way but the bare one. */
async function startVariants(
  children: ChildProcess[],
): Promise<{readonly ways: readonly Variant[]; readonly load: ChildProcess}> {
  const start = (role: Role) => startChild(children, role);
  const upstream = (await start({kind: 'bare'})).addresses.callers;
  const bare = await start({kind: 'bare'});
  const naive = await start({kind: 'naive', upstream});
  const ways: Variant[] = [variantOf('bare', bare), variantOf('naive', naive)];
  for (const sampled of [0, SAMPLED_SHARE, 1]) {
    const traces = sampled === 0 ? 'traces off' : `traces ${sampled}`;
    const owner = await start({kind: 'daemon', upstream, sampled});
    const role = {kind: 'daemon', upstream, sampled} as const;
    const entry = await start({...role, owner: owner.addresses});
    ways.push(variantOf(`one pass, ${traces}`, owner));
    ways.push({
      name: `two passes, ${traces}`,
      address: entry.addresses.callers,
      children: [entry.child, owner.child],
    });
  }
  return {ways, load: forkChild(children)};
}

interface Child {
  readonly child: ChildProcess;
  readonly addresses: Addresses;
}

function variantOf(name: string, started: Child): Variant {
  const {child, addresses} = started;
  return {name, address: addresses.callers, children: [child]};
}

async function startChild(
  children: ChildProcess[],
  role: Role,
): Promise<Child> {
  const child = forkChild(children);
  const addresses = (await sendCommand(child, {
    kind: 'start',
    role,
  })) as Addresses;
  return {child, addresses};
}

function forkChild(children: ChildProcess[]): ChildProcess {
  const child = fork(new URL('./forward/child.js', import.meta.url));
  children.push(child);
  return child;
}

function sendCommand(child: ChildProcess, command: Command): Promise<unknown> {
  return new Promise((resolve, reject) => {
    const exited = () => reject(new Error('a measured process exited'));
    child.once('exit', exited);
    child.once('message', (answer: {readonly value: unknown}) => {
      child.off('exit', exited);
      resolve(answer.value);
    });
    child.send(command);
  });
}

/** Measures all ways in turn, round by round, so that each meets the same load. */
async function measureCosts(
  ways: readonly Variant[],
  load: ChildProcess,
  rounds: number,
): Promise<readonly Cost[]> {
  const costs = new Map(ways.map(way => [way.name, [] as number[]]));
  for (const way of ways) await measureRound(way, load, WARM_UP_REQUESTS);
  for (let round = 0; round < rounds; round++) {
    for (const way of ways) {
      const cost = await measureRound(way, load, ROUND_REQUESTS);
      costs.get(way.name)?.push(cost);
    }
  }
  return ways.map(way => ({way: way.name, rounds: costs.get(way.name) ?? []}));
}

async function measureRound(
  way: Variant,
  load: ChildProcess,
  requests: number,
): Promise<number> {
  const {address} = way;
  const before = await readCpuTimeUs(way.children);
  await sendCommand(load, {
    kind: 'closed',
    address,
    requests,
    connections: CONNECTIONS,
  });
  const after = await readCpuTimeUs(way.children);
  return (after - before) / requests;
}

async function readCpuTimeUs(
  children: readonly ChildProcess[],
): Promise<number> {
  let total = 0;
  for (const child of children) {
    total += (await sendCommand(child, {kind: 'usage'})) as number;
  }
  return total;
}

function costLine(cost: Cost, costs: readonly Cost[]): object {
  const ratioTo = (name: string) => {
    const base = costs.find(other => other.way === name);
    if (!base) throw new RangeError(`no way is named ${name}`);
    return median(cost.rounds.map((value, i) => value / base.rounds[i]));
  };
  return {
    measure: 'forward cost',
    way: cost.way,
    microsecondsPerRequest: round(median(cost.rounds)),
    ratioToBare: round(ratioTo('bare')),
    ratioToNaive: round(ratioTo('naive')),
    rounds: cost.rounds.map(round),
  };
}

async function latencyLine(
  way: Variant,
  load: ChildProcess,
  rate: number,
): Promise<object> {
  const {address} = way;
  const command = {kind: 'open', address, rate} as const;
  const durationMs = RATE_DURATION_MS;
  const connections = CONNECTIONS;
  const latency = await sendCommand(load, {
    ...command,
    durationMs,
    connections,
  });
  return {measure: 'forward latency', way: way.name, ...(latency as Latency)};
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted.length >> 1;
  if (sorted.length % 2 === 1) return sorted[middle];
  return (sorted[middle - 1] + sorted[middle]) / 2;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

function writeLines(lines: readonly object[]): void {
  const text = lines.map(line => JSON.stringify(line) + '\n').join('');
  process.stdout.write(text);
  mkdirSync('measure/results', {recursive: true});
  writeFileSync('measure/results/forward.jsonl', text);
}
