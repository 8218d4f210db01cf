import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {createAdmission} from '../admission/index.js';
import type {Admission} from '../admission/index.js';
import {
  closeServers,
  createGateway,
  createSigner as createHopSigner,
} from '../gateway/index.js';
import type {Gateway} from '../gateway/index.js';
import type {MirrorEntry} from '../membership/index.js';
import {
  formatAddress,
  formatLease,
  leaseOf,
  sameAddress,
} from '../model/index.js';
import type {Address, Configuration, Member, Status} from '../model/index.js';
import {
  isIdle,
  leaseEnded,
  liveMembers,
  newState,
  OWNERSHIP_EVENTS,
} from '../ownership/index.js';
import type {Envelope, Load, Self, State} from '../ownership/index.js';
import {
  createMirrorHandler,
  createSigner,
  follow,
  openDatagrams,
} from '../peer/index.js';
import type {DatagramEndpoint, Signer} from '../peer/index.js';
import {
  budgeted,
  createPlatform,
  memberKey,
  PROCESS_CLOCK,
  putResolved,
} from '../platform/index.js';
import type {Platform} from '../platform/index.js';
import type {Settings} from '../settings/index.js';
import {createMetrics} from '../telemetry/index.js';
import type {Log, Metrics} from '../telemetry/index.js';
import type {Upstream} from '../upstream/index.js';
import {createBalancer, loadReport, LOAD_REPORT_MS} from './balancer.js';
import type {Balancer} from './balancer.js';
import {createSiteConfiguration} from './configuration.js';
import type {SiteConfiguration} from './configuration.js';
import type {ControlOptions} from './control.js';
import {createEffects} from './effects.js';
import {createHandoverSwitch, HANDOVER_REVIEW_MS} from './handover.js';
import type {HandoverSwitch} from './handover.js';
import {DAEMON_EVENTS} from './events.js';
import {explainKey} from './explain.js';
import {runFeed} from './feed.js';
import {createInbox} from './inbox.js';
import type {Inbox} from './inbox.js';
import {createLoop} from './loop.js';
import type {Loop} from './loop.js';
import {DAEMON_METRICS} from './metrics.js';
import {readObject} from './objects.js';
import {createRequestView} from './ownership.js';
import type {RequestView} from './ownership.js';
import {createPublisher} from './publish.js';
import type {Publisher} from './publish.js';
import {watchReachability} from './reachability.js';
import type {Reachability} from './reachability.js';
import {applyLimits, closeNow, createServers, listen} from './servers.js';
import type {Servers} from './servers.js';
import {statusOf} from './status.js';
import {startSteward} from './steward.js';
import {createTrace} from './trace.js';
import type {DaemonTrace} from './trace.js';
import {createUsage} from './usage.js';
import {createUpstreamLink} from './upstreamlink.js';
import type {UpstreamChange, UpstreamLink} from './upstreamlink.js';
import {createObjects} from './versions.js';
import type {Objects} from './versions.js';

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

/** The parts of a daemon that do no input or output before it starts. */
interface Parts {
  readonly settings: Settings;
  readonly self: Self;
  readonly log: Log;
  /** Monotonic time in milliseconds. */
  readonly clock: () => number;
  readonly inbox: Inbox;
  readonly loop: Loop;
  readonly view: RequestView;
  readonly signer: Signer;
  readonly reachability: Reachability;
  readonly closePlatform: () => Promise<void>;
  readonly configuration: SiteConfiguration;
  readonly upstream: UpstreamLink;
  readonly admission: Admission;
  readonly metrics: Metrics;
  readonly trace: DaemonTrace;
  readonly gateway: Gateway;
  readonly objects: Objects;
  readonly publisher: Publisher;
  readonly balancer: Balancer;
  readonly handover: HandoverSwitch;
  readonly servers: Servers;
  /** Whether the objects come straight from the platform. */
  readonly feed: {isDirect: boolean};
  /** Called before the metrics are read. */
  readonly beforeMetrics: {update: () => void};
}

/** Time between two checks whether a draining daemon is idle, in milliseconds. */
const IDLE_CHECK_MS = 20;

/** Requests that wait before a configuration says how many may. */
const DEFAULT_QUEUE = 256;

/** Calls of the platform that a daemon makes at most, over time and at once. */
const CALLS_PER_SECOND = 20;
const CALLS_AT_ONCE = 100;

/** Name that signatures of forwarded requests are bound to. */
const HOP_SCOPE = 'vanillaspool';

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
  const parts = createParts(settings, log, await createTrace(settings));
  const {self, loop, inbox, servers} = parts;
  const datagrams = await openDatagrams({
    address: settings.peers,
    instance: self.instance,
    process: self.process,
    signer: parts.signer,
    receive: envelope => receive(parts, envelope),
  });
  parts.beforeMetrics.update = createUsage(parts.metrics, datagrams.counts);
  await listen(servers, settings);
  let fail: (error: Error) => void = () => {};
  const failed = new Promise<Error>(resolve => (fail = resolve));
  loop.run(effectsOf(parts, datagrams, fail)).catch(fail);
  inbox.dispatch({kind: 'platform', reachable: true});
  const stopTasks = startTasks(parts, datagrams);
  const {callers, peers, control} = settings;
  log(DAEMON_EVENTS.started, {
    callers: formatAddress(callers),
    peers: formatAddress(peers),
    control: formatAddress(control),
    process: self.process,
  });
  const close = () => closeParts(parts, datagrams, stopTasks);
  return {
    status: () => status(parts),
    failed,
    close,
    drain: async () => {
      await drain(parts);
      await close();
    },
  };
}

function createParts(settings: Settings, log: Log, trace: DaemonTrace): Parts {
  const clock = () => performance.now();
  const self = selfOf(settings);
  const inbox = createInbox();
  const view: RequestView = createRequestView(() => loop.state(), clock);
  const loop = createLoop({
    initial: newState(self, settings.lease, clock(), Math.random()),
    inbox,
    clock,
    busy: view.busy,
  });
  const client = createPlatform(settings.platform);
  const metrics = createMetrics();
  const reachability = watchReachability(
    budgeted(client, CALLS_PER_SECOND, CALLS_AT_ONCE, PROCESS_CLOCK),
    reachable => platformChanged(parts, reachable),
    (kind, result) =>
      metrics.counter(DAEMON_METRICS.platformCalls, {kind, result})(),
  );
  const configuration = createSiteConfiguration(settings.site, log, before =>
    configurationChanged(parts, before),
  );
  const upstream = createUpstreamLink(change => upstreamChanged(parts, change));
  const admission = createAdmission({
    slots: 1,
    queue: DEFAULT_QUEUE,
    clock,
    log,
    metrics,
  });
  const signer = createSigner(settings.secrets);
  const objects = createObjects(entry => objectChanged(parts, entry));
  const feed = {isDirect: false};
  const publisher = createPublisher(
    () => objects.mirror(),
    () => feed.isDirect && reachability.reachable(),
  );
  const handover = createHandoverSwitch(clock);
  const gateway = createGateway({
    configuration: configuration.current,
    ownership: view,
    self,
    admit: admission.admit,
    retryAllowed: admission.retryAllowed,
    upstream: () => usableUpstream(parts),
    signer: createHopSigner(
      HOP_SCOPE,
      settings.secrets.map(({key}) => key),
    ),
    clock,
    wallClock: () => Date.now(),
    random: () => Math.random(),
    log,
    trace: trace.trace,
    previousHandover: handover.previous,
    handoverChanged: () => handover.ended(),
    countForwarded: admission.countForwarded,
    shed: (_service, retryAfterMs) => admission.observeShed(retryAfterMs),
  });
  const servers = createServers({
    gateway,
    mirror: createMirrorHandler(publisher.publish, signer, () => Date.now()),
    control: controlOf(() => parts),
    log,
  });
  const parts: Parts = {
    settings,
    self,
    log,
    clock,
    inbox,
    loop,
    view,
    signer,
    reachability,
    closePlatform: client.close,
    configuration,
    upstream,
    admission,
    metrics,
    trace,
    gateway,
    objects,
    publisher,
    balancer: createBalancer(configuration.current, clock),
    handover,
    servers,
    feed,
    beforeMetrics: {update: () => {}},
  };
  return parts;
}

function selfOf(settings: Settings): Self {
  const {instance, site, region, domain, callers, peers, control} = settings;
  const process = randomUUID();
  return {instance, process, site, region, domain, callers, peers, control};
}

function receive(parts: Parts, envelope: Envelope): void {
  const {message} = envelope;
  if (message.kind === 'load') return parts.balancer.receive(message);
  if (message.kind === 'settled') {
    return parts.handover.receive(envelope.instance, message.version);
  }
  parts.inbox.dispatch({kind: 'message', envelope});
  if (message.kind === 'began') parts.view.notify();
}

function platformChanged(parts: Parts, reachable: boolean): void {
  const {platformRecovered, platformLost} = DAEMON_EVENTS;
  const platform = formatAddress(parts.settings.platform);
  parts.log(reachable ? platformRecovered : platformLost, {platform});
  parts.inbox.dispatch({kind: 'platform', reachable});
}

function configurationChanged(
  parts: Parts,
  before: Configuration | undefined,
): void {
  const {configuration, servers, view, admission} = parts;
  const limits = configuration.current()?.limits;
  if (limits) {
    applyLimits(servers, limits);
    admission.setLimits(limits.queue, limits.retryShare);
  }
  parts.handover.changed(
    before,
    configuration.current(),
    configuration.version(),
  );
  tellUpstream(parts);
  view.notify();
}

function upstreamChanged(parts: Parts, change: UpstreamChange): void {
  const kinds = {
    announced: DAEMON_EVENTS.upstreamAnnounced,
    lost: DAEMON_EVENTS.upstreamLost,
    recovered: DAEMON_EVENTS.upstreamRecovered,
  };
  const service = parts.upstream.upstream()?.service;
  parts.log(kinds[change], {service});
  if (change !== 'lost') parts.admission.observeRestart();
  tellUpstream(parts);
}

/**
 * Returns the upstream for requests that come from now on. A daemon that is
 * leaving runs no request that another instance can run.
 */
function usableUpstream(parts: Parts): Upstream | undefined {
  const {upstream, loop, configuration, self} = parts;
  const announced = upstream.upstream();
  if (!announced || !upstream.healthy()) return undefined;
  const state = loop.state();
  if (!state.draining) return announced;
  const isKeyed = configuration.service(announced.service)?.key !== undefined;
  const others = liveMembers(state, announced.service).filter(
    member => member.instance !== self.instance,
  );
  return isKeyed || others.length === 0 ? announced : undefined;
}

/** Tells the decisions what the upstream beside the daemon is. */
function tellUpstream(parts: Parts): void {
  const {upstream, configuration, admission, inbox} = parts;
  const announced = upstream.upstream();
  const service = announced && configuration.service(announced.service);
  if (!service) return;
  const {slots, connections} = announced;
  const {name, fencing} = service;
  const healthy = upstream.healthy();
  admission.setSlots(slots);
  inbox.dispatch({
    kind: 'upstream',
    upstream: {service: name, slots, connections, fencing, healthy},
  });
}

function objectChanged(parts: Parts, entry: MirrorEntry): void {
  const {inbox, view, configuration, log} = parts;
  const object = readObject(entry);
  switch (object.kind) {
    case 'member':
      return inbox.dispatch({kind: 'member', member: object.member});
    case 'chunk':
      inbox.dispatch({kind: 'chunk', chunk: object.chunk});
      return view.notify();
    case 'configuration':
      return configuration.apply(object.accepted);
    case 'malformed': {
      const {message} = object;
      return log(DAEMON_EVENTS.objectMalformed, {key: entry.key, message});
    }
    case 'other':
  }
}

function effectsOf(
  parts: Parts,
  datagrams: DatagramEndpoint,
  fail: (error: Error) => void,
): ReturnType<typeof createEffects> {
  const {reachability, objects, upstream, inbox, view, log} = parts;
  const runEffects = createEffects({
    platform: reachability.platform,
    objects,
    datagrams,
    upstream,
    dispatch: inbox.dispatch,
    routesChanged: view.notify,
    replaced: () => {
      log(DAEMON_EVENTS.replaced);
      fail(new Error('another process registered this instance'));
    },
    log,
  });
  const logLease = createLeaseLog(log);
  return (effects, state) => {
    logLease(state);
    runEffects(effects, state);
  };
}

/** Creates the function that logs when the lease comes into force or lapses. */
function createLeaseLog(log: Log): (state: State) => void {
  const {leaseValid, leaseLapsed} = OWNERSHIP_EVENTS;
  let before = '';
  return ({holder}) => {
    if (holder.state === before) return;
    const lease = formatLease(holder.lease);
    if (holder.state === 'valid') log(leaseValid, {lease});
    if (before === 'valid' && holder.state === 'acquiring') {
      log(leaseLapsed, {lease});
    }
    before = holder.state;
  };
}

function controlOf(parts: () => Parts): ControlOptions {
  return {
    status: () => status(parts()),
    explain: (name, key) => {
      const {configuration, loop} = parts();
      const service = configuration.service(name);
      return service?.key && explainKey(loop.state(), service, key);
    },
    metrics: async () => {
      const {metrics, beforeMetrics} = parts();
      beforeMetrics.update();
      return {text: await metrics.text(), contentType: metrics.contentType};
    },
    announce: announced => {
      parts().upstream.announce(announced);
      tellUpstream(parts());
    },
    drain: () => startDrain(parts()),
  };
}

function status(parts: Parts): Status {
  const {loop, configuration, gateway, upstream, clock} = parts;
  const facts = {
    configurationVersion: configuration.version(),
    inFlight: gateway.inFlight(),
    upstreamHealthy: upstream.healthy(),
  };
  return statusOf(loop.state(), facts, clock());
}

/** Starts what a daemon does beside its loop; the result stops it. */
function startTasks(parts: Parts, datagrams: DatagramEndpoint): () => void {
  const {loop, configuration, reachability, objects, balancer} = parts;
  const controller = new AbortController();
  const stopSteward = startSteward({
    state: loop.state,
    configuration: configuration.current,
    platform: reachability.platform,
    objects,
    moves: balancer.moves,
    clock: parts.clock,
    log: parts.log,
  });
  const loads = setInterval(
    () => reportLoads(parts, datagrams),
    LOAD_REPORT_MS,
  );
  const handover = setInterval(
    () => reviewHandover(parts, datagrams),
    HANDOVER_REVIEW_MS,
  );
  void startFeed(parts, controller.signal);
  return () => {
    controller.abort();
    stopSteward();
    clearInterval(loads);
    clearInterval(handover);
  };
}

function reportLoads(parts: Parts, datagrams: DatagramEndpoint): void {
  const {loop, view, self, balancer} = parts;
  const report = loadReport(loop.state(), view.takeLoads());
  if (!report) return;
  const send = (to: Address, load: Load) =>
    sameAddress(to, self.peers)
      ? balancer.receive(load)
      : datagrams.send(to, load);
  send(report.to, report.message);
}

/** Tells the others once the requests of earlier configurations have ended. */
function reviewHandover(parts: Parts, datagrams: DatagramEndpoint): void {
  const {handover, gateway, loop, self} = parts;
  const {view} = loop.state();
  const others = [...view.members.values()].filter(
    member =>
      member.instance !== self.instance && !leaseEnded(view, leaseOf(member)),
  );
  const settled = gateway.earlierInFlight() === 0;
  const names = others.map(member => member.instance);
  const message = handover.review(settled, names);
  if (!message) return;
  for (const member of others) datagrams.send(member.peers, message);
}

function startFeed(parts: Parts, signal: AbortSignal): Promise<void> {
  const {self, settings, reachability, loop, objects, publisher} = parts;
  return runFeed({
    instance: self.instance,
    domain: self.domain,
    seeds: settings.seeds,
    platform: reachability.platform,
    members: () => [...loop.state().view.members.values()],
    revision: () => objects.mirror().revision,
    follow: (address, after, ended) =>
      follow(address, after, parts.signer, ended, () => Date.now()),
    receive: received => {
      objects.receive(received);
      publisher.notify();
    },
    sourceChanged: source => {
      parts.feed.isDirect = source.kind === 'platform';
      parts.log(DAEMON_EVENTS.feedChanged, {source: source.kind});
    },
    random: () => Math.random(),
    signal,
  });
}

function startDrain(parts: Parts): void {
  parts.log(OWNERSHIP_EVENTS.draining);
  parts.inbox.dispatch({kind: 'drain'});
}

async function drain(parts: Parts): Promise<void> {
  const {loop, gateway, servers, reachability, objects} = parts;
  startDrain(parts);
  while (!isIdle(loop.state())) await sleep(IDLE_CHECK_MS);
  await closeServers(gateway, [servers.callers], new Promise(() => {}));
  while (gateway.inFlight() > 0) await sleep(IDLE_CHECK_MS);
  await recordEnd(reachability.platform, objects, loop.state());
}

/** Records that this process has ended, so that nobody has to prove it. */
async function recordEnd(
  platform: Platform,
  objects: Objects,
  state: State,
): Promise<void> {
  if (!state.record || !state.platformReachable) return;
  const key = memberKey(state.self.instance);
  const ended: Member = {
    ...state.record,
    state: 'ended',
    processEnded: true,
  };
  await putResolved(platform, key, JSON.stringify(ended), objects.version(key));
}

async function closeParts(
  parts: Parts,
  datagrams: DatagramEndpoint,
  stopTasks: () => void,
): Promise<void> {
  const {reachability, loop, servers, upstream, trace, log} = parts;
  stopTasks();
  reachability.close();
  loop.stop();
  closeNow(servers);
  await Promise.all([
    datagrams.close(),
    upstream.close(),
    parts.closePlatform(),
    trace.close(),
  ]);
  log(DAEMON_EVENTS.stopped);
}
