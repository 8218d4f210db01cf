/** A small deployment on loopback: daemons, endpoints, a store and clients. */
import {spawn, type ChildProcess} from 'node:child_process';
import {
  appendFileSync,
  createWriteStream,
  mkdtempSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import net from 'node:net';
import {once} from 'node:events';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import http from 'node:http';
import {
  startInstance,
  type InstanceOptions,
  type InstanceStandin,
} from '../../standin/fleet/instance.js';
import {startStore, type Store} from './store.mjs';

export {sleep};

/** Whether the disruption takes place. */
export const IS_TROUBLED = process.env.TROUBLE !== '0';

/** Bounds of the site, as its pages and settings state them. */
export const BOUNDS = {
  heartbeatS: 0.87,
  drainS: 2,
  graceS: 6,
  holdLimitS: 10,
  retryShare: 0.2,
  stableWindowS: 3,
  configS: 2,
} as const;

/** Start command of a daemon, as in the deploy file. */
const DAEMON = [
  '--v8-pool-size=0',
  '--single-threaded',
  '--max-old-space-size=96',
  '--max-semi-space-size=8',
  'target/vanillaspool.mjs',
];

export interface ServiceShape {
  readonly name: string;
  readonly keyed: boolean;
  readonly count: number;
  readonly slots: number;
  readonly workMs: number;
}

export interface Route {
  readonly name: string;
  readonly prefix: string;
  readonly kind: 'idempotent' | 'non_idempotent' | 'upload';
  readonly service: string;
  readonly timeoutS: number;
  /** Latency objective; a third of the timeout if missing. */
  readonly targetS?: number;
}

/** A relay between a daemon and the store. */
export interface Relay {
  readonly address: string;
  /** How new and open connections are treated. */
  mode: 'pass' | 'refuse';
  /** Open connections go silent for good; new ones work. */
  readonly silence: () => number;
  readonly close: () => void;
}

export interface Machine {
  readonly name: string;
  readonly zone: string;
  readonly service: ServiceShape;
  readonly callers: string;
  readonly peers: string;
  readonly ready: string;
  readonly control: string;
  readonly relay: Relay;
  endpoint: InstanceStandin;
  process?: ChildProcess;
  startedAt: number;
}

export interface Fleet {
  readonly machines: readonly Machine[];
  readonly store: Store;
  readonly configure: (version: number, routes: readonly Route[]) => void;
  readonly start: (machine: Machine) => void;
  readonly kill: (machine: Machine, signal?: NodeJS.Signals) => Promise<void>;
  readonly note: (event: string, fields?: object) => void;
  /** Ends everything and exits. */
  readonly end: (code: number, verdict: string) => Promise<never>;
}

const startedAt = performance.now();

/** Returns seconds since the start. */
export function now(): number {
  return (performance.now() - startedAt) / 1000;
}

async function startRelay(target: string): Promise<Relay> {
  const [host, port] = target.split(':');
  const pairs = new Set<readonly [net.Socket, net.Socket]>();
  const server = net.createServer({allowHalfOpen: true}, inner => {
    inner.on('error', () => {});
    if (relay.mode === 'refuse') return void inner.resetAndDestroy();
    const outer = net.connect({
      host,
      port: Number(port),
      allowHalfOpen: true,
    });
    outer.on('error', () => inner.destroy());
    const pair = [inner, outer] as const;
    pairs.add(pair);
    inner.pipe(outer);
    outer.pipe(inner);
    inner.on('close', () => {
      pairs.delete(pair);
      outer.destroy();
    });
    outer.on('close', () => {
      if (pairs.delete(pair)) inner.destroy();
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const bound = server.address() as net.AddressInfo;
  let mode: Relay['mode'] = 'pass';
  const relay: Relay = {
    address: `127.0.0.1:${bound.port}`,
    get mode() {
      return mode;
    },
    set mode(next) {
      mode = next;
      if (next !== 'refuse') return;
      for (const [inner, outer] of pairs) {
        inner.resetAndDestroy();
        outer.destroy();
      }
      pairs.clear();
    },
    silence: () => {
      const count = pairs.size;
      for (const [inner, outer] of pairs) {
        // Both ends stay open, and nothing passes any more.
        inner.unpipe(outer);
        outer.unpipe(inner);
        inner.resume();
        outer.resume();
      }
      pairs.clear();
      return count;
    },
    close: () => server.close(),
  };
  return relay;
}

/**
 * Returns free ports of a loopback address. It is not 127.0.0.1, from which
 * connections are opened and might take one of them meanwhile.
 */
async function findAddresses(host: string, count: number): Promise<string[]> {
  const servers = await Promise.all(
    Array.from({length: count}, async () => {
      const server = net.createServer().listen(0, host);
      await once(server, 'listening');
      return server;
    }),
  );
  const addresses = servers.map(
    server => `${host}:${(server.address() as net.AddressInfo).port}`,
  );
  await Promise.all(
    servers.map(async server => {
      server.close();
      await once(server, 'close');
    }),
  );
  return addresses;
}

const ZONES = ['gilgit-hq', 'hunza-depot', 'chilas-depot'];

/** Host of all routes. */
export const HOST = 'hulo84.example';

/**
 * Starts a deployment whose daemons are ready.
 *
 * @param folder Folder of the case, for `record.txt`.
 */
export async function startFleet(
  folder: string,
  services: readonly ServiceShape[],
  routes: readonly Route[],
  grants: 'heartbeat' | 'rpc' = 'heartbeat',
  adapt: (options: InstanceOptions) => InstanceOptions = options => options,
): Promise<Fleet> {
  const directory = mkdtempSync(join(tmpdir(), 'review-'));
  const record = join(folder, 'record.txt');
  writeFileSync(record, '');
  const note = (event: string, fields: object = {}) =>
    appendFileSync(
      record,
      `${now().toFixed(3)} ${event} ${JSON.stringify(fields)}\n`,
    );
  const store = await startStore();
  const machines: Machine[] = [];
  let isEnding = false;
  const configure = (version: number, list: readonly Route[]) => {
    store.write('config', 'main', {
      version,
      routes: {
        columns: [
          'name',
          'host',
          'path_prefix',
          'kind',
          'timeout_s',
          'target_latency_s',
          'priority',
          'traffic_split',
          'max_attempts',
          'service',
        ],
        rows: list.map(({name, prefix, kind, service, timeoutS, targetS}) => [
          name,
          HOST,
          prefix,
          kind,
          timeoutS,
          targetS ?? timeoutS / 3,
          1,
          null,
          2,
          service,
        ]),
      },
      services: {
        columns: ['name', 'health_path', 'max_connections', 'sharded'],
        rows: services.map(({name, keyed}) => [name, '/healthz', 110, keyed]),
      },
      limits: {
        max_header_bytes: 16384,
        max_body_bytes: 67108864,
        header_timeout_s: 3,
        idle_timeout_s: 15,
      },
    });
    note('configuration acknowledged', {version});
  };
  const start = (machine: Machine) => {
    const {name, zone, service, relay, endpoint} = machine;
    const {callers, peers, ready, control} = machine;
    const settings = join(directory, `${name}.json`);
    const [metrics] = machine.ready.split(':');
    writeFileSync(
      settings,
      JSON.stringify({
        name,
        domain: zone,
        service: service.name,
        instance: endpoint.address,
        callers,
        peers,
        ready,
        control,
        metrics: `${metrics}:0`,
        store: relay.address,
        grants,
        heartbeatS: BOUNDS.heartbeatS,
        drainS: BOUNDS.drainS,
        graceS: BOUNDS.graceS,
        holdLimitS: BOUNDS.holdLimitS,
        retryShare: BOUNDS.retryShare,
      }),
    );
    const log = createWriteStream(join(directory, `${name}.log`), {
      flags: 'a',
    });
    const child = spawn('node', DAEMON, {
      env: {
        PATH: process.env.PATH,
        HOME: directory,
        VANILLASPOOL_SETTINGS: settings,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    child.on('exit', (code, signal) =>
      note('daemon ended', {name, code, signal}),
    );
    machine.process = child;
    machine.startedAt = now();
    note('daemon started', {name, pid: child.pid});
  };
  const kill = async (machine: Machine, signal: NodeJS.Signals = 'SIGKILL') => {
    const child = machine.process;
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    const exit = once(child, 'exit');
    child.kill(signal);
    await exit;
  };
  const end = async (code: number, verdict: string): Promise<never> => {
    if (isEnding) return new Promise<never>(() => {});
    isEnding = true;
    note('verdict', {code, verdict});
    console.log(
      `${code === 1 ? 'BROKEN' : code === 0 ? 'held' : 'no run'}: ${verdict}`,
    );
    for (const machine of machines) await kill(machine);
    if (process.env.KEEP_LOGS) console.log(directory);
    else rmSync(directory, {recursive: true, force: true});
    process.exit(code);
  };
  setTimeout(() => void end(2, 'the case took too long'), 115_000).unref();
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.on(signal, () => void end(2, `stopped by ${signal}`));
  }
  process.on('unhandledRejection', error => {
    void end(2, `the case could not run: ${String(error)}`);
  });
  const shapes = services.flatMap(service =>
    Array.from({length: service.count}, () => service),
  );
  const network = `127.${10 + (process.pid % 200)}.${process.pid % 251}`;
  for (const [index, service] of shapes.entries()) {
    const host = `${network}.${index + 1}`;
    const [callers, peers, ready, control, local] = await findAddresses(
      host,
      5,
    );
    const zone = ZONES[index % ZONES.length];
    const endpoint = await startInstance(
      adapt({
        id: `i-${index}-${service.name}`,
        born: Date.now(),
        service: service.name,
        zone,
        slots: service.slots,
        workMs: service.workMs,
        keyed: service.keyed,
        heartbeatIntervalMs: BOUNDS.heartbeatS * 1000,
        grants: grants === 'rpc' ? 'call' : 'heartbeat',
        control,
        host,
        port: Number(local.split(':')[1]),
      }),
    );
    machines.push({
      name: `machine-${index}`,
      zone,
      service,
      callers,
      peers,
      ready,
      control,
      relay: await startRelay(store.address),
      endpoint,
      startedAt: now(),
    });
  }
  configure(1, routes);
  machines.forEach(start);
  const fleet: Fleet = {machines, store, configure, start, kill, note, end};
  for (const machine of machines) await untilReady(fleet, machine);
  note('all daemons are ready');
  return fleet;
}

/** Waits until a daemon answers that it is ready. */
export async function untilReady(
  {end}: Pick<Fleet, 'end'>,
  machine: Machine,
): Promise<void> {
  const until = now() + 15;
  while (now() < until) {
    const answer = await send({
      address: machine.ready,
      path: '/-/readyz',
      limitMs: 1000,
    });
    if (answer.status === 200) return;
    await sleep(100);
  }
  await end(2, `${machine.name} did not become ready`);
}

export interface Sent {
  readonly address: string;
  readonly method?: string;
  readonly path: string;
  readonly id?: string;
  readonly deadlineMs?: number;
  readonly key?: number;
  readonly body?: Buffer;
  readonly limitMs: number;
}

export interface Answer {
  /** Status; undefined without a complete answer. */
  readonly status?: number;
  readonly body: string;
  readonly signature?: string;
  readonly error?: string;
  readonly tookMs: number;
}

let lastId = 0;

/** Returns an identifier that no other request has. */
export function newId(): string {
  lastId += 1;
  return `r${String(lastId).padStart(6, '0')}`;
}

/** Sends one request on a connection of its own. */
export function send(request: Sent): Promise<Answer> {
  const {address, method = 'GET', path, id, deadlineMs, key, body} = request;
  const [host, port] = address.split(':');
  const sentAt = performance.now();
  return new Promise(resolve => {
    const end = (answer: Omit<Answer, 'tookMs'>) => {
      clearTimeout(timer);
      resolve({...answer, tookMs: Math.round(performance.now() - sentAt)});
      call.destroy();
    };
    const headers: http.OutgoingHttpHeaders = {host: HOST};
    if (id) headers['x-vanillaspool-request-id'] = id;
    if (deadlineMs) headers['x-vanillaspool-request-deadline'] = deadlineMs;
    if (key !== undefined) headers['x-vanillaspool-shard-key'] = key;
    if (body) headers['content-length'] = body.length;
    const options = {host, port, method, path, headers, agent: false};
    const call = http.request(options, response => {
      const parts: Buffer[] = [];
      response.on('data', (part: Buffer) => parts.push(part));
      response.on('error', () => {});
      response.on('close', () => {
        const text = Buffer.concat(parts).toString();
        if (!response.complete) return end({body: text, error: 'cut'});
        const signature = response.headers[
          'x-vanillaspool-response-signature'
        ] as string | undefined;
        end({status: response.statusCode, body: text, signature});
      });
    });
    const timer = setTimeout(
      () => end({body: '', error: 'no answer in time'}),
      request.limitMs,
    );
    call.on('error', error => end({body: '', error: error.message}));
    call.end(body);
  });
}
