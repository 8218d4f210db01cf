import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import net, {type AddressInfo, type Socket} from 'node:net';
import {
  createCallersServer,
  createGateway,
  createPeersServer,
  createSigner,
  type Gateway,
  type GatewayOptions,
  type Trace,
} from '../../src/gateway/index.js';
import type {
  Address,
  Configuration,
  Member,
  Ownership,
  Route,
  Service,
} from '../../src/model/index.js';
import type {Log} from '../../src/telemetry/index.js';

/**
 * Loopback address of these tests alone, so that a process which still sends to
 * a port that it used before does not reach their servers.
 */
const HOST = '127.0.71.1';

/** Returns a keyed service; the given fields replace the defaults. */
export function service(fields: Partial<Service> = {}): Service {
  return {
    name: 'rota',
    pathPrefix: '/rota',
    key: {path: '/rota/{key}'},
    slices: 1,
    chunks: 1,
    priority: 1,
    deadlineMs: 10_000,
    fencing: 'enforced',
    successors: 1,
    ...fields,
  };
}

/** Returns a configuration of some services. */
export function configuration(
  services: readonly Service[],
  limits: Partial<Configuration['limits']> = {},
): Configuration {
  return {
    site: 'newsroom',
    services,
    limits: {
      headerBytes: 16_384,
      bodyBytes: 1_000_000,
      connections: 100,
      headerTimeoutMs: 10_000,
      bodyTimeoutMs: 10_000,
      queue: 100,
      retryShare: 1,
      ...limits,
    },
    weights: {imbalance: 1, churn: 1, unavailable: 1},
  };
}

/** A listening server and how to stop it. */
export interface RunningServer {
  readonly address: Address;
  readonly stop: () => Promise<void>;
}

/** Listens on a free loopback port. */
export async function listen(server: net.Server): Promise<RunningServer> {
  const sockets = new Set<Socket>();
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  const stop = () =>
    new Promise<void>(resolve => {
      server.close(() => resolve());
      for (const socket of sockets) socket.destroy();
    });
  return {address: {host: HOST, port}, stop};
}

/** The ownership state of a fake fleet, shared by its daemons. */
export interface FleetOwnership {
  /** Instance that owns every slice; undefined while nobody does. */
  owner?: string;
  epoch: number;
  /** Instances that believe themselves to be the owner although they are not. */
  readonly falseOwners: Set<string>;
  /** Instances that every other daemon believes to be the owner, in order. */
  assumedOwners?: readonly string[];
  readonly listeners: (() => void)[];
}

/** Changes the terms and wakes what waits for a change. */
export function changeOwnership(
  ownership: FleetOwnership,
  change: Partial<FleetOwnership>,
): void {
  Object.assign(ownership, change);
  ownership.listeners.splice(0).forEach(wake => wake());
}

function ownershipOf(
  terms: FleetOwnership,
  instance: string,
  members: readonly Member[],
): Ownership {
  const byName = (name: string) => members.filter(m => m.instance === name);
  const route = (): Route => {
    if (terms.falseOwners.has(instance) || terms.owner === instance) {
      return {kind: 'local', epoch: terms.epoch};
    }
    const names = terms.assumedOwners ?? (terms.owner ? [terms.owner] : []);
    if (names.length === 0) return {kind: 'wait'};
    if (names.every(name => name === instance)) return {kind: 'wait'};
    const candidates = names.filter(n => n !== instance).flatMap(byName);
    return {kind: 'remote', candidates, epoch: terms.epoch};
  };
  return {
    route,
    members: name => members.filter(member => member.service === name),
    holdsTerm: (_service, _slice, epoch) =>
      terms.owner === instance && terms.epoch === epoch,
    trackRequest: () => () => {},
    routeChanged: () => new Promise(resolve => terms.listeners.push(resolve)),
    reportUnreachable: () => {},
  };
}

/** One daemon of a fake fleet, with the upstream beside it. */
export interface Daemon extends RunningServer {
  readonly instance: string;
  readonly gateway: Gateway;
  readonly member: Member;
  readonly events: string[];
  readonly spans: string[];
  readonly servers: readonly http.Server[];
}

/** A fake fleet: one daemon for each upstream. */
export interface Fleet {
  readonly daemons: readonly Daemon[];
  readonly ownership: FleetOwnership;
  readonly stop: () => Promise<void>;
}

/** What varies between fleets. */
export interface FleetOptions {
  readonly configuration: Configuration;
  /** Addresses of the upstreams; one daemon runs beside each. */
  readonly upstreams: readonly Address[];
  readonly options?: Partial<GatewayOptions>;
}

/** Starts a fleet whose first daemon owns every slice. */
export async function startFleet(fleet: FleetOptions): Promise<Fleet> {
  const terms: FleetOwnership = {
    owner: 'daemon-0',
    epoch: 1,
    falseOwners: new Set(),
    listeners: [],
  };
  const members: Member[] = [];
  const daemons: Daemon[] = [];
  for (const [index, upstream] of fleet.upstreams.entries()) {
    daemons.push(await startDaemon(fleet, terms, members, index, upstream));
  }
  const stop = async () => {
    await Promise.all(daemons.map(daemon => daemon.stop()));
  };
  return {daemons, ownership: terms, stop};
}

async function startDaemon(
  fleet: FleetOptions,
  terms: FleetOwnership,
  members: Member[],
  index: number,
  upstream: Address,
): Promise<Daemon> {
  const instance = `daemon-${index}`;
  const {limits, services} = fleet.configuration;
  const {name} = services[0];
  const events: string[] = [];
  const spans: string[] = [];
  const log: Log = (kind, fields) => {
    events.push(`${kind.number} ${String(fields?.reason ?? '')}`.trim());
  };
  const gateway = createGateway({
    configuration: () => fleet.configuration,
    ownership: ownershipOf(terms, instance, members),
    self: {
      instance,
      process: `${instance}-process`,
      callers: ownerHintAddress(index),
    },
    admit: () => ({kind: 'admitted', release: () => {}}),
    takeRetry: () => true,
    upstream: () => ({
      service: name,
      address: upstream,
      slots: 8,
      connections: 16,
    }),
    signer: createSigner('fleet', ['secret']),
    clock: () => performance.now(),
    wallClock: () => Date.now(),
    random: () => 0,
    log,
    trace: recordingTrace(instance, spans),
    ...fleet.options,
  });
  const callersServer = createCallersServer(gateway, limits, log);
  const peersServer = createPeersServer(limits, gateway.peers);
  const callers = await listen(callersServer);
  const peers = await listen(peersServer);
  const member = memberOf(instance, name, callers.address, peers.address);
  members.push(member);
  const stop = async () => {
    await Promise.all([callers.stop(), peers.stop()]);
  };
  const {address} = callers;
  const servers = [callersServer, peersServer];
  return {instance, gateway, member, events, spans, servers, address, stop};
}

/** Address that a daemon tells callers, which nothing listens on. */
function ownerHintAddress(index: number): Address {
  return {host: '10.0.0.1', port: 9000 + index};
}

/** Records each span as its name, its parent's name and its instance. */
function recordingTrace(instance: string, spans: string[]): Trace {
  return {
    start: (name, parent) => {
      const parentName = parent?.split(' ')[0] ?? 'none';
      spans.push(`${instance} ${name} within ${parentName}`);
      return {traceparent: `${name} of ${instance}`, end: () => {}};
    },
  };
}

function memberOf(
  instance: string,
  serviceName: string,
  callers: Address,
  peers: Address,
): Member {
  return {
    instance,
    generation: 1,
    process: `${instance}-process`,
    state: 'serving',
    service: serviceName,
    site: 'newsroom',
    region: 'region',
    domain: 'domain',
    callers,
    peers,
    control: callers,
    slots: 8,
    connections: 16,
    witnesses: {number: 1, witnesses: []},
  };
}

/** Starts an HTTP server with one handler. */
export function startServer(
  handler: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<RunningServer> {
  return listen(http.createServer(handler));
}

/**
 * Starts an upstream that shows the bytes received on a connection to `answer`,
 * until that returns true: then it shows only what follows.
 */
export function startRawUpstream(
  answer: (socket: Socket, received: string) => boolean,
): Promise<RunningServer> {
  const server = net.createServer(socket => {
    let received = '';
    socket.on('error', () => {});
    socket.on('data', chunk => {
      received += chunk.toString('latin1');
      if (answer(socket, received)) received = '';
    });
  });
  return listen(server);
}

/** The bytes that came back, and whether the connection was reset. */
export interface RawAnswer {
  readonly text: string;
  readonly reset: boolean;
}

/** Sends bytes on a new connection and reads until it ends. */
export function sendRaw(address: Address, bytes: string): Promise<RawAnswer> {
  return new Promise(resolve => {
    const socket = net.connect(address.port, address.host);
    let text = '';
    let reset = false;
    socket.on('data', chunk => (text += chunk.toString('latin1')));
    socket.on('error', () => (reset = true));
    socket.on('close', () => resolve({text, reset}));
    socket.write(bytes, 'latin1');
  });
}

/** Formats a request head and body; the connection is closed after it. */
export function rawRequest(
  line: string,
  headers: readonly string[] = [],
  body = '',
): string {
  const head = [`${line} HTTP/1.1`, 'Host: rota', 'Connection: close'];
  return [...head, ...headers, '', body].join('\r\n');
}

/** A request of a caller. */
export interface HttpCall {
  readonly method: string;
  readonly path: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: string;
  /** Closes the connection after this time. */
  readonly cancelAfterMs?: number;
}

/** What a caller gets: a whole answer, or a connection that broke. */
export type HttpAnswer =
  | {
      readonly kind: 'whole';
      readonly status: number;
      readonly headers: http.IncomingHttpHeaders;
      readonly text: string;
    }
  | {readonly kind: 'broken'};

/** Sends a request on a connection of its own. */
export function callHttp(
  address: Address,
  call: HttpCall,
): Promise<HttpAnswer> {
  const {method, path, headers, body, cancelAfterMs} = call;
  return new Promise(resolve => {
    const broken = () => resolve({kind: 'broken'});
    const {host, port} = address;
    const options = {host, port, method, path, headers, agent: false};
    const request = http.request(options, response => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => (text += chunk));
      response.on('error', broken);
      response.on('end', () => {
        const status = response.statusCode ?? 0;
        resolve({kind: 'whole', status, headers: response.headers, text});
      });
    });
    request.on('error', broken);
    request.end(body);
    if (cancelAfterMs === undefined) return;
    setTimeout(() => request.destroy(), cancelAfterMs);
  });
}
