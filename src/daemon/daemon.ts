import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createAdmission} from '../admission/index.js';
import {
  createGateway,
  createSigner as createHopSigner,
  closeServers,
  createCallersServer,
  createPeersServer,
  isForwarded,
} from '../gateway/index.js';
import type {Gateway} from '../gateway/index.js';
import {formatAddress, sameAddress} from '../model/index.js';
import type {
  AcceptedConfiguration,
  Address,
  Member,
  Status,
} from '../model/index.js';
import {
  isIdle,
  leaseValid,
  newState,
  OWNERSHIP_EVENTS,
} from '../ownership/index.js';
import type {Load, Self, State} from '../ownership/index.js';
import {
  createMirrorHandler,
  createSigner,
  follow,
  openDatagrams,
} from '../peer/index.js';
import {createPlatform, memberKey, putResolved} from '../platform/index.js';
import type {Platform} from '../platform/index.js';
import {DEFAULT_LIMITS} from '../settings/index.js';
import type {Settings} from '../settings/index.js';
import {createMetrics} from '../telemetry/index.js';
import type {Log} from '../telemetry/index.js';
import {createBalancer, loadReport, LOAD_REPORT_MS} from './balancer.js';
import {createControlServer} from './control.js';
import {createEffects} from './effects.js';
import {DAEMON_EVENTS} from './events.js';
import {explainKey} from './explain.js';
import {runFeed} from './feed.js';
import {startLoop} from './loop.js';
import type {Loop} from './loop.js';
import {readObject} from './objects.js';
import {createRequestView} from './ownership.js';
import {createPublisher} from './publish.js';
import {watchReachability} from './reachability.js';
import {startSteward} from './steward.js';
import {createTrace} from './trace.js';
import {createUsage} from './usage.js';
import {createUpstreamLink} from './upstreamlink.js';
import type {UpstreamLink} from './upstreamlink.js';
import {createObjects} from './versions.js';
import type {MirrorEntry} from '../membership/index.js';

/** A running daemon. */
export interface Daemon {
  readonly status: () => Status;
  /** Gives all slices away, finishes what is in flight and closes. */
  readonly drain: () => Promise<void>;
  /** Closes at once. */
  readonly close: () => Promise<void>;
  /** Settles when the daemon can't go on. */
  readonly failed: Promise<Error>;
}

/** Time between two checks whether a draining daemon is idle, in milliseconds. */
const IDLE_CHECK_MS = 20;

/** Requests that wait before a configuration says how many may. */
const DEFAULT_QUEUE = 256;

/**
 * Starts a daemon.
 *
 * @throws {Error} with code `EADDRINUSE` when an address is taken.
 *
 * @example
 * const daemon = await startDaemon(settings, log);
 */
export async function startDaemon(
  settings: Settings,
  log: Log,
): Promise<Daemon> {
  const clock = () => performance.now();
  const self = selfOf(settings);
  const client = createPlatform(settings.platform);
  const signer = createSigner(settings.secrets);
  const controller = new AbortController();
  const metrics = createMetrics();
  const {trace, close: closeTrace} = createTrace(settings);
  let fail: (error: Error) => void = () => {};
  const failed = new Promise<Error>(resolve => (fail = resolve));
  let accepted: AcceptedConfiguration | undefined;
  let feedLive = false;

  const configuration = () =>
    accepted?.sites.find(({site}) => site === settings.site);
  const reachability = watchReachability(client, reachable => {
    log(
      reachable ? DAEMON_EVENTS.platformRecovered : DAEMON_EVENTS.platformLost,
      {platform: formatAddress(settings.platform)},
    );
    loop.dispatch({kind: 'platform', reachable});
  });
  const platform = reachability.platform;

  const upstream = createUpstreamLink(change => {
    const announced = upstream.upstream();
    const kind = {
      announced: DAEMON_EVENTS.upstreamAnnounced,
      lost: DAEMON_EVENTS.upstreamLost,
      recovered: DAEMON_EVENTS.upstreamRecovered,
    }[change];
    log(kind, {service: announced?.service});
    updateUpstream();
  });
  const updateUpstream = () => {
    const announced = upstream.upstream();
    if (!announced) return;
    const service = configuration()?.services.find(
      ({name}) => name === announced.service,
    );
    if (!service) return;
    const {slots, connections} = announced;
    admission.setSlots(slots);
    loop.dispatch({
      kind: 'upstream',
      upstream: {
        service: service.name,
        slots,
        connections,
        fencing: service.fencing,
        healthy: upstream.healthy(),
      },
    });
  };

  const applyConfiguration = (next: AcceptedConfiguration) => {
    if (accepted && accepted.version >= next.version) return;
    accepted = next;
    if (!configuration()) {
      log(DAEMON_EVENTS.configurationIgnored, {site: settings.site});
    }
    log(DAEMON_EVENTS.configurationInForce, {version: next.version});
    applyLimits();
    updateUpstream();
    view.notify();
  };
  const applyLimits = () => {
    const limits = configuration()?.limits;
    if (!limits) return;
    callers.maxConnections = limits.connections;
    callers.headersTimeout = limits.headerTimeoutMs;
  };
  const objectChanged = (entry: MirrorEntry) => {
    const object = readObject(entry);
    switch (object.kind) {
      case 'member':
        return loop.dispatch({kind: 'member', member: object.member});
      case 'chunk':
        loop.dispatch({kind: 'chunk', chunk: object.chunk});
        return view.notify();
      case 'configuration':
        return applyConfiguration(object.accepted);
      case 'malformed': {
        const {message} = object;
        return log(DAEMON_EVENTS.objectMalformed, {key: entry.key, message});
      }
      case 'other':
    }
  };
  const objects = createObjects(objectChanged);
  const publisher = createPublisher(
    () => objects.mirror(),
    () => feedLive && reachability.reachable(),
  );

  const view = createRequestView(() => loop.state(), clock);
  const admission = createAdmission({
    slots: 1,
    queue: DEFAULT_QUEUE,
    clock,
    log,
    metrics,
  });
  const balancer = createBalancer(configuration, clock);
  const gateway = createGateway({
    configuration,
    ownership: view,
    self: {
      instance: self.instance,
      process: self.process,
      callers: self.callers,
    },
    admit: admission.admit,
    retryAllowed: admission.retryAllowed,
    upstream: () => (upstream.healthy() ? upstream.upstream() : undefined),
    signer: createHopSigner(
      'vanillaspool',
      settings.secrets.map(({key}) => key),
    ),
    clock,
    wallClock: () => Date.now(),
    random: () => Math.random(),
    log,
    trace,
    shed: (_service, retryAfterMs) => admission.observeShed(retryAfterMs),
  });

  const datagrams = await openDatagrams({
    address: settings.peers,
    instance: self.instance,
    process: self.process,
    signer,
    receive: envelope => {
      const {message} = envelope;
      if (message.kind === 'load') return balancer.receive(message);
      loop.dispatch({kind: 'message', envelope});
      if (message.kind === 'began') view.notify();
    },
  });
  const updateUsage = createUsage(metrics, datagrams.counts);
  const sendLoad = (to: Address, message: Load) => {
    if (sameAddress(to, self.peers)) balancer.receive(message);
    else datagrams.send(to, message);
  };
  const run = createEffects({
    platform,
    objects,
    datagrams,
    upstream,
    dispatch: input => loop.dispatch(input),
    routesChanged: view.notify,
    replaced: () => {
      log(DAEMON_EVENTS.replaced);
      fail(new Error('another process registered this instance'));
    },
    log,
  });
  const loop: Loop = startLoop({
    initial: newState(self, settings.lease, clock()),
    clock,
    busy: view.busy,
    run,
  });
  loop.ended.catch(fail);
  loop.dispatch({kind: 'platform', reachable: true});

  const mirrorHandler = createMirrorHandler(publisher.publish, signer, () =>
    Date.now(),
  );
  const callers = createCallersServer(gateway, DEFAULT_LIMITS, log);
  const dispatch = peersHandler(gateway, mirrorHandler);
  const peers = createPeersServer(DEFAULT_LIMITS, dispatch);
  const control = createControlServer({
    status: () => statusOf(),
    explain: (name, key) => {
      const service = configuration()?.services.find(
        candidate => candidate.name === name && candidate.key,
      );
      return service && explainKey(loop.state(), service, key);
    },
    metrics: async () => {
      updateUsage();
      const text = await metrics.text();
      return {text, contentType: metrics.contentType};
    },
    announce: announced => {
      upstream.announce(announced);
      updateUpstream();
    },
    drain: () => {
      log(OWNERSHIP_EVENTS.draining);
      loop.dispatch({kind: 'drain'});
    },
  });
  await listen(callers, settings.callers);
  await listen(peers, settings.peers);
  await listen(control, settings.control);

  const stopSteward = startSteward({
    state: () => loop.state(),
    configuration,
    platform,
    objects,
    moves: balancer.moves,
    clock,
    log,
  });
  const loadTimer = setInterval(() => {
    const report = loadReport(loop.state(), view.takeLoads());
    if (report) sendLoad(report.to, report.message);
  }, LOAD_REPORT_MS);
  void runFeed({
    instance: self.instance,
    domain: self.domain,
    seeds: settings.seeds,
    platform,
    members: () => [...loop.state().view.members.values()],
    revision: () => objects.mirror().revision,
    follow: (address, after, signal) =>
      follow(address, after, signer, signal, () => Date.now()),
    receive: received => {
      objects.receive(received);
      publisher.notify();
    },
    sourceChanged: source => {
      feedLive = source.kind === 'platform';
      log(DAEMON_EVENTS.feedChanged, {source: source.kind});
    },
    random: () => Math.random(),
    signal: controller.signal,
  });

  const statusOf = (): Status =>
    createStatus(loop.state(), accepted, gateway, upstream, clock());
  const close = async () => {
    controller.abort();
    stopSteward();
    clearInterval(loadTimer);
    reachability.close();
    loop.stop();
    callers.closeAllConnections();
    peers.closeAllConnections();
    control.closeAllConnections();
    [callers, peers, control].forEach(server => server.close());
    await Promise.all([
      datagrams.close(),
      upstream.close(),
      client.close(),
      closeTrace(),
    ]);
    log(DAEMON_EVENTS.stopped);
  };
  log(DAEMON_EVENTS.started, {
    callers: formatAddress(settings.callers),
    peers: formatAddress(settings.peers),
    control: formatAddress(settings.control),
    process: self.process,
  });
  return {
    status: statusOf,
    failed,
    close,
    drain: async () => {
      log(OWNERSHIP_EVENTS.draining);
      loop.dispatch({kind: 'drain'});
      await untilReleased(loop);
      await closeServers(gateway, [callers], new Promise(() => {}));
      await untilIdle(gateway);
      await recordEnd(platform, objects.version, loop.state());
      await close();
    },
  };
}

function selfOf(settings: Settings): Self {
  const {instance, site, region, domain, callers, peers, control} = settings;
  const process = randomUUID();
  return {instance, process, site, region, domain, callers, peers, control};
}

function peersHandler(
  gateway: Gateway,
  mirror: (request: IncomingMessage, response: ServerResponse) => void,
): (request: IncomingMessage, response: ServerResponse) => void {
  return (request, response) => {
    if (isForwarded(request)) gateway.peers(request, response);
    else mirror(request, response);
  };
}

async function listen(server: Server, address: Address): Promise<void> {
  server.listen(address.port, address.host);
  await once(server, 'listening');
}

function createStatus(
  state: State,
  accepted: AcceptedConfiguration | undefined,
  gateway: Gateway,
  upstream: UpstreamLink,
  now: number,
): Status {
  const holdings = [...state.holdings.values()];
  const {self, holder, record} = state;
  return {
    instance: self.instance,
    generation: holder.lease.generation,
    process: self.process,
    state: state.draining ? 'draining' : (record?.state ?? 'starting'),
    site: self.site,
    service: state.upstream?.service ?? '',
    configurationVersion: accepted?.version ?? 0,
    leaseValid: leaseValid(holder, now),
    slices: holdings.filter(holding => holding.state === 'serving').length,
    inFlight: gateway.inFlight(),
    upstreamHealthy: upstream.healthy(),
    platformReachable: state.platformReachable,
    members: [...state.view.members.values()],
  };
}

async function untilReleased(loop: Loop): Promise<void> {
  while (!isIdle(loop.state())) await sleep(IDLE_CHECK_MS);
}

async function untilIdle(gateway: Gateway): Promise<void> {
  while (gateway.inFlight() > 0) await sleep(IDLE_CHECK_MS);
}

async function recordEnd(
  platform: Platform,
  version: (key: string) => number,
  state: State,
): Promise<void> {
  if (!state.record || !state.platformReachable) return;
  const key = memberKey(state.self.instance);
  const ended: Member = {
    ...state.record,
    state: 'ended',
    processEnded: true,
  };
  await putResolved(platform, key, JSON.stringify(ended), version(key));
}
