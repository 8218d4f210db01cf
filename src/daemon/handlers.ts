import type {MirrorEntry} from '../membership/index.js';
import {formatAddress} from '../model/index.js';
import type {Configuration, Status} from '../model/index.js';
import {routableMembers, OWNERSHIP_EVENTS} from '../ownership/index.js';
import type {Envelope} from '../ownership/index.js';
import type {Upstream} from '../upstream/index.js';
import {DAEMON_EVENTS} from './events.js';
import {parseObject} from './parse.js';
import {applyLimits} from './servers.js';
import {statusOf} from './status.js';
import type {UpstreamChange} from './upstreamlink.js';
import type {Parts} from './parts.js';

/** Logs whether the platform is reachable and reports it to the loop. */
export function handlePlatformChange(parts: Parts, reachable: boolean): void {
  const {platformRecovered, platformLost} = DAEMON_EVENTS;
  const platform = formatAddress(parts.settings.platform);
  parts.log(reachable ? platformRecovered : platformLost, {platform});
  parts.inbox.dispatch({kind: 'platform', reachable});
}

/** Applies a new configuration to the parts that depend on it. */
export function handleConfigurationChange(
  parts: Parts,
  before: Configuration | undefined,
): void {
  const {configuration, servers, view, admission} = parts;
  const limits = configuration.current()?.limits;
  if (limits) {
    applyLimits(servers, limits);
    admission.applySettings(limits.queue, limits.retryShare);
  }
  parts.handover.configurationChanged(
    before,
    configuration.current(),
    configuration.version(),
  );
  dispatchUpstream(parts);
  view.notifyRouteChange();
}

/** Logs a change of the upstream and updates admission and the loop. */
export function handleUpstreamChange(
  parts: Parts,
  change: UpstreamChange,
): void {
  const kinds = {
    announced: DAEMON_EVENTS.upstreamAnnounced,
    leaving: DAEMON_EVENTS.upstreamLeaving,
    lost: DAEMON_EVENTS.upstreamLost,
    recovered: DAEMON_EVENTS.upstreamRecovered,
  };
  const service = parts.upstream.upstream()?.service;
  parts.log(kinds[change], {service});
  if (change === 'announced') parts.statements.begin();
  const hasStarted = change === 'announced' || change === 'recovered';
  if (hasStarted) parts.admission.recordRestart();
  dispatchUpstream(parts);
}

/**
 * Returns the local upstream if new requests may be sent to it, else undefined.
 * An unhealthy upstream is never returned. While the daemon drains or the
 * upstream is leaving, the upstream of an unkeyed service is returned only if
 * no other instance can serve it.
 */
export function usableUpstream(parts: Parts): Upstream | undefined {
  const {upstream, loop, configuration, self} = parts;
  const announced = upstream.upstream();
  if (!announced || !upstream.isHealthy()) return undefined;
  const state = loop.state();
  if (!state.isDraining && !upstream.isLeaving()) return announced;
  const isKeyed = configuration.service(announced.service)?.key !== undefined;
  const others = routableMembers(state, announced.service).filter(
    member => member.instance !== self.instance,
  );
  return isKeyed || others.length === 0 ? announced : undefined;
}

/**
 * Sets the admission slots to those of the local upstream and dispatches its
 * state to the loop. Does nothing if there is no upstream or its service is not
 * configured.
 */
export function dispatchUpstream(parts: Parts): void {
  const {upstream, configuration, admission, inbox} = parts;
  const announced = upstream.upstream();
  const service = announced && configuration.service(announced.service);
  if (!service) return;
  const {slots, connections} = announced;
  const {name, fencing} = service;
  const isHealthy = upstream.isHealthy();
  const isLeaving = upstream.isLeaving();
  admission.setSlots(slots);
  inbox.dispatch({
    kind: 'upstream',
    upstream: {
      service: name,
      slots,
      connections,
      fencing,
      isHealthy,
      isLeaving,
    },
  });
}

/** Passes a changed platform object to the part that handles its kind. */
export function handleObjectChange(parts: Parts, entry: MirrorEntry): void {
  const {inbox, view, configuration, log} = parts;
  const object = parseObject(entry);
  switch (object.kind) {
    case 'member':
      return inbox.dispatch({kind: 'member', member: object.member});
    case 'chunk':
      inbox.dispatch({kind: 'chunk', chunk: object.chunk});
      return view.notifyRouteChange();
    case 'configuration':
      return configuration.apply(object.accepted);
    case 'malformed': {
      const {message} = object;
      return log(DAEMON_EVENTS.objectMalformed, {key: entry.key, message});
    }
    case 'other':
  }
}

/** Passes a message from another daemon to the part that handles its kind. */
export function handleMessage(parts: Parts, envelope: Envelope): void {
  const {message} = envelope;
  if (message.kind === 'load') return parts.balancer.recordLoads(message);
  if (message.kind === 'settled') {
    return parts.handover.recordSettled(envelope.instance, message.version);
  }
  parts.inbox.dispatch({kind: 'message', envelope});
  if (message.kind === 'began') parts.view.notifyRouteChange();
}

/** Returns the status of the daemon. */
export function status(parts: Parts): Status {
  const {loop, configuration, gateway, upstream, clock} = parts;
  const runtime = {
    configurationVersion: configuration.version(),
    inFlight: gateway.inFlight(),
    upstreamHealthy: upstream.isHealthy(),
  };
  return statusOf(loop.state(), runtime, clock());
}

/** Starts draining: the daemon releases all its slices. */
export function startDrain(parts: Parts): void {
  parts.log(OWNERSHIP_EVENTS.draining);
  parts.inbox.dispatch({kind: 'drain'});
}
