import type {MirrorEntry} from '../membership/index.js';
import {formatAddress} from '../model/index.js';
import type {Configuration, Status} from '../model/index.js';
import {routableMembers, OWNERSHIP_EVENTS} from '../ownership/index.js';
import type {Envelope} from '../ownership/index.js';
import type {Upstream} from '../upstream/index.js';
import {DAEMON_EVENTS} from './events.js';
import {readObject} from './objects.js';
import {applyLimits} from './servers.js';
import {statusOf} from './status.js';
import type {UpstreamChange} from './upstreamlink.js';
import type {Parts} from './parts.js';

/** Tells the log and the decisions whether the platform answers. */
export function platformChanged(parts: Parts, reachable: boolean): void {
  const {platformRecovered, platformLost} = DAEMON_EVENTS;
  const platform = formatAddress(parts.settings.platform);
  parts.log(reachable ? platformRecovered : platformLost, {platform});
  parts.inbox.dispatch({kind: 'platform', reachable});
}

/** Puts another configuration in force in the parts that depend on it. */
export function configurationChanged(
  parts: Parts,
  before: Configuration | undefined,
): void {
  const {configuration, servers, view, admission} = parts;
  const limits = configuration.current()?.limits;
  if (limits) {
    applyLimits(servers, limits);
    admission.applySettings(limits.queue, limits.retryShare);
  }
  parts.handover.changed(
    before,
    configuration.current(),
    configuration.version(),
  );
  tellUpstream(parts);
  view.notify();
}

/** Tells the log, admission and the decisions what happened to the upstream. */
export function upstreamChanged(parts: Parts, change: UpstreamChange): void {
  const kinds = {
    announced: DAEMON_EVENTS.upstreamAnnounced,
    leaving: DAEMON_EVENTS.upstreamLeaving,
    lost: DAEMON_EVENTS.upstreamLost,
    recovered: DAEMON_EVENTS.upstreamRecovered,
  };
  const service = parts.upstream.upstream()?.service;
  parts.log(kinds[change], {service});
  if (change === 'announced') parts.statements.begin();
  const hasBegun = change === 'announced' || change === 'recovered';
  if (hasBegun) parts.admission.recordRestart();
  tellUpstream(parts);
}

/**
 * Returns the upstream for requests that come from now on. A daemon that is
 * leaving, or whose upstream is, runs no request that another instance can run.
 */
export function usableUpstream(parts: Parts): Upstream | undefined {
  const {upstream, loop, configuration, self} = parts;
  const announced = upstream.upstream();
  if (!announced || !upstream.healthy()) return undefined;
  const state = loop.state();
  if (!state.isDraining && !upstream.isLeaving()) return announced;
  const isKeyed = configuration.service(announced.service)?.key !== undefined;
  const others = routableMembers(state, announced.service).filter(
    member => member.instance !== self.instance,
  );
  return isKeyed || others.length === 0 ? announced : undefined;
}

/** Tells the decisions what the upstream beside the daemon is. */
export function tellUpstream(parts: Parts): void {
  const {upstream, configuration, admission, inbox} = parts;
  const announced = upstream.upstream();
  const service = announced && configuration.service(announced.service);
  if (!service) return;
  const {slots, connections} = announced;
  const {name, fencing} = service;
  const healthy = upstream.healthy();
  const isLeaving = upstream.isLeaving();
  admission.setSlots(slots);
  inbox.dispatch({
    kind: 'upstream',
    upstream: {
      service: name,
      slots,
      connections,
      fencing,
      isHealthy: healthy,
      isLeaving,
    },
  });
}

/** Hands a changed object of the platform to the part that it concerns. */
export function objectChanged(parts: Parts, entry: MirrorEntry): void {
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

/** Hands a message of another daemon to the part that it concerns. */
export function receive(parts: Parts, envelope: Envelope): void {
  const {message} = envelope;
  if (message.kind === 'load') return parts.balancer.receive(message);
  if (message.kind === 'settled') {
    return parts.handover.receive(envelope.instance, message.version);
  }
  parts.inbox.dispatch({kind: 'message', envelope});
  if (message.kind === 'began') parts.view.notify();
}

/** Returns what the daemon reports of itself. */
export function status(parts: Parts): Status {
  const {loop, configuration, gateway, upstream, clock} = parts;
  const facts = {
    configurationVersion: configuration.version(),
    inFlight: gateway.inFlight(),
    upstreamHealthy: upstream.healthy(),
  };
  return statusOf(loop.state(), facts, clock());
}

/** Starts to give all slices away. */
export function startDrain(parts: Parts): void {
  parts.log(OWNERSHIP_EVENTS.draining);
  parts.inbox.dispatch({kind: 'drain'});
}
