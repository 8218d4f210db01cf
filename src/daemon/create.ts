import {randomUUID} from 'node:crypto';
import {createAdmission} from '../admission/index.js';
import {
  createGateway,
  createSigner as createHopSigner,
} from '../gateway/index.js';
import {newState} from '../ownership/index.js';
import type {InstanceIdentity} from '../ownership/index.js';
import {createRpcHandler, createSigner} from '../peer/index.js';
import {
  withCallBudget,
  createStoreClient,
  PROCESS_CLOCK,
} from '../store/index.js';
import type {Settings} from '../settings/index.js';
import {createMetrics, METRICS} from '../telemetry/index.js';
import type {Log} from '../telemetry/index.js';
import {createStatementTracker} from '../upstream/index.js';
import {createBalancer} from './balancer.js';
import {createSiteConfiguration} from './configuration.js';
import type {ControlOptions} from './control.js';
import {createHandoverTracker} from './handover.js';
import {explainKey} from './explain.js';
import {createInbox} from './inbox.js';
import {createLoop} from './loop.js';
import {DAEMON_EVENTS} from './events.js';
import {DAEMON_METRICS} from './metrics.js';
import {createRequestView} from './requestview.js';
import type {RequestView} from './requestview.js';
import {createPublisher} from './publish.js';
import {trackReachability} from './reachability.js';
import {createServers} from './servers.js';
import type {DaemonTrace} from './trace.js';
import {createUpstreamLink} from './upstreamlink.js';
import {createObjectMirror} from './mirror.js';
import type {Parts} from './parts.js';
import {
  handleConfigurationChange,
  handleObjectChange,
  handlePlatformChange,
  startDrain,
  status,
  dispatchUpstream,
  handleUpstreamChange,
  usableUpstream,
} from './handlers.js';

/** Requests that wait before a configuration says how many may. */
const DEFAULT_QUEUE_LENGTH = 256;

/** Calls of the platform that a daemon makes at most, over time and at once. */
const PLATFORM_CALLS_PER_SECOND = 20;
const PLATFORM_CALL_BURST = 100;

const MS_PER_SECOND = 1_000;

/** Name that signatures of forwarded requests are bound to. */
const HOP_SIGNATURE_SCOPE = 'vanillaspool';

/**
 * Creates the parts of a daemon. Nothing is sent or opened yet, but that the
 * upstream's checks begin once it has announced itself.
 */
export function createParts(
  settings: Settings,
  log: Log,
  trace: DaemonTrace,
): Parts {
  const clock = () => performance.now();
  const self = identityOf(settings);
  const inbox = createInbox();
  const view: RequestView = createRequestView(() => loop.state(), clock);
  const loop = createLoop({
    initial: newState(self, settings.lease, clock(), Math.random()),
    inbox,
    clock,
    busySlices: view.busySlices,
  });
  const client = createStoreClient(settings.platform);
  const metrics = createMetrics();
  const reachability = trackReachability(
    withCallBudget(
      client,
      PLATFORM_CALLS_PER_SECOND,
      PLATFORM_CALL_BURST,
      PROCESS_CLOCK,
    ),
    reachable => handlePlatformChange(parts, reachable),
    (kind, result) =>
      metrics.counter(DAEMON_METRICS.platformCalls, {kind, result})(),
  );
  const configuration = createSiteConfiguration(settings.site, log, before =>
    handleConfigurationChange(parts, before),
  );
  const upstream = createUpstreamLink(change =>
    handleUpstreamChange(parts, change),
  );
  const admission = createAdmission({
    slots: 1,
    queue: DEFAULT_QUEUE_LENGTH,
    clock,
    log,
    metrics,
  });
  const statements = createStatementTracker({
    clock,
    onLimitChange: perSecond => {
      admission.setRateLimit(perSecond);
      const {rateLimitRemoved: rateLimitRemoved, rateLimitSet: rateLimitSet} =
        DAEMON_EVENTS;
      log(perSecond === undefined ? rateLimitRemoved : rateLimitSet, {
        perSecond,
      });
    },
    onLeaving: upstream.markLeaving,
    onInvalidValue: message => log(DAEMON_EVENTS.headerMalformed, {message}),
  });
  const signer = createSigner(settings.secrets);
  const objects = createObjectMirror(entry => handleObjectChange(parts, entry));
  const feed = {isDirect: false};
  const publisher = createPublisher(
    () => objects.mirror(),
    () => feed.isDirect && reachability.isReachable(),
  );
  const handover = createHandoverTracker(clock);
  const gateway = createGateway({
    configuration: configuration.current,
    ownership: view,
    self,
    admit: admission.admit,
    takeRetry: admission.takeRetry,
    upstream: () => usableUpstream(parts),
    signer: createHopSigner(
      HOP_SIGNATURE_SCOPE,
      settings.secrets.map(({key}) => key),
    ),
    clock,
    wallClock: () => Date.now(),
    random: () => Math.random(),
    log,
    trace: trace.trace,
    previousHandover: handover.previous,
    handoverChanged: () => handover.waitForEnd(),
    onFinished: (service, outcome, sender, timeMs) => {
      metrics.counter(METRICS.requests, {service, outcome})();
      const seconds = timeMs / MS_PER_SECOND;
      metrics.histogram(METRICS.requestSeconds, {service, sender})(seconds);
    },
    countForwarded: admission.countForwarded,
    onStatement: statements.record,
    onShed: (_service, retryAfterMs) => admission.recordShed(retryAfterMs),
  });
  const servers = createServers({
    gateway,
    handleRpc: createRpcHandler(publisher.publish, signer, () => Date.now()),
    control: createControlOptions(() => parts),
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
    statements,
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

function identityOf(settings: Settings): InstanceIdentity {
  const {instance, site, region, domain, callers, peers, control} = settings;
  const process = randomUUID();
  return {instance, process, site, region, domain, callers, peers, control};
}

function createControlOptions(parts: () => Parts): ControlOptions {
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
      dispatchUpstream(parts());
    },
    drain: () => startDrain(parts()),
  };
}
