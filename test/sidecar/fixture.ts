import http from 'node:http';
import net from 'node:net';
import {once} from 'node:events';
import {threadId} from 'node:worker_threads';
import {
  startInstance,
  startMetadataStore,
  type InstanceStandin,
  type MetadataStoreStandin,
} from '../../standin/fleet/index.js';
import {createInstanceCalls} from '../../platform/calls.js';
import {createControlHandler} from '../../platform/control.js';
import {
  CONFIGURATION_KEY,
  readConfiguration,
} from '../../platform/configuration.js';
import {PLATFORM_DIALECT} from '../../platform/dialect.js';
import {createMetadataStore} from '../../platform/store.js';
import {
  createMetricsRecorder,
  createSidecar,
  type GrantMethod,
  type Sidecar,
  type SidecarSettings,
} from '../../src/sidecar/index.js';
import {
  createMetrics,
  type EventFields,
  type EventKind,
} from '../../src/telemetry/index.js';

/** Interval between heartbeats in these tests. */
export const HEARTBEAT_INTERVAL_MS = 200;

/** A daemon and its local instance. */
export interface Pair {
  readonly sidecar: Sidecar;
  /** The instance, in its latest life. */
  readonly instance: InstanceStandin;
  /** The lives of the instance so far. */
  readonly lives: readonly InstanceStandin[];
  readonly callers: string;
  /** Address of the daemon that other daemons connect to. */
  readonly node: string;
  readonly events: readonly (readonly [EventKind, EventFields])[];
  /** Returns the metrics of the daemon, as operators read them. */
  readonly metrics: () => Promise<string>;
  /** Restarts the daemon; the instance keeps running. */
  readonly restart: () => Promise<void>;
  readonly close: () => Promise<void>;
}

/** A fleet under test. */
export interface TestFleet {
  readonly store: MetadataStoreStandin;
  readonly pairs: readonly Pair[];
  readonly close: () => Promise<void>;
}

/** A response as received by a caller. */
export interface Answer {
  /** Identifier of the request. */
  readonly id: string;
  readonly status: number;
  readonly body: string;
  readonly retryAfter?: string;
}

const ROUTE_COLUMNS = [
  'name',
  'host',
  'path_prefix',
  'kind',
  'timeout_s',
  'target_latency_s',
  'priority',
  'service',
  'max_attempts',
];

/**
 * Returns a configuration with a keyed service `stock` and an unkeyed one
 * `desk`.
 *
 * @example
 * store.write('config', 'main', configuration(1));
 */
export function configuration(version: number): unknown {
  return {
    version,
    routes: {
      columns: ROUTE_COLUMNS,
      rows: [
        ['view', 'a.example', '/view/', 'idempotent', 1.2, 0.4, 2, 'stock', 2],
        [
          'book',
          'a.example',
          '/book/',
          'non_idempotent',
          1.5,
          0.5,
          1,
          'desk',
          2,
        ],
      ],
    },
    services: {
      columns: ['name', 'max_connections', 'sharded'],
      rows: [
        ['stock', 130, true],
        ['desk', 130, null],
      ],
    },
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_000_000,
      header_timeout_s: 3,
      idle_timeout_s: 15,
    },
  };
}

/**
 * Returns a configuration in which the route of `desk` has another path.
 *
 * @example
 * store.write('config', 'main', configurationWithMovedRoute(5));
 */
export function configurationWithMovedRoute(version: number): unknown {
  const moved = configuration(version) as {routes: {rows: unknown[][]}};
  moved.routes.rows[1][2] = '/moved/';
  return moved;
}

/**
 * Loopback address of this test worker, so that daemons of tests in other
 * processes do not bind its ports while a daemon restarts, and get no requests
 * that are meant for it. Systems with one loopback address share that.
 */
const HOST = await workerHost();

async function workerHost(): Promise<string> {
  const parts = [process.pid >> 8, process.pid, threadId];
  const own = ['127', ...parts.map(part => 1 + (part % 254))].join('.');
  const server = net.createServer().listen(0, own);
  const isUsable = await once(server, 'listening').then(
    () => true,
    () => false,
  );
  server.close();
  return isUsable ? own : '127.0.0.1';
}

/**
 * Ports of this test worker, below the range that the system assigns to
 * connections and to servers without a fixed port.
 */
const PORTS_PER_WORKER = 500;
let nextPort = 10_000 + (threadId % 40) * PORTS_PER_WORKER;

/** Returns a port that no process listens on. */
async function freePort(): Promise<number> {
  for (;;) {
    const port = nextPort++;
    const server = net.createServer().listen(port, HOST);
    const isFree = await once(server, 'listening').then(
      () => true,
      () => false,
    );
    if (!isFree) continue;
    server.close();
    await once(server, 'close');
    return port;
  }
}

/** Options of a test fleet. */
export interface FleetOptions {
  /** Processing time of an instance per request, in milliseconds. */
  readonly workMs?: number;
  /** Time from the shutdown of a daemon until it is killed, in seconds. */
  readonly graceS?: number;
  readonly grants?: GrantMethod;
  /** Requests that end the instance that runs them, by their path. */
  readonly isDeadly?: (path: string) => boolean;
}

/** Time after which an instance that has ended is started again. */
const INSTANCE_RESTART_MS = 300;

/** Starts a daemon and its local instance. */
async function startPair(
  store: MetadataStoreStandin,
  service: string,
  index: number,
  {workMs = 20, graceS = 4, grants = 'heartbeat', isDeadly}: FleetOptions,
): Promise<Pair> {
  const ports = await Promise.all([1, 2, 3, 4].map(() => freePort()));
  const [callers, peers, ready, control] = ports.map(p => `${HOST}:${p}`);
  const instancePort = await freePort();
  const events: [EventKind, EventFields][] = [];
  const log = (kind: EventKind, fields: EventFields = {}) => {
    events.push([kind, fields]);
  };
  const settings: SidecarSettings = {
    name: `daemon-${index}`,
    domain: `zone-${index % 2}`,
    service,
    instance: `${HOST}:${instancePort}`,
    callers,
    peers,
    ready,
    control,
    metrics: '127.0.0.1:1',
    store: store.address,
    heartbeatS: HEARTBEAT_INTERVAL_MS / 1000,
    grants,
    drainS: 1,
    graceS,
    holdLimitS: 2,
    retryShare: 0.2,
  };
  const metrics = createMetrics();
  const {recordStoreRestored} = createMetricsRecorder(metrics);
  const createDaemon = () =>
    createSidecar({
      settings,
      store: createMetadataStore(store.address),
      dialect: PLATFORM_DIALECT,
      configurationKey: CONFIGURATION_KEY,
      readConfiguration,
      instanceCalls: createInstanceCalls,
      log,
      onStoreRestored: recordStoreRestored,
    });
  let sidecar = createDaemon();
  const server = http.createServer((request, response) =>
    createControlHandler(sidecar, log)(request, response),
  );
  server.listen(Number(control.split(':')[1]), HOST);
  await once(server, 'listening');
  await sidecar.start();
  const lives: InstanceStandin[] = [];
  let isClosed = false;
  const startLife = async () => {
    const life = await startInstance({
      id: `i-${service}-${index}${lives.length > 0 ? `-${lives.length}` : ''}`,
      born: 1000 + index + lives.length * 100,
      service,
      zone: `zone-${index % 2}`,
      slots: 4,
      workMs,
      keyed: service === 'stock',
      grants,
      heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
      control,
      host: HOST,
      port: instancePort,
    });
    life.isDeadly = isDeadly;
    life.onCrash = () => {
      if (!isClosed && isDeadly) setTimeout(startAgain, INSTANCE_RESTART_MS);
    };
    lives.push(life);
  };
  /** Starts the next life; its port may still be in use for a moment. */
  const startAgain = () => {
    if (isClosed) return;
    startLife().catch(() => setTimeout(startAgain, INSTANCE_RESTART_MS));
  };
  await startLife();
  return {
    get sidecar() {
      return sidecar;
    },
    get instance() {
      return lives[lives.length - 1];
    },
    lives,
    callers,
    node: peers,
    events,
    metrics: () => {
      sidecar.updateGauges(metrics);
      return metrics.text();
    },
    restart: async () => {
      await sidecar.shutDown();
      sidecar = createDaemon();
      await sidecar.start();
      await waitUntil(sidecar.isReady);
    },
    close: async () => {
      isClosed = true;
      lives[lives.length - 1].crash();
      await sidecar.shutDown();
      server.closeAllConnections();
      server.close();
    },
  };
}

/**
 * Largest number of fleets that are open in a process at a time. The tests of a
 * file run at once in one process, and a daemon whose process is behind refuses
 * requests.
 */
const MAX_OPEN_FLEETS = 3;

let openFleets = 0;
const waitingFleets: (() => void)[] = [];

/** Waits until another fleet may be opened. */
async function enterFleet(): Promise<void> {
  if (openFleets >= MAX_OPEN_FLEETS) {
    await new Promise<void>(resolve => waitingFleets.push(resolve));
  }
  openFleets += 1;
}

function leaveFleet(): void {
  openFleets -= 1;
  waitingFleets.shift()?.();
}

/**
 * Starts a fleet and waits until its keys are held. Waits before that while too
 * many other fleets are open.
 *
 * @param services Service of the local instance of each daemon.
 *
 * @example
 * const fleet = await startFleet(['stock', 'stock', 'desk']);
 */
export async function startFleet(
  services: readonly string[],
  options: FleetOptions = {},
): Promise<TestFleet> {
  await enterFleet();
  const store = await startMetadataStore();
  store.write('config', 'main', configuration(1));
  const pairs = await Promise.all(
    services.map((service, index) => startPair(store, service, index, options)),
  );
  const keyed = pairs.filter((_, index) => services[index] === 'stock');
  const registered = (index: number) => {
    const {node} = pairs[index];
    return store.read('fleet', `member.${node}`) !== undefined;
  };
  await waitUntil(() => services.every((_, index) => registered(index)));
  await waitUntil(() => pairs.every(pair => pair.sidecar.isReady()));
  await waitUntil(() => keyed.every(pair => pair.instance.holds().length > 0));
  return {
    store,
    pairs,
    close: async () => {
      await Promise.all(pairs.map(pair => pair.close()));
      store.close();
      leaveFleet();
    },
  };
}

/**
 * Waits until a condition holds.
 *
 * @throws {Error} when it does not hold within 15 seconds.
 *
 * @example
 * await waitUntil(() => instance.holds().length > 0);
 */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const deadline = Date.now() + 15_000;
  while (!condition()) {
    if (Date.now() > deadline)
      throw new Error('condition did not hold within 15 s');
    await new Promise(resolve => setTimeout(resolve, 20));
  }
}

/** Most requests until one is served. */
const MAX_ATTEMPTS = 100;

/**
 * Sends requests until one is served. The daemon that receives them may not
 * know yet where they can be run, or be behind after the start of its process.
 *
 * @throws {Error} when 100 requests are not served.
 *
 * @example
 * await untilServed(() => sendRequest(pair.callers, 'GET', '/view/x', 4711));
 */
export async function untilServed(send: () => Promise<Answer>): Promise<void> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    if ((await send()).status === 200) return;
  }
  throw new Error(`${MAX_ATTEMPTS} requests were not served`);
}

let lastId = 0;

/**
 * Sends one request as a caller.
 *
 * @example
 * const {status} = await sendRequest(pair.callers, 'GET', '/view/x', 4711);
 */
export function sendRequest(
  callers: string,
  method: string,
  path: string,
  key?: number,
  body?: Buffer,
  timeoutMs = 2000,
): Promise<Answer> {
  const [host, port] = callers.split(':');
  const id = `r${++lastId}`;
  const headers: Record<string, string> = {
    Host: 'a.example',
    'X-Vanillaspool-Request-Id': id,
    'X-Vanillaspool-Request-Deadline': String(timeoutMs),
  };
  if (key !== undefined) headers['X-Vanillaspool-Shard-Key'] = String(key);
  return new Promise((resolve, reject) => {
    const request = http.request(
      {host, port, method, path, headers, agent: false},
      response => {
        const parts: Buffer[] = [];
        response.on('data', (part: Buffer) => parts.push(part));
        response.on('error', reject);
        response.on('end', () =>
          resolve({
            id,
            status: response.statusCode ?? 0,
            body: Buffer.concat(parts).toString(),
            retryAfter: response.headers['retry-after'],
          }),
        );
      },
    );
    request.on('error', reject);
    request.end(body);
  });
}
