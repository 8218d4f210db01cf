import {execFileSync} from 'node:child_process';
import {createRandom} from './random.js';
import {sendTraffic, type TrafficResult} from './request/callers.js';
import {readUsage, usagePerRequest, type Usage} from './request/usage.js';
import {
  deployedFlags,
  startWorld,
  type RunningDaemon,
  type Variant,
} from './request/world.js';
import {round} from './results.js';

const BUNDLE = 'target/vanillaspool.mjs';
const DEPLOY_FILE = 'deploy/system.toml';
const ROUNDS = 3;
const SEED = 1;
const TRAFFIC = {perSecond: 60, seconds: 30, route: 'view', newShare: 0.6};

/** Cost of one request in one round. */
interface Cost {
  readonly startMs: number;
  readonly entry: Usage;
  readonly owner: Usage;
  readonly traffic: TrafficResult;
}

/**
 * Measures the processor time of a request at the daemon that it enters and at
 * the one beside its instance, as deployed and from the start of the processes.
 *
 * The variants run at the same time, so that other load on the machine affects
 * all alike.
 *
 * @param args `--rounds N`, `--seconds N`, and for each variant
 *     `--variant NAME[=BUNDLE]`, which `--flags "..."` may follow. Without a
 *     variant, builds and measures the bundle of this tree.
 */
export async function run(args: readonly string[]): Promise<void> {
  const {rounds, seconds, variants} = parseArguments(args);
  const traffic = {...TRAFFIC, seconds};
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    // The daemons are killed at the exit.
    process.once(signal, () => process.exit(1));
  }
  for (let i = 0; i < rounds; i++) {
    const seed = SEED + i;
    const costs = await Promise.all(
      variants.map(variant => measure(variant, traffic, seed)),
    );
    variants.forEach(({name}, index) => printCost(name, seed, costs[index]));
  }
}

interface Arguments {
  readonly rounds: number;
  readonly seconds: number;
  readonly variants: readonly Variant[];
}

function parseArguments(args: readonly string[]): Arguments {
  let rounds = ROUNDS;
  let {seconds} = TRAFFIC;
  const variants: Variant[] = [];
  const flags = deployedFlags(DEPLOY_FILE);
  for (let i = 0; i < args.length; i += 2) {
    const value = args[i + 1] ?? '';
    switch (args[i]) {
      case '--rounds':
        rounds = Number(value);
        break;
      case '--seconds':
        seconds = Number(value);
        break;
      case '--variant': {
        const [name, bundle = BUNDLE] = value.split('=');
        variants.push({name, bundle, flags});
        break;
      }
      case '--flags': {
        const last = variants.pop();
        if (!last) throw new RangeError('--flags must follow --variant');
        variants.push({...last, flags: value.split(' ')});
        break;
      }
      default:
        throw new RangeError(`unknown option ${args[i]}`);
    }
  }
  if (variants.length > 0) return {rounds, seconds, variants};
  execFileSync(process.execPath, ['tools/bundle.mjs']);
  return {rounds, seconds, variants: [{name: 'now', bundle: BUNDLE, flags}]};
}

async function measure(
  variant: Variant,
  traffic: typeof TRAFFIC,
  seed: number,
): Promise<Cost> {
  const world = await startWorld(variant);
  try {
    const read = ({pid}: RunningDaemon) => readUsage(pid);
    const entryBefore = read(world.entry);
    const ownerBefore = read(world.owner);
    const result = await sendTraffic(
      world.entry.callers,
      traffic,
      createRandom(seed),
    );
    const {requests} = result;
    return {
      startMs: entryBefore.cpuMs,
      entry: usagePerRequest(entryBefore, read(world.entry), requests),
      owner: usagePerRequest(ownerBefore, read(world.owner), requests),
      traffic: result,
    };
  } finally {
    await world.close();
  }
}

function printCost(name: string, seed: number, cost: Cost): void {
  const {entry, owner, traffic} = cost;
  const totalMs = round(entry.cpuMs + owner.cpuMs);
  const line = {
    ...{measure: 'request', variant: name, seed},
    ...{totalMs, startMs: round(cost.startMs)},
    entry: roundAll(entry),
    owner: roundAll(owner),
    ...roundAll(traffic),
  };
  process.stdout.write(JSON.stringify(line) + '\n');
}

function roundAll(values: object): object {
  return Object.fromEntries(
    Object.entries(values).map(([name, value]) => [name, round(value, 3)]),
  );
}
