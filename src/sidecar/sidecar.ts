import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Dispatcher} from 'undici';
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
  watchPrefix,
  type FleetView,
  type PrefixListener,
  type StoredChange,
} from '../fleet/index.js';
import {
  HOP_HEADER,
  LOAD_HEADER,
  RELAY_EVENTS,
  UNKNOWN_LOAD,
  applyLoadEvent,
  chooseService,
  connectionsOf,
  createHeard,
  createHolders,
  createIntake,
  createLengths,
  createPressure,
  createReturns,
  createRouteTable,
  createSlots,
  createTransfers,
  failureHeaders,
  formatLoad,
  handleCaller,
  handleHop,
  loadOf,
  parseHop,
  type ActiveConfiguration,
  type Dialect,
  type Ended,
  type EntryContext,
  type InstanceLoad,
  type LoadEvent,
  type RoutedConfiguration,
  type SplitState,
  type Liveness,
} from '../relay/index.js';
import {
  notRun,
  unknownOutcome,
  type Address,
  type Failure,
} from '../model/index.js';
import type {ObjectStore, StoredObject} from '../store/index.js';
import type {Log, Metrics} from '../telemetry/index.js';
import {breakOff, createPools} from '../upstream/index.js';
import {MAP_PATH, STATUS_PATH, askDaemon, createListener} from './ask.js';
import {createCalledDelivery, type InstanceCalls} from './called.js';
import {SIDECAR_EVENTS} from './events.js';
import {createFetchedDelivery} from './fetched.js';
import {createKeeper, openMsOf, type Keeper} from './keeper.js';
import {readOwnMap} from './maps.js';
import {createMeter} from './meter.js';
import {SIDECAR_METRICS} from './metrics.js';
import {createPlanner, type Status} from './planner.js';
import {
  CALLER_BACKLOG,
  PEER_BACKLOG,
  PEER_IDLE_MS,
  createHandlerServer,
  listenAt,
} from './servers.js';
import type {SidecarSettings} from './settings.js';
import {createSignal} from './signal.js';
import {createOwnStatements} from './statements.js';
import {
  CALLERS_LEAVE_MS,
  createWithholding,
  isOverInTime,
  planStop,
  type StopPlan,
} from './stopping.js';

/**
 * A configuration as far as it can be read from the store, and every place where
 * it can't; without a configuration none of it can be put in force.
 */
export interface ConfigurationResult {
  readonly configuration?: RoutedConfiguration;
  readonly findings: readonly string[];
}

/** What a daemon beside an instance is made of. */
export interface SidecarOptions {
  readonly settings: SidecarSettings;
  readonly store: ObjectStore;
  readonly dialect: Dialect;
  readonly configurationKey: string;
  readonly readConfiguration: (text: string) => ConfigurationResult;
  /** Creates the calls to an instance that is granted its keys by call. */
  readonly instanceCalls: (
    poolOf: (address: Address) => Dispatcher,
  ) => InstanceCalls;
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

/** What the silence of a daemon means for the choice of an instance. */
const LIVENESS_EVENTS = {
  heard: 'reachable',
  late: 'suspected',
  still: 'unreachable',
  dark: 'unreachable',
  refused: 'unreachable',
} as const satisfies Readonly<Record<Liveness, LoadEvent['kind']>>;

/** Time limit of a read of the store through another daemon. */
const RELAY_TIMEOUT_MS = 300;

/** Interval between two questions to a daemon that did not answer. */
const RETURN_INTERVAL_MS = 400;

/** Questions that tell a lost packet, or one connection refused, from a loss. */
const QUESTIONS = 2;

/** Pause between them, in which a listening daemon takes what it has. */
const QUESTION_PAUSE_MS = 50;

/** Interval between two looks at what falls due, in milliseconds. */
const KEEPER_INTERVAL_MS = 500;
const PLANNER_INTERVAL_MS = 1000;

/** Lateness of a timer from which it is logged, in milliseconds. */
const LOOP_DELAY_LOGGED_MS = 250;

/** Time limit for a connection to the instance beside, in milliseconds. */
const CONNECT_TIMEOUT_MS = 300;

/**
 * Time limit for a connection to another daemon, in milliseconds; the longest
 * that a question waits for one. Requests are given up sooner by its silence.
 */
const PEER_CONNECT_TIMEOUT_MS = 1200;

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

/** Time without a request after which a stopping daemon may end. */
const QUIET_MS = 400;

/** Status of a request that may have been run when the daemon ended. */
const CUT_STATUS = 502;

/** Retry-After of a daemon that is about to end, in milliseconds. */
const STOPPING_RETRY_MS = 200;

/** Time in which the last answers leave, in milliseconds. */
const LAST_ANSWERS_MS = 100;

/** Tells whether a part of a request's body is still to come. */
function isArriving({complete, headers}: IncomingMessage): boolean {
  const hasBody = 'transfer-encoding' in headers;
  return !complete && (hasBody || Number(headers['content-length']) > 0);
}

/**
 * Calls back once the body of a request has arrived and is discarded, for
 * callers that read no answer before; at once where the body is sent only after
 * a word of ours.
 */
function whenReceived(request: IncomingMessage, call: () => void): void {
  if (request.headers.expect !== undefined) return call();
  request.once('end', call);
  request.resume();
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
  /** Values of the configuration in force that could not be read. */
  let unreadableParts = 0;
  /** The newest configuration could not be put in force. */
  let isRefused = false;
  let stop: StopPlan | undefined;
  let lastRequestAt = clock();
  let loopDelayMs = 0;
  const open = new Set<ServerResponse>();
  const withholding = createWithholding(STOPPING_RETRY_MS);
  const splits = new Map<string, SplitState>();
  const loads = new Map<string, InstanceLoad>();
  const budgets = new Map<string, RetryBudget>();
  const probes = new Set<string>();

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
    const hasNewMap = step.view.maps !== view.maps;
    view = step.view;
    viewSignal.raise();
    if (hasNewMap) keeper.mapChanged();
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

  const slotsOf = (count: number) =>
    withholding.wrap(createSlots({slots: count, clock}));
  let slots = slotsOf(1);
  const transfers = createTransfers({clock});
  const ownLoad = () => loadOf(slots, transfers, meter.meanMs(), clock());

  const pools = createPools({
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    keepAliveMs: INSTANCE_IDLE_MS,
  });
  const poolOf = (address: Address) =>
    pools.to(address, connectionsOf(keeper.local()?.slots ?? 1));

  const keeper: Keeper = createKeeper({
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
      statements.begin();
      slots = slotsOf(count);
      meter.reset();
    },
    stated: (life, answer) => statements.hear(life, answer),
    deliver: context =>
      settings.grants === 'call'
        ? createCalledDelivery(context, options.instanceCalls(poolOf))
        : createFetchedDelivery(context),
  });

  const statements = createOwnStatements({
    clock,
    life: keeper.life,
    limited: perSecond => slots.limit(perSecond),
    leaving: () => keeper.leavingStated(),
    log,
  });

  const {ask, heard, silence} = createListener<Status>(node);
  const planner = createPlanner({...access, ask, silence});

  /** Asks a daemon until it is plain whether it is lost. */
  const pursue = async (peer: string) => {
    for (let asked = 0; asked < QUESTIONS; asked++) {
      if (asked > 0) await sleep(QUESTION_PAUSE_MS);
      await ask(peer, view.members.keys());
      const {liveness} = silence(peer);
      observeLoad(peer, {kind: LIVENESS_EVENTS[liveness]});
      if (liveness !== 'late') return;
    }
  };

  const probe = async (peer: string) => {
    if (probes.has(peer)) return;
    probes.add(peer);
    await pursue(peer).finally(() => probes.delete(peer));
  };

  const observeLoad = (peer: string, event: LoadEvent) => {
    const before = loads.get(peer) ?? UNKNOWN_LOAD;
    const after = applyLoadEvent(before, event, clock());
    loads.set(peer, after);
    if (event.kind === 'reported') heard(peer);
    const isFirst = before.unreachable === 0 && after.unreachable > 0;
    if (isFirst) guard(awaitReturn(peer));
  };

  /** Asks an unreachable daemon until it answers, so that no request has to. */
  const awaitReturn = async (peer: string) => {
    while (!controller.signal.aborted && view.members.has(peer)) {
      await sleep(RETURN_INTERVAL_MS);
      if ((loads.get(peer)?.unreachable ?? 0) === 0) return;
      await probe(peer);
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
    intake: createIntake(
      clock,
      setImmediate,
      () => performance.eventLoopUtilization().idle,
    ),
    dialect,
    node,
    domain,
    local: keeper.local,
    isKeyed,
    holds: keeper.holds,
    awaits: keeper.awaits,
    denied: keeper.denied,
    holdsChanged: () => Promise.race([keeper.changed(), viewSignal.next()]),
    slots: () => slots,
    pools,
    observed: (_, timeMs) => meter.ran(timeMs),
    asked: meter.asked,
    stated: statements.hear,
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
      return applyLoadEvent(known, {kind: 'reported', ...ownLoad()}, clock());
    },
    observeLoad,
    peerPools: createPools({
      connectTimeoutMs: PEER_CONNECT_TIMEOUT_MS,
      keepAliveMs: PEER_IDLE_MS / 2,
    }),
    returns: createReturns(),
    heard: createHeard(() => openMsOf(settings.drainS * MS_PER_SECOND)),
    holders: createHolders(),
    lengths: createLengths(),
    pressure: createPressure(),
    retryAllowed: (service, canReturn) => {
      const kept = canReturn ? RETRY_KEPT : 0;
      const left = spendRetry(budgetOf(service), kept);
      if (left) budgets.set(service, left);
      return left !== undefined;
    },
    countRequest: service => {
      budgets.set(service, countForwarded(budgetOf(service)));
    },
    probe: peer => guard(probe(peer)),
    silence,
    ended: ended => options.ended?.(ended),
  };
  const peersContext = {
    ...context,
    load: ownLoad,
    limitKnown: statements.assume,
    transfers,
    bodyBytes: () => configuration?.limits.bodyBytes ?? Infinity,
  };

  const takeConfiguration = (change: StoredChange) => {
    if (change.key !== options.configurationKey) return;
    if (change.value === undefined) return;
    const read = options.readConfiguration(change.value);
    const findings = read.findings.join('; ');
    isRefused = read.configuration === undefined;
    if (!read.configuration) {
      log(SIDECAR_EVENTS.configurationRefused, {findings});
      return;
    }
    const {version, routes, limits} = read.configuration;
    if (configuration && version <= configuration.version) return;
    const table = createRouteTable(routes);
    configuration = {...read.configuration, table};
    unreadableParts = read.findings.length;
    if (unreadableParts > 0) {
      log(SIDECAR_EVENTS.configurationPartial, {version, findings});
    }
    callers.keepAliveTimeout = limits.idleTimeoutMs;
    callers.headersTimeout = limits.headerTimeoutMs;
    log(SIDECAR_EVENTS.configurationTaken, {version, routes: routes.length});
    viewSignal.raise();
  };

  /**
   * Answers in place of the handler. The connection closes after it, unless a
   * body still arrives: its unread bytes would reset it.
   */
  const answerStopping = (response: ServerResponse, failure: Failure) => {
    if (response.destroyed || response.headersSent) return;
    const headers = failureHeaders(failure, false);
    headers.push(LOAD_HEADER, formatLoad(ownLoad()));
    if (failure.retryAfterMs !== undefined) {
      const retryS = failure.retryAfterMs / MS_PER_SECOND;
      headers.push('Retry-After', String(retryS));
    }
    headers.push('Content-Length', '0');
    response.shouldKeepAlive = isArriving(response.req);
    response.writeHead(failure.status, headers);
    response.end();
  };

  const logStopping = (request: IncomingMessage, failure: Failure) => {
    const {id} = dialect.readRequest(request.rawHeaders);
    const {outcome, reason, message, status} = failure;
    log(RELAY_EVENTS.failed, {request: id, outcome, reason, message, status});
  };

  const track = (
    handle: (
      request: IncomingMessage,
      response: ServerResponse,
    ) => Promise<void>,
    leftMs: (request: IncomingMessage) => number,
    whenRefusable: (request: IncomingMessage, call: () => void) => void,
  ) => {
    return (request: IncomingMessage, response: ServerResponse) => {
      open.add(response);
      const now = clock();
      lastRequestAt = now;
      if (stop && now >= stop.closeFrom) response.shouldKeepAlive = false;
      response.once('close', () => {
        open.delete(response);
        lastRequestAt = clock();
      });
      const isLate = stop !== undefined && now >= stop.refuseFrom;
      if (isLate && !isOverInTime(stop!, now + leftMs(request))) {
        const message = 'the daemon ends';
        const failure = notRun('draining', message, STOPPING_RETRY_MS);
        logStopping(request, failure);
        whenRefusable(request, () => answerStopping(response, failure));
        return;
      }
      handle(request, response).catch(error => {
        reportError(error);
        breakOff(response);
      });
    };
  };

  /** Ends what is still open; a response that has begun must not look whole. */
  const endOpen = () => {
    const cut = unknownOutcome('draining', 'the daemon ended before an answer');
    const failure = {...cut, status: CUT_STATUS};
    for (const response of open) {
      const {req: request} = response;
      if (response.writableEnded) continue;
      if (!response.headersSent && !request.complete) continue;
      logStopping(request, failure);
      if (response.headersSent) breakOff(response);
      else answerStopping(response, failure);
    }
  };

  const statusOf = (): Status | undefined => {
    const life = keeper.life();
    if (!life) return undefined;
    const count = slots.state().slots;
    const byWork = (count * MS_PER_SECOND) / Math.max(1, meter.meanMs());
    const byLimit = slots.state().allowance?.perSecond ?? Infinity;
    const capacity = Math.min(byWork, byLimit);
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
    track(
      (request, response) => handleCaller(context, request, response),
      ({rawHeaders}) => dialect.readRequest(rawHeaders).deadlineMs ?? Infinity,
      whenReceived,
    ),
    DEFAULT_HEADER_MS,
    PEER_IDLE_MS,
    log,
  );
  const handlePeer = track(
    (request, response) => handleHop(peersContext, request, response),
    // One without a hop is refused by the handler at once.
    ({headers}) => parseHop(headers[HOP_HEADER])?.leftMs ?? 0,
    // Another daemon reads answers before its body is sent.
    (_, call) => call(),
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
    listedAll: PrefixListener['listed'],
    changed: PrefixListener['changed'],
  ): PrefixListener => {
    let known: boolean | undefined;
    return {
      listed: listedAll,
      changed,
      reachabilityChanged: (reached, reason) => {
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
    log(SIDECAR_EVENTS.loopDelayed, {delayMs, open: open.size});
  };

  const followFleet = () =>
    watchPrefix(
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
    watchPrefix(
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
    isReady: () => configuration !== undefined && listed && stop === undefined,
    reload: changed => {
      settings = changed;
    },
    measure: metrics => {
      const {version = 0} = configuration ?? {};
      metrics.gauge(SIDECAR_METRICS.configurationVersion, {})(version);
      metrics.gauge(SIDECAR_METRICS.unreadableParts, {})(unreadableParts);
      const refused = isRefused ? 1 : 0;
      metrics.gauge(SIDECAR_METRICS.configurationRefused, {})(refused);
      const {running, waiting} = slots.state();
      const busy = running.length + waiting.length;
      metrics.gauge(SIDECAR_METRICS.instanceBusy, {})(busy);
      const limit = statements.limit() ?? -1;
      metrics.gauge(SIDECAR_METRICS.instanceLimit, {})(limit);
      const atIntake = context.intake.waiting();
      metrics.gauge(SIDECAR_METRICS.intakeWaiting, {})(atIntake);
      const delayS = loopDelayMs / MS_PER_SECOND;
      metrics.gauge(SIDECAR_METRICS.loopDelay, {})(delayS);
    },
    start: async () => {
      await listenAt(peers, settings.peers, PEER_BACKLOG);
      await listenAt(callers, settings.callers, CALLER_BACKLOG);
      guard(followFleet());
      guard(followConfiguration());
      every(waitForTick, () => keeper.tick(loopDelayMs));
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
      const plan = planStop(startedAt, settings.graceS * MS_PER_SECOND);
      stop = plan;
      keeper.stop();
      log(SIDECAR_EVENTS.stopping, {open: open.size});
      for (;;) {
        await sleep(QUIET_MS / 4);
        const now = clock();
        const isQuiet = open.size === 0 && now - lastRequestAt >= QUIET_MS;
        if (isQuiet && now >= startedAt + CALLERS_LEAVE_MS) break;
        if (now >= plan.closeFrom) {
          for (const response of open) response.shouldKeepAlive = false;
        }
        if (now < plan.withholdFrom) continue;
        withholding.withhold(deadlineAt => !isOverInTime(plan, deadlineAt));
        if (now >= plan.endsAt || open.size === 0) break;
      }
      log(SIDECAR_EVENTS.stopped, {open: open.size});
      if (open.size > 0) {
        endOpen();
        await sleep(LAST_ANSWERS_MS);
      }
      controller.abort();
      for (const server of [callers, peers]) {
        server.close();
        server.closeAllConnections();
      }
      guard(pools.close());
      guard(context.peerPools.close());
    },
  };
}
