import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  createRetryBudget,
  countForwarded,
  spendRetry,
  type RetryBudget,
} from '../admission/index.js';
import {
  EMPTY_VIEW,
  FLEET_PREFIX,
  applyChange,
  applyListing,
  follow,
  type FleetView,
  type Follower,
  type StoredChange,
} from '../fleet/index.js';
import {
  HOP_HEADER,
  UNKNOWN_LOAD,
  applyLoadEvent,
  chooseService,
  createHolders,
  createReturns,
  createRouteTable,
  createSlots,
  createTransfers,
  failureHeaders,
  handleCaller,
  handleHop,
  loadOf,
  type ActiveConfiguration,
  type Dialect,
  type Ended,
  type EntryContext,
  type InstanceLoad,
  type LoadEvent,
  type RoutedConfiguration,
  type SplitState,
} from '../relay/index.js';
import {notRun} from '../model/index.js';
import type {ObjectStore, StoredObject} from '../store/index.js';
import type {Log, Metrics} from '../telemetry/index.js';
import {breakOff, createPools} from '../upstream/index.js';
import {MAP_PATH, STATUS_PATH, askDaemon} from './ask.js';
import {SIDECAR_EVENTS} from './events.js';
import {createKeeper, type Keeper} from './keeper.js';
import {readOwnMap} from './maps.js';
import {createMeter} from './meter.js';
import {SIDECAR_METRICS} from './metrics.js';
import {createPlanner, type Status} from './planner.js';
import {PEER_IDLE_MS, createHandlerServer, listenAt} from './servers.js';
import type {SidecarSettings} from './settings.js';
import {createSignal} from './signal.js';

/** A configuration as read from the store, or why it can't be. */
export type ConfigurationResult =
  | {readonly configuration: RoutedConfiguration}
  | {readonly findings: readonly string[]};

/** What a daemon beside an instance is made of. */
export interface SidecarOptions {
  readonly settings: SidecarSettings;
  readonly store: ObjectStore;
  readonly dialect: Dialect;
  readonly configurationKey: string;
  readonly readConfiguration: (text: string) => ConfigurationResult;
  readonly log: Log;
  /** Told of each request of a caller that has ended. */
  readonly ended?: (ended: Ended) => void;
}

/** A daemon beside an instance. */
export interface Sidecar {
  readonly keeper: Keeper;
  /** Callers may be sent here. */
  readonly isReady: () => boolean;
  /** Takes new settings; addresses stay as they are until a restart. */
  readonly reload: (settings: SidecarSettings) => void;
  /** Sets the gauges to what holds now. */
  readonly measure: (metrics: Metrics) => void;
  readonly start: () => Promise<void>;
  /** Finishes what is in flight; resolves when the process may end. */
  readonly stop: () => Promise<void>;
}

const MS_PER_SECOND = 1000;

/** Longest hold of a key; the settings may bound it further. */
const HOLD_MS = 5000;

/** Time limit of a question to another daemon, in milliseconds. */
const ASK_TIMEOUT_MS = 400;

/** Time limit of a read of the store through another daemon. */
const RELAY_TIMEOUT_MS = 300;

/** Interval between two questions to a daemon that did not answer. */
const RETURN_INTERVAL_MS = 400;

/** Interval between two looks at what falls due, in milliseconds. */
const KEEPER_INTERVAL_MS = 500;
const PLANNER_INTERVAL_MS = 1000;

/** Lateness of a timer from which it is logged, in milliseconds. */
const LOOP_DELAY_LOGGED_MS = 250;

/** Time limit for a connection to the instance or another daemon. */
const CONNECT_TIMEOUT_MS = 300;

/** Time for which idle connections to an instance are kept, at most. */
const INSTANCE_IDLE_MS = 8000;

/** Head time limit until a configuration states one. */
const DEFAULT_HEADER_MS = 10_000;

/**
 * Share of the allowed retries that is spent. The look-ups of a request that is
 * sent again count as retries at their own service, which does not see it; they
 * are taken to be as many again.
 */
const RETRY_SHARE_USED = 0.5;

/** Retries that one daemon has in reserve for each service. */
const RETRY_RESERVE = 3;

/** Retries kept for requests whose callers have no time to return. */
const RETRY_KEPT = 1;

/** Time for which callers go on sending after readiness is withdrawn. */
const LINGER_MS = 2700;

/** Time from SIGTERM until answers close the callers' connections. */
const CLOSE_AFTER_MS = 1000;

/** Time without a request after which a stopping daemon may end. */
const QUIET_MS = 400;

/** Time before the grace ends in which the process ends by itself. */
const GRACE_RESERVE_MS = 500;

/** Time kept within the grace to finish what was taken before. */
const FINISH_MS = 1600;

/** Retry-After of a daemon that is about to end, in milliseconds. */
const STOPPING_RETRY_MS = 200;

/** Refuses a request that arrives when the daemon is about to end. */
function refuseStopping(response: ServerResponse): void {
  const failure = notRun('draining', 'the daemon ends', STOPPING_RETRY_MS);
  const headers = failureHeaders(failure, false);
  headers.push('Retry-After', String(STOPPING_RETRY_MS / MS_PER_SECOND));
  headers.push('Content-Length', '0', 'Connection', 'close');
  response.writeHead(failure.status, headers);
  response.end();
}

/**
 * Creates the daemon beside an instance.
 *
 * @example
 * const sidecar = createSidecar(options);
 * await sidecar.start();
 */
export function createSidecar(options: SidecarOptions): Sidecar {
  const {store, dialect, log} = options;
  let {settings} = options;
  const {peers: node, domain} = settings;
  const clock = () => performance.now();
  const viewSignal = createSignal();
  const controller = new AbortController();
  const meter = createMeter(clock);
  let view: FleetView = EMPTY_VIEW;
  let listed = false;
  let configuration: ActiveConfiguration | undefined;
  let stoppingAt: number | undefined;
  /** New requests are refused; what was taken before is finished. */
  let closing = false;
  let lastRequestAt = clock();
  let loopDelayMs = 0;
  let open = 0;
  const splits = new Map<string, SplitState>();
  const loads = new Map<string, InstanceLoad>();
  const budgets = new Map<string, RetryBudget>();
  const probes = new Map<string, Promise<boolean>>();

  const reportError = (error: unknown) => {
    const message = (error as Error).stack ?? String(error);
    log(SIDECAR_EVENTS.failedTask, {message});
  };

  const learn = (change: StoredChange) => {
    const step = applyChange(view, change);
    if (step.problem) {
      const {key} = change;
      log(SIDECAR_EVENTS.unreadable, {key, message: step.problem});
    }
    if (step.view === view) return;
    view = step.view;
    viewSignal.raise();
  };

  const isKeyed = (service: string) =>
    configuration?.services.get(service)?.keyed === true;

  const holdMs = Math.min(HOLD_MS, settings.holdLimitS * MS_PER_SECOND);
  /** Asks two other daemons in turn, beginning with a random one. */
  const readThroughPeer = async (service: string) => {
    const others = [...view.members.keys()].filter(other => other !== node);
    const start = Math.floor(Math.random() * others.length);
    for (const offset of [0, 1].slice(0, others.length)) {
      const peer = others[(start + offset) % others.length];
      const path = MAP_PATH + encodeURIComponent(service);
      const object = await askDaemon<StoredObject>(
        peer,
        path,
        RELAY_TIMEOUT_MS,
      );
      if (object) return object;
    }
    return undefined;
  };
  const access = {
    store,
    view: () => view,
    learn,
    log,
    clock,
    node,
    holdMs,
    readThroughPeer,
  };

  let slots = createSlots({slots: 1, clock});
  const transfers = createTransfers({clock});

  const keeper = createKeeper({
    ...access,
    domain,
    instance: settings.instance,
    isKeyed,
    get heartbeatMs() {
      return settings.heartbeatS * MS_PER_SECOND;
    },
    get drainMs() {
      return settings.drainS * MS_PER_SECOND;
    },
    began: count => {
      slots = createSlots({slots: count, clock});
      meter.reset();
    },
  });

  const ask = (peer: string) =>
    askDaemon<Status>(peer, STATUS_PATH, ASK_TIMEOUT_MS);
  const planner = createPlanner({...access, ask});

  const probe = (peer: string) => {
    const running = probes.get(peer);
    if (running) return running;
    const asked = ask(peer).then(status => status !== undefined);
    probes.set(peer, asked);
    void asked.finally(() => probes.delete(peer));
    return asked;
  };

  const observeLoad = (peer: string, event: LoadEvent) => {
    const before = loads.get(peer) ?? UNKNOWN_LOAD;
    loads.set(peer, applyLoadEvent(before, event, clock()));
    const isFirst = event.kind === 'unreachable' && before.unreachable === 0;
    if (isFirst) guard(awaitReturn(peer));
  };

  /** Asks an unreachable daemon until it answers, so that no request has to. */
  const awaitReturn = async (peer: string) => {
    while (!controller.signal.aborted && view.members.has(peer)) {
      await sleep(RETURN_INTERVAL_MS);
      const load = loads.get(peer);
      if (!load || load.unreachable === 0) return;
      const answers = await probe(peer);
      observeLoad(peer, {kind: answers ? 'reachable' : 'unreachable'});
    }
  };

  const budgetOf = (service: string) => {
    const share = settings.retryShare * RETRY_SHARE_USED;
    return (
      budgets.get(service) ?? createRetryBudget({share, reserve: RETRY_RESERVE})
    );
  };

  const context: EntryContext = {
    clock,
    dialect,
    node,
    domain,
    local: keeper.local,
    isKeyed,
    holds: keeper.holds,
    awaits: keeper.awaits,
    holdsChanged: () => Promise.race([keeper.changed(), viewSignal.next()]),
    slots: () => slots,
    pools: createPools({
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      keepAliveMs: INSTANCE_IDLE_MS,
    }),
    observed: (_, timeMs) => meter.ran(timeMs),
    asked: meter.asked,
    log,
    callerService: () => settings.service,
    configuration: () => configuration,
    view: () => view,
    viewChanged: viewSignal.next,
    service: route => {
      const step = chooseService(route, splits.get(route.name));
      splits.set(route.name, step.state);
      return step.service;
    },
    loopDelayMs: () => loopDelayMs,
    loads: peer => {
      const known = loads.get(peer) ?? UNKNOWN_LOAD;
      if (peer !== node) return known;
      const own = loadOf(slots, transfers, meter.meanMs());
      return applyLoadEvent(known, {kind: 'reported', ...own}, clock());
    },
    observeLoad,
    peerPools: createPools({
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      keepAliveMs: PEER_IDLE_MS / 2,
    }),
    returns: createReturns(),
    holders: createHolders(),
    retryAllowed: (service, canReturn) => {
      const kept = canReturn ? RETRY_KEPT : 0;
      const left = spendRetry(budgetOf(service), kept);
      if (left) budgets.set(service, left);
      return left !== undefined;
    },
    countRequest: service => {
      budgets.set(service, countForwarded(budgetOf(service)));
    },
    probe,
    ended: ended => options.ended?.(ended),
  };
  const peersContext = {
    ...context,
    load: () => loadOf(slots, transfers, meter.meanMs()),
    transfers,
    bodyBytes: () => configuration?.limits.bodyBytes ?? Infinity,
  };

  const takeConfiguration = (change: StoredChange) => {
    if (change.key !== options.configurationKey) return;
    if (change.value === undefined) return;
    const result = options.readConfiguration(change.value);
    if ('findings' in result) {
      const findings = result.findings.join('; ');
      log(SIDECAR_EVENTS.configurationRefused, {findings});
      return;
    }
    const {version, routes} = result.configuration;
    if (configuration && version <= configuration.version) return;
    const table = createRouteTable(routes);
    configuration = {...result.configuration, table};
    callers.keepAliveTimeout = result.configuration.limits.idleTimeoutMs;
    callers.headersTimeout = result.configuration.limits.headerTimeoutMs;
    log(SIDECAR_EVENTS.configurationTaken, {version, routes: routes.length});
    viewSignal.raise();
  };

  const track = (
    handle: (
      request: IncomingMessage,
      response: ServerResponse,
    ) => Promise<void>,
  ) => {
    return (request: IncomingMessage, response: ServerResponse) => {
      open += 1;
      lastRequestAt = clock();
      const stopping = stoppingAt !== undefined;
      if (stopping && clock() > stoppingAt! + CLOSE_AFTER_MS) {
        response.shouldKeepAlive = false;
      }
      response.once('close', () => {
        open -= 1;
        lastRequestAt = clock();
      });
      if (closing) {
        refuseStopping(response);
        return;
      }
      handle(request, response).catch(error => {
        reportError(error);
        breakOff(response);
      });
    };
  };

  const statusOf = (): Status | undefined => {
    const life = keeper.life();
    if (!life) return undefined;
    const count = slots.state().slots;
    const capacity = (count * MS_PER_SECOND) / Math.max(1, meter.meanMs());
    const {id, born} = life;
    return {
      id,
      born,
      silent: keeper.isSilent(),
      capacity,
      heat: meter.heat(),
      holdLeftMs: keeper.holdLeftMs(),
    };
  };

  const answerMap = (name: string, response: ServerResponse) => {
    readOwnMap(access, decodeURIComponent(name)).then(
      object => response.end(JSON.stringify(object)),
      (error: Error) => {
        log(SIDECAR_EVENTS.notConfirmed, {message: error.message});
        response.writeHead(503).end();
      },
    );
  };

  const callers: Server = createHandlerServer(
    track((request, response) => handleCaller(context, request, response)),
    DEFAULT_HEADER_MS,
    PEER_IDLE_MS,
    log,
  );
  const handlePeer = track((request, response) =>
    handleHop(peersContext, request, response),
  );
  const peers = createHandlerServer(
    (request, response) => {
      const isHop = request.headers[HOP_HEADER] !== undefined;
      if (!isHop && request.url === STATUS_PATH) {
        response.end(JSON.stringify(statusOf() ?? {id: '', born: 0, heat: []}));
        return;
      }
      if (!isHop && request.url?.startsWith(MAP_PATH)) {
        answerMap(request.url.slice(MAP_PATH.length), response);
        return;
      }
      handlePeer(request, response);
    },
    DEFAULT_HEADER_MS,
    PEER_IDLE_MS,
    log,
  );

  const followerOf = (
    name: string,
    listedAll: Follower['listed'],
    changed: Follower['changed'],
  ): Follower => {
    let known: boolean | undefined;
    return {
      listed: listedAll,
      changed,
      reached: (reached, reason) => {
        if (reached === known) return;
        const wasKnown = known !== undefined;
        known = reached;
        if (!reached) log(SIDECAR_EVENTS.storeLost, {watch: name, reason});
        else if (wasKnown) log(SIDECAR_EVENTS.storeRegained, {watch: name});
      },
    };
  };

  const guard = (task: Promise<unknown>) => {
    task.catch(reportError);
  };

  const every = (wait: () => Promise<void>, run: () => Promise<void>) => {
    const loop = async () => {
      while (!controller.signal.aborted) {
        await wait();
        await run().catch(reportError);
      }
    };
    void loop();
  };

  /** Waits for an interval and measures by how much its timer was late. */
  const waitForTick = async () => {
    const dueAt = clock() + KEEPER_INTERVAL_MS;
    await sleep(KEEPER_INTERVAL_MS);
    loopDelayMs = clock() - dueAt;
    if (loopDelayMs < LOOP_DELAY_LOGGED_MS) return;
    const delayMs = Math.round(loopDelayMs);
    log(SIDECAR_EVENTS.loopDelayed, {delayMs, open});
  };

  const followFleet = () =>
    follow(
      store,
      FLEET_PREFIX,
      followerOf(
        'fleet',
        objects => {
          const step = applyListing(view, objects);
          view = step.view;
          listed = true;
          for (const message of step.problems) {
            log(SIDECAR_EVENTS.unreadable, {message});
          }
          keeper.resume();
          viewSignal.raise();
        },
        learn,
      ),
      controller.signal,
    );

  const followConfiguration = () =>
    follow(
      store,
      options.configurationKey.replace(/[^/]*$/, ''),
      followerOf(
        'configuration',
        objects => objects.forEach(takeConfiguration),
        takeConfiguration,
      ),
      controller.signal,
    );

  return {
    keeper,
    isReady: () =>
      configuration !== undefined && listed && stoppingAt === undefined,
    reload: changed => {
      settings = changed;
    },
    measure: metrics => {
      const {version = 0} = configuration ?? {};
      metrics.gauge(SIDECAR_METRICS.configurationVersion, {})(version);
      const {running, waiting} = slots.state();
      const busy = running.length + waiting.length;
      metrics.gauge(SIDECAR_METRICS.instanceBusy, {})(busy);
      const delayS = loopDelayMs / MS_PER_SECOND;
      metrics.gauge(SIDECAR_METRICS.loopDelay, {})(delayS);
    },
    start: async () => {
      await listenAt(peers, settings.peers);
      await listenAt(callers, settings.callers);
      guard(followFleet());
      guard(followConfiguration());
      every(waitForTick, keeper.tick);
      every(
        () => sleep(PLANNER_INTERVAL_MS),
        async () => {
          const service = keeper.local()?.service;
          if (listed && service && isKeyed(service))
            await planner.tick(service);
        },
      );
      const {callers: address, service} = settings;
      log(SIDECAR_EVENTS.started, {address, service, peers: node});
    },
    stop: async () => {
      const startedAt = clock();
      stoppingAt = startedAt;
      keeper.stop();
      log(SIDECAR_EVENTS.stopping, {open});
      const limitMs = settings.graceS * MS_PER_SECOND - GRACE_RESERVE_MS;
      for (;;) {
        await sleep(QUIET_MS / 4);
        const passedMs = clock() - startedAt;
        const quietMs = clock() - lastRequestAt;
        const isQuiet = open === 0 && quietMs >= QUIET_MS;
        if (passedMs >= LINGER_MS && isQuiet) break;
        closing ||= passedMs >= limitMs - FINISH_MS;
        if (passedMs >= limitMs || (closing && open === 0)) break;
      }
      log(SIDECAR_EVENTS.stopped, {open});
      controller.abort();
      for (const server of [callers, peers]) {
        server.close();
        server.closeAllConnections();
      }
      guard(context.pools.close());
      guard(context.peerPools.close());
    },
  };
}
