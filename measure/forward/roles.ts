import http, {type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  BatchSpanProcessor,
  NodeTracerProvider,
  ParentBasedSampler,
  TraceIdRatioBasedSampler,
  type SpanExporter,
} from '@opentelemetry/sdk-trace-node';
import {Pool} from 'undici';
import {
  createGateway,
  createSigner,
  passThroughTrace,
  openTelemetryTrace,
  type Trace,
} from '../../src/gateway/index.js';
import type {
  Address,
  Configuration,
  Member,
  Ownership,
  Route,
} from '../../src/model/index.js';

/** Length of every answer's body, in bytes. */
export const RESPONSE_BODY_BYTES = 512;

/** What one process of the measurement does. */
export type Role =
  | {readonly kind: 'bare'}
  | {readonly kind: 'naive'; readonly upstream: Address}
  | DaemonRole;

/** A process with the request path of a daemon. */
export interface DaemonRole {
  readonly kind: 'daemon';
  readonly upstream: Address;
  /** The owner to which everything is forwarded; absent at the owner. */
  readonly owner?: Addresses;
  /** Share of the traces that are recorded; 0 for none. */
  readonly sampled: number;
}

/** Where one process listens. */
export interface Addresses {
  readonly callers: Address;
  readonly peers: Address;
}

/** Starts the servers of a role. */
export function startRole(role: Role): Promise<Addresses> {
  switch (role.kind) {
    case 'bare':
      return startBareServer();
    case 'naive':
      return startNaiveProxy(role.upstream);
    case 'daemon':
      return startDaemon(role);
  }
}

async function listen(server: http.Server): Promise<Address> {
  server.keepAliveTimeout = 60_000;
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return {host: '127.0.0.1', port};
}

async function startBareServer(): Promise<Addresses> {
  const body = Buffer.alloc(RESPONSE_BODY_BYTES, 'a');
  const server = http.createServer((_request, response) => {
    response.writeHead(200, {
      'Content-Type': 'text/plain',
      'Content-Length': RESPONSE_BODY_BYTES,
    });
    response.end(body);
  });
  const address = await listen(server);
  return {callers: address, peers: address};
}

async function startNaiveProxy(upstream: Address): Promise<Addresses> {
  const pool = new Pool(`http://${upstream.host}:${upstream.port}`, {
    connections: 64,
  });
  const server = http.createServer((request, response) => {
    void pool
      .request({
        method: request.method as 'GET',
        path: request.url ?? '/',
        headers: request.headers,
        body: request.method === 'GET' ? null : request,
      })
      .then(answer => {
        response.writeHead(answer.statusCode, answer.headers);
        answer.body.pipe(response as ServerResponse);
      });
  });
  const address = await listen(server);
  return {callers: address, peers: address};
}

async function startDaemon(role: DaemonRole): Promise<Addresses> {
  const callers = http.createServer();
  const peers = http.createServer();
  const callersAddress = await listen(callers);
  const addresses = {callers: callersAddress, peers: await listen(peers)};
  const instance = role.owner ? 'entry' : 'owner';
  const gateway = createGateway({
    configuration: () => CONFIGURATION,
    ownership: fixedOwnership(role.owner),
    self: {instance, process: instance, callers: addresses.callers},
    admit: () => ({kind: 'admitted', release: () => {}}),
    takeRetry: () => true,
    upstream: () => ({
      service: 'rota',
      address: role.upstream,
      slots: 64,
      connections: 64,
    }),
    signer: createSigner('fleet', ['secret']),
    clock: () => performance.now(),
    wallClock: () => Date.now(),
    random: Math.random,
    log: () => {},
    trace: createTrace(role.sampled),
  });
  callers.on('request', gateway.callers);
  peers.on('request', gateway.peers);
  return addresses;
}

const DISCARDING_EXPORTER: SpanExporter = {
  export: (_spans, done) => done({code: 0}),
  shutdown: () => Promise.resolve(),
};

function createTrace(sampled: number): Trace {
  if (sampled === 0) return passThroughTrace();
  const root = new TraceIdRatioBasedSampler(sampled);
  const provider = new NodeTracerProvider({
    sampler: new ParentBasedSampler({root}),
    spanProcessors: [new BatchSpanProcessor(DISCARDING_EXPORTER)],
  });
  return openTelemetryTrace(provider.getTracer('vanillaspool'));
}

const CONFIGURATION: Configuration = {
  site: 'newsroom',
  services: [
    {
      name: 'rota',
      pathPrefix: '/rota',
      key: {path: '/rota/{key}'},
      slices: 64,
      chunks: 1,
      priority: 1,
      deadlineMs: 10_000,
      fencing: 'ignored',
      successors: 1,
    },
  ],
  limits: {
    headerBytes: 16_384,
    bodyBytes: 1_000_000,
    connections: 1000,
    headerTimeoutMs: 10_000,
    bodyTimeoutMs: 10_000,
    queue: 100,
    retryShare: 0.1,
  },
  weights: {imbalance: 1, churn: 1, unavailable: 1},
};

function fixedOwnership(owner: Addresses | undefined): Ownership {
  const route: Route = owner
    ? {kind: 'remote', epoch: 1, candidates: [memberAt(owner)]}
    : {kind: 'local', epoch: 1};
  return {
    route: () => route,
    members: () => [],
    holdsTerm: () => true,
    trackRequest: () => () => {},
    routeChanged: () => new Promise(() => {}),
    reportUnreachable: () => {},
  };
}

function memberAt(owner: Addresses): Member {
  return {
    instance: 'owner',
    generation: 1,
    process: 'owner',
    state: 'serving',
    service: 'rota',
    site: 'newsroom',
    region: 'region',
    domain: 'domain',
    callers: owner.callers,
    peers: owner.peers,
    control: owner.callers,
    slots: 64,
    connections: 64,
    witnesses: {number: 1, witnesses: []},
  };
}
