import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {findPorts} from '../../demo/ports.js';
import {
  startInstance,
  startMetadataStore,
  type InstanceStandin,
  type MetadataStoreStandin,
} from '../../standin/fleet/index.js';

/** The daemon under test: a bundle, and the flags of Node.js for it. */
export interface Variant {
  readonly name: string;
  readonly bundle: string;
  readonly flags: readonly string[];
}

/** A daemon as a process of its own, with its instance. */
export interface RunningDaemon {
  readonly pid: number;
  /** Address for callers, as `ip:port`. */
  readonly callers: string;
}

/** Two daemons, their instances and the store. */
export interface World {
  /** The daemon that callers of the route `view` send to. */
  readonly entry: RunningDaemon;
  /** The daemon beside the instance that holds all keys of `view`. */
  readonly owner: RunningDaemon;
  readonly close: () => Promise<void>;
}

const HEARTBEAT_INTERVAL_MS = 870;
const SLOTS = 18;
const WORK_MS = 20;
const START_LIMIT_MS = 20_000;
const POLL_INTERVAL_MS = 50;

const CONFIGURATION = {
  version: 1,
  routes: tableOf(
    createRoute('view', 'stock', 'idempotent'),
    createRoute('book', 'desk', 'non_idempotent'),
  ),
  services: tableOf(
    {name: 'stock', max_connections: 110, sharded: true},
    {name: 'desk', max_connections: 110, sharded: null},
  ),
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 1_000_000,
    header_timeout_s: 3,
    idle_timeout_s: 15,
  },
};

function createRoute(name: string, service: string, kind: string): object {
  return {
    ...{name, host: 'a.example', path_prefix: `/${name}/`, kind},
    ...{timeout_s: 1.2, target_latency_s: 0.4, priority: 2},
    ...{service, max_attempts: 2},
  };
}

/** Returns rows of the same fields as a table of the configuration. */
function tableOf(...rows: readonly object[]): object {
  return {columns: Object.keys(rows[0]), rows: rows.map(Object.values)};
}

/**
 * Starts two daemons as they are deployed, with stand-ins for all else, and
 * waits until the keys are held.
 *
 * @example
 * const world = await startWorld({name: 'now', bundle, flags: []});
 */
export async function startWorld(variant: Variant): Promise<World> {
  const directory = mkdtempSync(join(tmpdir(), 'vanillaspool-request-'));
  const store = await startMetadataStore();
  const children: ChildProcess[] = [];
  const instances: InstanceStandin[] = [];
  store.write('config', 'main', CONFIGURATION);
  const start = async (service: string, index: number) => {
    const started = await startPair(variant, directory, store, service, index);
    children.push(started.child);
    instances.push(started.instance);
    return started;
  };
  const killAll = () => children.forEach(child => child.kill('SIGKILL'));
  process.once('exit', killAll);
  const close = async () => {
    process.off('exit', killAll);
    for (const child of children) {
      const exited = once(child, 'exit');
      child.kill('SIGKILL');
      await exited;
    }
    for (const instance of instances) instance.crash();
    store.close();
    rmSync(directory, {recursive: true, force: true});
  };
  try {
    const entry = await start('desk', 0);
    const owner = await start('stock', 1);
    await waitUntil(() => owner.instance.holds().length > 0);
    return {entry, owner, close};
  } catch (error) {
    await close();
    throw error;
  }
}

async function startPair(
  {bundle, flags}: Variant,
  directory: string,
  store: MetadataStoreStandin,
  service: string,
  index: number,
) {
  const ports = await findPorts(6);
  const addresses = ports.map(port => `127.0.0.1:${port}`);
  const [callers, peers, ready, control, metrics, address] = addresses;
  const path = join(directory, `settings-${index}.json`);
  const settings = {
    ...{name: `daemon-${index}`, domain: `zone-${index}`, service},
    ...{instance: address, callers, peers, ready, control, metrics},
    store: store.address,
    heartbeatS: HEARTBEAT_INTERVAL_MS / 1000,
    grants: 'heartbeat',
    ...{drainS: 2, graceS: 6, holdLimitS: 10, retryShare: 0.2},
  };
  writeFileSync(path, JSON.stringify(settings));
  const log = openSync(join(directory, `daemon-${index}.txt`), 'a');
  const child = spawn(process.execPath, [...flags, bundle], {
    env: {PATH: process.env.PATH, VANILLASPOOL_SETTINGS: path},
    stdio: ['ignore', log, 'inherit'],
  });
  const instance = await startInstance({
    ...{id: `instance-${index}`, born: 1000 + index, service},
    ...{zone: settings.domain, slots: SLOTS, workMs: WORK_MS},
    keyed: service === 'stock',
    heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
    control,
    port: ports[5],
  });
  await waitUntil(() => store.read('fleet', `member.${peers}`) !== undefined);
  return {child, instance, pid: child.pid ?? 0, callers};
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const deadline = performance.now() + START_LIMIT_MS;
  while (!condition()) {
    if (performance.now() > deadline)
      throw new Error(`the daemons did not start within ${START_LIMIT_MS} ms`);
    await sleep(POLL_INTERVAL_MS);
  }
}

/**
 * Returns the flags of Node.js with which the deploy file runs the daemon.
 *
 * @throws {Error} if the file has no such line.
 *
 * @example
 * deployedFlags('deploy/system.toml'); // ['--single-threaded', ...]
 */
export function deployedFlags(file: string): readonly string[] {
  const run = /^run = "node (.*)"$/m.exec(readFileSync(file, 'utf8'))?.[1];
  if (run === undefined) throw new Error(`${file}: no line that runs node`);
  return run.split(' ').filter(word => word.startsWith('--'));
}
