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
  applyKnownMember,
  applyListing,
  watchPrefix,
  type FleetView,
  type PrefixListener,
  type StoredChange,
} from '../fleet/index.js';
import {
  HOP_HEADER,
  PEER_CONNECTIONS,
  lengthOf,
  applyLoadEvent,
  chooseService,
  createInstanceNotices,
  createHolderRefusals,
  createIntake,
  createAnswerLengths,
  createRouteDurations,
  createOverloadRefusals,
  createCallerRetries,
  createSlots,
  createSlotMeter,
  createResultMeter,
  RELAY_EVENTS,
  type SlotUsage,
  createTransfers,
  handleCaller,
  handleForwarded,
  loadOf,
  parseHop,
  type Claim,
  type Dialect,
  type RequestResult,
  type InstanceRun,
  type IngressContext,
  type SplitState,
} from '../relay/index.js';
import {formatAddress, parseAddress, type Address} from '../model/index.js';
import {FIRST_ERA} from '../ranges/index.js';
import {createChannels, serveChannels} from '../channel/index.js';
import {createInstanceRuns, type InFlight} from '../quarantine/index.js';
import {eraOf, type ObjectStore, type StoredObject} from '../store/index.js';
import type {Log, Metrics} from '../telemetry/index.js';
import {
  createPools,
  type ReceivedRequest,
  type ResponseWriter,
} from '../upstream/index.js';
import {
  MAP_PATH,
  PEER_STATUS_PATH,
  STATUS_PATH,
  fetchFromPeer,
  createFailureDetector,
} from './probe.js';
import {
  createConfigurationInForce,
  type ConfigurationOptions,
} from './activeconfiguration.js';
import {
  createCallDelivery,
  type CallConnections,
  type InstanceCalls,
} from './calldelivery.js';
import {SIDECAR_EVENTS} from './events.js';
import {createHeartbeatDelivery} from './heartbeatdelivery.js';
import {
  createInstanceManager,
  openDrainMs,
  type InstanceManager,
} from './instancemanager.js';
import {readMapFromStore} from './maps.js';
import {createLoadMeter} from './loadmeter.js';
import {createRunTimes} from './runtimes.js';
import {SIDECAR_METRICS} from './metrics.js';
import {createPeerLoads} from './peerloads.js';
import {createPlanner, type InstanceStatus} from './planner.js';
import {MEMBER_PATH, recallMember} from './recall.js';
import {
  SHUTDOWN_RETRY_AFTER_MS,
  afterBody,
  createOpenResponses,
} from './responses.js';
import {
  CALLER_BACKLOG,
  PEER_BACKLOG,
  PEER_IDLE_TIMEOUT_MS,
  createHttpServer,
  listenAt,
} from './servers.js';
import type {SidecarSettings} from './settings.js';
import {createChangeSignal} from './changesignal.js';
import {needsReport, resultFields, usageFields} from './usagelog.js';
import {createEndCheck} from './endcheck.js';
import {describeRun, endOf, logInstanceEnd} from './instanceend.js';
import {QUARANTINE_PATH} from './broadcast.js';
import {createFleetQuarantine} from './quarantine.js';
import {createQuarantineHandler} from './quarantineapi.js';
import {createInstanceStatements} from './statements.js';
import {
  READINESS_PROPAGATION_MS,
  createSlotGate,
  mayStartBeforeShutdown,
  planShutdown,
  type ShutdownPlan,
} from './shutdown.js';

/** Options of a daemon that runs next to an instance. */
export interface SidecarOptions extends Pick<
  ConfigurationOptions,
  'configurationKey' | 'readConfiguration'
> {
  readonly settings: SidecarSettings;
  readonly store: ObjectStore;
  readonly dialect: Dialect;
  /** Creates the calls to an instance whose keys are granted by call. */
  readonly instanceCalls: (connections: CallConnections) => InstanceCalls;
  readonly log: Log;
  /** Called with each request of a caller that has ended. */
  readonly onRequestEnd?: (request: RequestResult) => void;
  /** Called when the store has come back from a copy. */
  readonly onStoreRestored?: () => void;
  /** Called about once a second with the use of the slots since then. */
  readonly onSlotUsage?: (usage: SlotUsage) => void;
}

/** A daemon that runs next to an instance. */
export interface Sidecar {
  readonly instanceManager: InstanceManager;
  /** Returns whether the daemon accepts requests of callers. */
  readonly isReady: () => boolean;
  /** Applies new settings; addresses remain unchanged until a restart. */
  readonly reload: (settings: SidecarSettings) => void;
  /** Sets the gauges to their current values. */
  readonly updateGauges: (metrics: Metrics) => void;
  readonly start: () => Promise<void>;
  /** Drains the requests in flight; resolves when the process may exit. */
  readonly shutDown: () => Promise<void>;
}

const MS_PER_SECOND = 1000;

/** Longest lease of a key; the settings may limit it further. */
const MAX_LEASE_MS = 5000;

/** Time limit of a read from the store through another daemon. */
const PEER_READ_TIMEOUT_MS = 300;

/** Time limit for a probe through another daemon, in milliseconds. */
const PROBE_THROUGH_TIMEOUT_MS = 700;

/** Interval between two ticks of the instance manager, in milliseconds. */
const INSTANCE_TICK_INTERVAL_MS = 500;
const PLANNER_INTERVAL_MS = 1000;

/** Interval over which the use of the slots is logged, in milliseconds. */
const USAGE_INTERVAL_MS = 1000;

/** Event loop delay from which it is logged. */
const LOOP_DELAY_LOG_THRESHOLD_MS = 250;

/** Connections to the local instance for calls that grant keys. */
const CALL_CONNECTIONS = 8;

/** Time limit for connecting to the local instance. */
const CONNECT_TIMEOUT_MS = 300;

/**
 * Time limit for connecting to another daemon, in milliseconds; the longest
 * that a probe waits for a connection. Requests are given up sooner if the
 * failure detector reports the daemon as failed.
 */
const PEER_CONNECT_TIMEOUT_MS = 1200;

/**
 * Time after which idle connections to an instance are closed at the latest.
 */
const INSTANCE_IDLE_TIMEOUT_MS = 8000;

/** Time limit for request heads until a configuration sets one. */
const DEFAULT_HEADER_TIMEOUT_MS = 10_000;

/**
 * Fraction of the allowed retries that is spent. A retried request repeats its
 * look-ups, which count as retries at their own service although that service
 * cannot recognize them as such; they are assumed to be as many again.
 */
const RETRY_SHARE_FRACTION = 0.5;

/** Reserve of the retry budget of a service at one daemon. */
const RETRY_RESERVE = 3;

/**
 * Retries kept back for requests whose callers have no time to retry
 * themselves.
 */
const RETRIES_KEPT_BACK = 1;

/**
 * Time without a request after which a daemon that is shutting down may exit.
 */
const SHUTDOWN_IDLE_MS = 400;

/**
 * Longest body of a request or answer on a channel, in bytes. Longer ones have
 * HTTP connections of their own, as they would delay others on the channel.
 */
const MAX_CHANNEL_BYTES = 16 * 1024;

/** Longest wait until the last answers on channels are handed over. */
const CHANNEL_CLOSE_MS = 300;

/** Time for which the daemon waits until its last responses are sent. */
const FINAL_FLUSH_MS = 100;

/**
 * Creates a daemon that runs next to an instance.
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
  const viewChanges = createChangeSignal();
  const controller = new AbortController();
  const meter = createLoadMeter(clock);
  const runTimes = createRunTimes(clock);
  const slotMeter = createSlotMeter(clock);
  const resultMeter = createResultMeter();
  let view: FleetView = EMPTY_VIEW;
  let isFleetListed = false;
  /** Era of the store at the last listing of the fleet. */
  let storeEra = 0;
  /** Resolves once it is known whether the store has undone a departure. */
  let recall: Promise<void> | undefined;
  let shutdownPlan: ShutdownPlan | undefined;
  let loopDelayMs = 0;
  const slotGate = createSlotGate(SHUTDOWN_RETRY_AFTER_MS);
  const splits = new Map<string, SplitState>();
  const budgets = new Map<string, RetryBudget>();

  const reportError = (error: unknown) => {
    const message = (error as Error).stack ?? String(error);
    log(SIDECAR_EVENTS.taskFailed, {message});
  };

  const runInBackground = (task: Promise<unknown>) => {
    task.catch(reportError);
  };

  const configuration = createConfigurationInForce({
    ...options,
    onApplied: ({limits}) => {
      callers.keepAliveTimeout = limits.idleTimeoutMs;
      callers.headersTimeout = limits.headerTimeoutMs;
      viewChanges.notify();
    },
  });

  const observeChange = (change: StoredChange) => {
    const step = applyChange(view, change);
    if (step.problem) {
      const {key} = change;
      log(SIDECAR_EVENTS.objectMalformed, {key, message: step.problem});
    }
    if (step.view === view) return;
    const hasNewMap = step.view.maps !== view.maps;
    view = step.view;
    fleetQuarantine.applyView(view);
    viewChanges.notify();
    if (hasNewMap) instanceManager.reconcile();
  };

  const isKeyed = (service: string) =>
    configuration.current()?.services.get(service)?.keyed === true;

  const leaseMs = Math.min(MAX_LEASE_MS, settings.holdLimitS * MS_PER_SECOND);
  /**
   * Reads a map through up to two other daemons in turn, beginning with a
   * random one.
   */
  const readThroughPeer = async (service: string) => {
    const others = [...view.members.keys()].filter(other => other !== node);
    const start = Math.floor(Math.random() * others.length);
    for (const offset of [0, 1].slice(0, others.length)) {
      const peer = others[(start + offset) % others.length];
      const path = MAP_PATH + encodeURIComponent(service);
      const object = await fetchFromPeer<StoredObject>(
        peer,
        path,
        PEER_READ_TIMEOUT_MS,
      );
      if (object) return object;
    }
    return undefined;
  };
  const access = {
    store,
    view: () => view,
    observeChange,
    log,
    clock,
    node,
    leaseMs,
    readThroughPeer,
  };

  const slotsOf = (count: number) =>
    slotGate.wrap(
      createSlots({
        slots: count,
        clock,
        onChange: ({slots: all, running}) =>
          slotMeter.recordOccupancy(all, running.length),
      }),
    );
  let slots = slotsOf(1);
  const transfers = createTransfers({clock});
  const ownLoad = () => loadOf(slots, transfers, meter.meanMs(), clock());

  const pools = createPools({
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    keepAliveMs: INSTANCE_IDLE_TIMEOUT_MS,
  });
  const callPools = createPools({
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    keepAliveMs: INSTANCE_IDLE_TIMEOUT_MS,
  });
  const callConnections: CallConnections = {
    shared: address => callPools.get(address, CALL_CONNECTIONS),
    open: callPools.open,
  };

  const responses = createOpenResponses({
    clock,
    dialect,
    log,
    load: ownLoad,
    reportError,
  });

  const instanceManager: InstanceManager = createInstanceManager({
    ...access,
    wallClock: Date.now,
    domain,
    get service() {
      return settings.service;
    },
    get instance() {
      return settings.instance;
    },
    isKeyed,
    get heartbeatMs() {
      return settings.heartbeatS * MS_PER_SECOND;
    },
    get drainMs() {
      return settings.drainS * MS_PER_SECOND;
    },
    onInstanceStart: count => {
      const earlier = instanceManager.local();
      if (earlier) instanceRuns.recordEnd(earlier);
      statements.begin();
      slots = slotsOf(count);
      slotMeter.recordOccupancy(count, 0);
      meter.reset();
      runTimes.reset();
    },
    onStatement: (life, answer) => statements.record(life, answer),
    createDelivery: context =>
      settings.grants === 'call'
        ? createCallDelivery(context, options.instanceCalls(callConnections))
        : createHeartbeatDelivery(context),
  });

  const instanceRuns = createInstanceRuns<InstanceRun, InFlight>({
    clock,
    describe: describeRun,
    onEnd: ({id, born}, requests) => {
      const local = instanceManager.local();
      if (!local || local.isClosed || requests.length === 0) return;
      const end = endOf({id, born}, local.service, requests);
      logInstanceEnd(log, end);
      quarantine.recordEnd(end);
    },
    onUnanswered: life => {
      const local = instanceManager.local();
      if (!local || local.id !== life.id || local.born !== life.born) return;
      endCheck.request(local.address, () => instanceRuns.recordEnd(life));
    },
  });
  const endCheck = createEndCheck(clock);
  const fleetQuarantine = createFleetQuarantine({
    ...access,
    poolOf: peer => peerPools.get(parseAddress(peer), PEER_CONNECTIONS),
    runInBackground,
  });
  const {quarantine} = fleetQuarantine;

  const statements = createInstanceStatements({
    clock,
    incarnation: instanceManager.incarnation,
    onLimitChange: perSecond => slots.setRateLimit(perSecond),
    onLeaving: () => instanceManager.handleLeavingStatement(),
    log,
  });

  const {
    probe: probeStatus,
    recordAnswer,
    recordConnection,
    stateOf: peerState,
  } = createFailureDetector<InstanceStatus>(node);
  const planner = createPlanner({
    ...access,
    probe: probeStatus,
    probeThrough: (via, peer) =>
      fetchFromPeer<InstanceStatus>(
        via,
        PEER_STATUS_PATH + peer,
        PROBE_THROUGH_TIMEOUT_MS,
      ),
    peerState: peerState,
  });

  const loads = createPeerLoads({
    clock,
    wallClock: Date.now,
    probe: peer => probeStatus(peer, view.members.keys()),
    stateOf: peerState,
    recordAnswer,
    isMember: peer => view.members.has(peer),
    signal: controller.signal,
    runInBackground,
  });

  const onConnect = (address: Address) =>
    recordConnection(formatAddress(address));
  const peerPools = createPools({
    connectTimeoutMs: PEER_CONNECT_TIMEOUT_MS,
    keepAliveMs: PEER_IDLE_TIMEOUT_MS / 2,
    onConnect,
  });
  const channels = createChannels({
    connectTimeoutMs: PEER_CONNECT_TIMEOUT_MS,
    idleTimeoutMs: PEER_IDLE_TIMEOUT_MS / 2,
    clock,
    fallback: address => peerPools.get(address, PEER_CONNECTIONS),
    onSilent: address =>
      log(SIDECAR_EVENTS.channelSilent, {peer: formatAddress(address)}),
    onConnect,
    onReceive: address => recordAnswer(formatAddress(address)),
  });
  const answerLengths = createAnswerLengths();

  const budgetOf = (service: string) => {
    const share = settings.retryShare * RETRY_SHARE_FRACTION;
    return (
      budgets.get(service) ?? createRetryBudget({share, reserve: RETRY_RESERVE})
    );
  };

  const budgetAfterRetry = (service: string, canCallerRetry: boolean) =>
    spendRetry(budgetOf(service), canCallerRetry ? RETRIES_KEPT_BACK : 0);

  const context: IngressContext = {
    clock,
    intake: createIntake(
      clock,
      setImmediate,
      () => performance.eventLoopUtilization().idle,
    ),
    dialect,
    node,
    domain,
    local: instanceManager.local,
    isKeyed,
    holdsKey: instanceManager.holds,
    awaitsKey: instanceManager.mayBeGranted,
    keyDenied: instanceManager.recordNotHeld,
    heldKeysChanged: () =>
      Promise.race([instanceManager.nextChange(), viewChanges.nextChange()]),
    slots: () => slots,
    slotMeter,
    pools,
    instanceRuns,
    quarantine,
    requestCompleted: (_, timeMs) => meter.recordDuration(timeMs),
    runEnded: ({route}, timeMs) => runTimes.record(route, timeMs),
    keyRequested: meter.recordRequest,
    statementReceived: statements.record,
    log,
    callerService: () => settings.service,
    configuration: configuration.current,
    view: () => view,
    viewChanged: viewChanges.nextChange,
    service: route => {
      const step = chooseService(route, splits.get(route.name));
      splits.set(route.name, step.state);
      return step.service;
    },
    loopDelayMs: () => loopDelayMs,
    loads: peer => {
      const known = loads.of(peer);
      if (peer !== node) return known;
      return applyLoadEvent(known, {kind: 'reported', ...ownLoad()}, clock());
    },
    observeLoad: loads.observe,
    recordAnswer,
    observeClock: loads.observeClock,
    durations: createRouteDurations(clock),
    clockAheadMs: loads.clockAheadMs,
    peerPools,
    peerTransport: (peer, work) => {
      const address = parseAddress(peer);
      const isShort =
        lengthOf(work.body) <= MAX_CHANNEL_BYTES &&
        answerLengths.mean(work.route) <= MAX_CHANNEL_BYTES;
      return isShort
        ? channels.to(address)
        : peerPools.get(address, PEER_CONNECTIONS);
    },
    callerRetries: createCallerRetries(),
    instanceNotices: createInstanceNotices(() =>
      openDrainMs(settings.drainS * MS_PER_SECOND),
    ),
    holderRefusals: createHolderRefusals(),
    answerLengths,
    overloadRefusals: createOverloadRefusals(),
    retryAllowed: (service, canCallerRetry) => {
      const left = budgetAfterRetry(service, canCallerRetry);
      if (left) budgets.set(service, left);
      return left !== undefined;
    },
    hasRetry: (service, canCallerRetry) =>
      budgetAfterRetry(service, canCallerRetry) !== undefined,
    countRequest: service => {
      budgets.set(service, countForwarded(budgetOf(service)));
    },
    probe: loads.probe,
    peerStatus: peerState,
    requestEnded: request => {
      const {service, route, outcome, reason, isInTime} = request;
      const failure = outcome === 'answered' ? undefined : reason || outcome;
      if (route) resultMeter.record(service, route, isInTime, failure);
      options.onRequestEnd?.(request);
    },
  };
  const peersContext = {
    ...context,
    load: ownLoad,
    rateLimitReported: statements.recordForwardedLimit,
    transfers,
    bodyBytes: () => configuration.current()?.limits.bodyBytes ?? Infinity,
  };

  const instanceStatus = (): InstanceStatus | undefined => {
    const life = instanceManager.incarnation();
    if (!life) return undefined;
    const count = slots.state().slots;
    const capacityBySlots =
      (count * MS_PER_SECOND) / Math.max(1, meter.meanMs());
    const capacityByLimit = slots.state().allowance?.perSecond ?? Infinity;
    const capacity = Math.min(capacityBySlots, capacityByLimit);
    const {id, born} = life;
    return {
      id,
      born,
      silent: instanceManager.isSilent(),
      capacity,
      isAssumed: !meter.isMeasured(),
      heat: meter.heat(),
      holdLeftMs: instanceManager.leaseLeftMs(),
    };
  };

  const answerMapRequest = async (name: string, response: ServerResponse) => {
    try {
      const service = decodeURIComponent(name);
      const object = await readMapFromStore(access, service);
      response.end(JSON.stringify(object));
    } catch (error) {
      const {message} = error as Error;
      log(SIDECAR_EVENTS.mapReadFailed, {message});
      response.writeHead(error instanceof URIError ? 400 : 503).end();
    }
  };

  const answerProbe = async (peer: string, response: ServerResponse) => {
    const isMember = view.members.has(peer);
    const status = isMember ? await probeStatus(peer) : undefined;
    if (!status) response.writeHead(503);
    response.end(status && JSON.stringify(status));
  };

  const answerMemberRequest = (peer: string, response: ServerResponse) => {
    const known = view.members.get(peer)?.value;
    if (!known) response.writeHead(404);
    response.end(known && JSON.stringify(known));
  };

  const handleQuarantine = createQuarantineHandler(fleetQuarantine, log);

  const callers: Server = createHttpServer(
    responses.track(
      (request: IncomingMessage, response: ServerResponse) =>
        handleCaller(context, request, response),
      {
        leftMs: ({rawHeaders}) =>
          dialect.readRequest(rawHeaders).deadlineMs ?? Infinity,
        whenRefusable: afterBody,
      },
    ),
    DEFAULT_HEADER_TIMEOUT_MS,
    PEER_IDLE_TIMEOUT_MS,
    log,
  );
  const handlePeer = responses.track(
    (request: ReceivedRequest, response: ResponseWriter) =>
      handleForwarded(peersContext, request, response),
    {
      // A request without a hop header is refused by the handler at once.
      leftMs: ({headers}) => parseHop(headers[HOP_HEADER])?.leftMs ?? 0,
      // Other daemons read responses before they have sent the body.
      whenRefusable: (_, call) => call(),
    },
  );
  const peers = createHttpServer(
    (request, response) => {
      const isHop = request.headers[HOP_HEADER] !== undefined;
      if (!isHop && request.url === STATUS_PATH) {
        response.end(
          JSON.stringify(instanceStatus() ?? {id: '', born: 0, heat: []}),
        );
        return;
      }
      if (!isHop && request.url?.startsWith(PEER_STATUS_PATH)) {
        const peer = request.url.slice(PEER_STATUS_PATH.length);
        runInBackground(answerProbe(peer, response));
        return;
      }
      if (!isHop && request.url?.startsWith(QUARANTINE_PATH)) {
        runInBackground(handleQuarantine(request, response));
        return;
      }
      if (!isHop && request.url?.startsWith(MEMBER_PATH)) {
        const peer = request.url.slice(MEMBER_PATH.length);
        answerMemberRequest(peer, response);
        return;
      }
      if (!isHop && request.url?.startsWith(MAP_PATH)) {
        const name = request.url.slice(MAP_PATH.length);
        runInBackground(answerMapRequest(name, response));
        return;
      }
      handlePeer(request, response);
    },
    DEFAULT_HEADER_TIMEOUT_MS,
    PEER_IDLE_TIMEOUT_MS,
    log,
  );

  const peerChannels = serveChannels(peers, {
    handle: handlePeer,
    idleTimeoutMs: PEER_IDLE_TIMEOUT_MS,
    onProtocolError: (message, peer) =>
      log(SIDECAR_EVENTS.channelBroken, {peer, message}),
  });

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
        if (!reached)
          log(SIDECAR_EVENTS.storeUnreachable, {watch: name, reason});
        else if (wasKnown) log(SIDECAR_EVENTS.storeReachable, {watch: name});
      },
    };
  };

  const repeat = (wait: () => Promise<void>, run: () => Promise<void>) => {
    const loop = async () => {
      while (!controller.signal.aborted) {
        await wait();
        await run().catch(reportError);
      }
    };
    void loop();
  };

  /** Waits for the tick interval and measures the event loop delay. */
  const waitForTick = async () => {
    const dueAt = clock() + INSTANCE_TICK_INTERVAL_MS;
    await sleep(INSTANCE_TICK_INTERVAL_MS);
    loopDelayMs = clock() - dueAt;
    if (loopDelayMs < LOOP_DELAY_LOG_THRESHOLD_MS) return;
    const delayMs = Math.round(loopDelayMs);
    log(SIDECAR_EVENTS.loopDelayed, {delayMs, open: responses.count()});
  };

  const logUsage = () => {
    const usage = slotMeter.take();
    options.onSlotUsage?.(usage);
    const {service} = instanceManager.local() ?? {service: settings.service};
    if (needsReport(usage)) {
      log(RELAY_EVENTS.slotsUsed, {service, ...usageFields(usage)});
    }
    for (const results of resultMeter.take()) {
      if (results.late === 0 && results.failed.size === 0) continue;
      log(RELAY_EVENTS.routeResults, resultFields(results));
    }
  };

  /** Applies later states of the local instance that other daemons know. */
  const recallDeparture = async () => {
    if (!view.members.has(node)) return;
    const random = Math.random;
    const found = await recallMember({node, view: () => view, random});
    const before = view;
    view = found.reduce(applyKnownMember, view);
    if (view === before) return;
    const {id, state} = view.members.get(node)?.value ?? {};
    log(SIDECAR_EVENTS.departureRecalled, {id, state});
  };

  /** Returns whether requests wait for a change, or keys of the local instance move. */
  const isChangeAwaited = () =>
    viewChanges.isAwaited() || instanceManager.hasKeysInTransit();

  const followFleet = () => {
    const listener = followerOf(
      'fleet',
      listing => {
        const era = eraOf(listing.revision);
        if (isFleetListed && era !== storeEra) {
          log(SIDECAR_EVENTS.storeRestored, {era, before: storeEra});
          options.onStoreRestored?.();
        }
        storeEra = era;
        const step = applyListing(view, listing);
        view = step.view;
        isFleetListed = true;
        fleetQuarantine.applyView(view);
        for (const message of step.problems) {
          log(SIDECAR_EVENTS.objectMalformed, {message});
        }
        viewChanges.notify();
        recall ??=
          era > FIRST_ERA
            ? recallDeparture().catch(reportError)
            : Promise.resolve();
        const resumed = recall.then(() => {
          instanceManager.resume();
          viewChanges.notify();
        });
        runInBackground(resumed);
      },
      observeChange,
    );
    return watchPrefix(
      store,
      FLEET_PREFIX,
      {...listener, isAwaited: isChangeAwaited},
      controller.signal,
    );
  };

  const followConfiguration = () =>
    watchPrefix(
      store,
      options.configurationKey.replace(/[^/]*$/, ''),
      followerOf(
        'configuration',
        ({objects}) => objects.forEach(configuration.apply),
        configuration.apply,
      ),
      controller.signal,
    );

  return {
    instanceManager,
    isReady: () =>
      configuration.current() !== undefined &&
      isFleetListed &&
      shutdownPlan === undefined,
    reload: changed => {
      settings = changed;
    },
    updateGauges: metrics => {
      const {version = 0} = configuration.current() ?? {};
      metrics.gauge(SIDECAR_METRICS.configurationVersion, {})(version);
      metrics.gauge(
        SIDECAR_METRICS.unreadableValues,
        {},
      )(configuration.unreadableValueCount());
      const refused = configuration.isNewestRejected() ? 1 : 0;
      metrics.gauge(SIDECAR_METRICS.configurationRefused, {})(refused);
      metrics.gauge(SIDECAR_METRICS.storeEra, {})(storeEra);
      const recovering = [...view.maps.values()].filter(
        ({value}) => value.isRecovering,
      ).length;
      metrics.gauge(SIDECAR_METRICS.recoveringMaps, {})(recovering);
      const {running, waiting} = slots.state();
      const busy = running.length + waiting.length;
      metrics.gauge(SIDECAR_METRICS.instanceBusy, {})(busy);
      const limit = statements.limit() ?? -1;
      metrics.gauge(SIDECAR_METRICS.instanceLimit, {})(limit);
      const quarantined = quarantine.quarantined().length;
      metrics.gauge(SIDECAR_METRICS.quarantinedRequests, {})(quarantined);
      const atIntake = context.intake.queueLength();
      metrics.gauge(SIDECAR_METRICS.intakeWaiting, {})(atIntake);
      const delayS = loopDelayMs / MS_PER_SECOND;
      metrics.gauge(SIDECAR_METRICS.loopDelay, {})(delayS);
    },
    start: async () => {
      await listenAt(peers, settings.peers, PEER_BACKLOG);
      await listenAt(callers, settings.callers, CALLER_BACKLOG);
      runInBackground(followFleet());
      runInBackground(followConfiguration());
      repeat(waitForTick, () => instanceManager.tick(loopDelayMs));
      repeat(() => sleep(INSTANCE_TICK_INTERVAL_MS), fleetQuarantine.tick);
      repeat(
        () => sleep(USAGE_INTERVAL_MS),
        async () => logUsage(),
      );
      repeat(
        () => sleep(PLANNER_INTERVAL_MS),
        async () => {
          const service = instanceManager.local()?.service;
          if (isFleetListed && service && isKeyed(service))
            await planner.tick(service);
        },
      );
      const {callers: address, service} = settings;
      log(SIDECAR_EVENTS.started, {address, service, peers: node});
    },
    shutDown: async () => {
      const startedAt = clock();
      const plan = planShutdown(startedAt, settings.graceS * MS_PER_SECOND);
      shutdownPlan = plan;
      responses.beginShutdown(plan);
      const isTooLate = (claim: Claim) =>
        !mayStartBeforeShutdown(plan, claim, runTimes, clock());
      slotGate.refuseFromNow(isTooLate);
      instanceManager.announceShutdown();
      log(SIDECAR_EVENTS.stopping, {open: responses.count()});
      for (;;) {
        await sleep(SHUTDOWN_IDLE_MS / 4);
        const now = clock();
        // The next process learns from the store that the instance leaves.
        const isDone =
          responses.count() === 0 && instanceManager.isLeavingRecorded();
        const isQuiet = isDone && responses.idleMs() >= SHUTDOWN_IDLE_MS;
        if (isQuiet && now >= startedAt + READINESS_PROPAGATION_MS) break;
        if (now >= plan.closeConnectionsFrom) responses.closeConnections();
        slotGate.refuseFromNow(isTooLate);
        if (now < plan.refuseWaitingFrom) continue;
        if (now >= plan.endsAt || isDone) break;
      }
      log(SIDECAR_EVENTS.stopped, {open: responses.count()});
      if (responses.count() > 0) {
        responses.interrupt();
        await sleep(FINAL_FLUSH_MS);
      }
      controller.abort();
      await Promise.race([peerChannels.close(), sleep(CHANNEL_CLOSE_MS)]);
      for (const server of [callers, peers]) {
        server.close();
        server.closeAllConnections();
      }
      runInBackground(pools.close());
      runInBackground(callPools.close());
      runInBackground(peerPools.close());
      channels.close();
    },
  };
}
