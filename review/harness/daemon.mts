import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {join} from 'node:path';

/** The machine of one endpoint: its daemon and the addresses of both. */
export interface Machine {
  readonly name: string;
  readonly zone: string;
  readonly service: string;
  readonly app: string;
  readonly callers: string;
  readonly peers: string;
  readonly ready: string;
  readonly control: string;
  readonly settings: string;
  readonly log: string;
  process?: ChildProcess;
}

/** Command of the role in deploy/system.toml. */
const ARGUMENTS = [
  '--v8-pool-size=0',
  '--single-threaded',
  '--max-old-space-size=96',
  '--max-semi-space-size=8',
  'target/vanillaspool.mjs',
];

/**
 * Ports below the range from which the system takes those of outgoing
 * connections, so that none of these occupies a port before its daemon starts.
 */
const PORTS = {first: 12_000, last: 30_000};
let nextPort =
  PORTS.first + Math.floor(Math.random() * (PORTS.last - PORTS.first));

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

async function freePort(): Promise<number> {
  for (;;) {
    const port = nextPort;
    nextPort = port < PORTS.last ? port + 1 : PORTS.first;
    if (await isFree(port)) return port;
  }
}

/** Options of a machine. */
export interface MachineOptions {
  readonly name: string;
  readonly zone: string;
  readonly service: string;
  readonly store: string;
  readonly grants: 'rpc' | 'heartbeat';
  readonly folder: string;
}

/** Writes the settings of a machine, filled in as the platform does. */
export async function createMachine(options: MachineOptions): Promise<Machine> {
  const address = async () => `127.0.0.1:${await freePort()}`;
  const {name, zone, service, folder} = options;
  const app = await address();
  const callers = await address();
  const peers = await address();
  const ready = await address();
  const control = await address();
  const settings = join(folder, `${name}.json`);
  const fields = {
    name,
    domain: zone,
    service,
    instance: app,
    callers,
    peers,
    ready,
    control,
    metrics: await address(),
    store: options.store,
    heartbeatS: 0.87,
    grants: options.grants,
    drainS: 2,
    graceS: 6,
    holdLimitS: 10,
    retryShare: 0.2,
  };
  writeFileSync(settings, JSON.stringify(fields, undefined, 2));
  const log = join(folder, `${name}.log`);
  return {
    name,
    zone,
    service,
    app,
    callers,
    peers,
    ready,
    control,
    settings,
    log,
  };
}

const children = new Set<ChildProcess>();

// Ends all daemons, however this process ends.
process.on('exit', () => children.forEach(child => child.kill('SIGKILL')));
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
  process.on(signal, () => process.exit(2));
}

/** Starts the daemon of a machine with the command of the deploy file. */
export function startDaemon(machine: Machine): void {
  const log = createWriteStream(machine.log, {flags: 'a'});
  const child = spawn(process.execPath, ARGUMENTS, {
    cwd: process.env.REPOSITORY,
    env: {
      PATH: process.env.PATH,
      HOME: process.env.HOME,
      VANILLASPOOL_SETTINGS: machine.settings,
    },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  child.stdout.pipe(log, {end: false});
  child.stderr.pipe(log, {end: false});
  children.add(child);
  child.once('exit', () => children.delete(child));
  machine.process = child;
}

/** Waits until the daemon of a machine says that it is ready. */
export async function untilReady(
  {ready, name}: Machine,
  limitMs = 15_000,
): Promise<void> {
  const until = Date.now() + limitMs;
  while (Date.now() < until) {
    const isReady = await fetch(`http://${ready}/-/readyz`)
      .then(response => response.status === 200)
      .catch(() => false);
    if (isReady) return;
    await new Promise(resolve => setTimeout(resolve, 100));
  }
  throw new Error(`${name} is not ready`);
}

/** Ends all daemons that were started. */
export async function stopDaemons(machines: readonly Machine[]): Promise<void> {
  for (const {process: child} of machines) {
    if (!child || child.exitCode !== null || child.signalCode) continue;
    const ended = new Promise(resolve => child.once('exit', resolve));
    child.kill('SIGKILL');
    await ended;
  }
}
