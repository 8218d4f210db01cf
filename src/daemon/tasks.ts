import {leaseOf, sameAddress} from '../model/index.js';
import type {Address} from '../model/index.js';
import {hasLeaseEnded} from '../ownership/index.js';
import type {Load} from '../ownership/index.js';
import {follow} from '../peer/index.js';
import type {DatagramEndpoint} from '../peer/index.js';
import {createLoadReport, LOAD_REPORT_INTERVAL_MS} from './balancer.js';
import {HANDOVER_REVIEW_INTERVAL_MS} from './handover.js';
import {DAEMON_EVENTS} from './events.js';
import {runFeed} from './feed.js';
import {startCoordinator} from './coordinator.js';
import type {Parts} from './parts.js';

/** Starts what a daemon does beside its loop; the result stops it. */
export function startTasks(
  parts: Parts,
  datagrams: DatagramEndpoint,
): () => void {
  const {loop, configuration, reachability, objects, balancer} = parts;
  const controller = new AbortController();
  const stopCoordinator = startCoordinator({
    state: loop.state,
    configuration: configuration.current,
    platform: reachability.platform,
    objects,
    plannedMoves: balancer.plannedMoves,
    clock: parts.clock,
    log: parts.log,
  });
  const loadTimer = setInterval(
    () => reportLoads(parts, datagrams),
    LOAD_REPORT_INTERVAL_MS,
  );
  const handoverTimer = setInterval(
    () => reviewHandover(parts, datagrams),
    HANDOVER_REVIEW_INTERVAL_MS,
  );
  void startFeed(parts, controller.signal);
  return () => {
    controller.abort();
    stopCoordinator();
    clearInterval(loadTimer);
    clearInterval(handoverTimer);
  };
}

function reportLoads(parts: Parts, datagrams: DatagramEndpoint): void {
  const {loop, view, self, balancer} = parts;
  const report = createLoadReport(loop.state(), view.takeLoads());
  if (!report) return;
  const send = (to: Address, load: Load) =>
    sameAddress(to, self.peers)
      ? balancer.recordLoads(load)
      : datagrams.send(to, load);
  send(report.to, report.message);
}

/** Tells the others once the requests of earlier configurations have ended. */
function reviewHandover(parts: Parts, datagrams: DatagramEndpoint): void {
  const {handover, gateway, loop, self} = parts;
  const {view} = loop.state();
  const others = [...view.members.values()].filter(
    member =>
      member.instance !== self.instance &&
      !hasLeaseEnded(view, leaseOf(member)),
  );
  const settled = gateway.earlierInFlight() === 0;
  const otherInstances = others.map(member => member.instance);
  const message = handover.review(settled, otherInstances);
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
      objects.recordFeed(received);
      publisher.notify();
    },
    onSourceChange: source => {
      parts.feed.isDirect = source.kind === 'platform';
      parts.log(DAEMON_EVENTS.feedChanged, {source: source.kind});
    },
    random: () => Math.random(),
    signal,
  });
}
