import {
  EMPTY_VIEW,
  applyChange,
  memberKey,
  rangesKey,
  type FleetView,
  type StoredChange,
} from '../../src/fleet/index.js';
import {
  EMPTY_MAP,
  isSameIncarnation,
  restore,
  type RangeMap,
  type RangeTerm,
} from '../../src/ranges/index.js';
import type {PeerStatus} from '../../src/relay/index.js';
import {
  createPlanner,
  type InstanceStatus,
  type Planner,
} from '../../src/sidecar/index.js';
import {UnavailableError, type ObjectStore} from '../../src/store/index.js';

/** Duration of a lease in the simulated fleet. */
export const SIMULATED_LEASE_MS = 5000;

/** Interval between plans, and between heartbeats of instances. */
export const STEP_MS = 1000;

/** Time of failed probes after which a daemon is lost. */
const LOST_AFTER_MS = 2000;

/** Heartbeats in a row that may come too late; a lease outlasts them. */
const MAX_LATE_BEATS = 3;

/** A daemon with its instance in a simulated fleet. */
export interface SimulatedDaemon {
  readonly node: string;
  readonly service: string;
  readonly domain: string;
  /** The daemon and its instance run. */
  isUp: boolean;
  reachesStore: boolean;
}

/** What happened to the keys of the service in a simulated fleet. */
export interface Tally {
  /** Revocations of holders that run and reach the store. */
  wrongRevocations: number;
  /** Such holders whose terms were ended without their consent. */
  wrongTakes: number;
  /** Highest number of holders whose wrong revocations one write made. */
  mostAtOnce: number;
  /** Highest number of holders under a wrong revocation at a time. */
  mostWronglyRevoked: number;
  /** Writes of the map. */
  writes: number;
}

/** A fleet in virtual time, with the planners of its keyed service `stock`. */
export interface PlannerFleet {
  readonly daemons: readonly SimulatedDaemon[];
  readonly tally: Tally;
  readonly now: () => number;
  readonly map: () => RangeMap;
  /** Number of probes sent so far by the daemon at an index. */
  readonly probeCount: (index: number) => number;
  /** Sets which pairs of running daemons reach each other. */
  readonly setLinks: (reaches: (a: number, b: number) => boolean) => void;
  /** Lets a second pass: heartbeats of all instances, then plans. */
  readonly step: () => Promise<void>;
  /** Returns whether each key has a running holder that may be granted it. */
  readonly isServed: () => boolean;
}

/**
 * Creates a fleet whose keys are assigned. Unlike the failure detector, its
 * daemons take any other one for lost that has not answered for two seconds,
 * also if none has: planners cannot rely on a comparison.
 *
 * @param daemons Service and failure domain of each daemon.
 * @param random Returns a number from 0 to less than 1.
 *
 * @example
 * const fleet = await startPlannerFleet([['stock', 'a'], ['stock', 'b']], Math.random);
 */
export async function startPlannerFleet(
  daemons: readonly (readonly [service: string, domain: string])[],
  random: () => number,
): Promise<PlannerFleet> {
  const all: SimulatedDaemon[] = daemons.map(([service, domain], index) => ({
    node: `10.1.${(100 + index) >> 8}.${(100 + index) & 255}:7620`,
    service,
    domain,
    isUp: true,
    reachesStore: true,
  }));
  const indexOf = new Map(all.map(({node}, index) => [node, index]));
  const objects = new Map<string, StoredChange & {readonly value: string}>();
  let latestView: FleetView = EMPTY_VIEW;
  /** The last view of each daemon before it was cut off from the store. */
  const views: FleetView[] = all.map(() => EMPTY_VIEW);
  const answeredAt = all.map(() => all.map(() => 0));
  const probeCounts = all.map(() => 0);
  const lateBeats = all.map(() => 0);
  const renewedAt = all.map(() => 0);
  const tally: Tally = {
    wrongRevocations: 0,
    wrongTakes: 0,
    mostAtOnce: 0,
    mostWronglyRevoked: 0,
    writes: 0,
  };
  let reaches: (a: number, b: number) => boolean = () => true;
  let now = 0;
  let revision = 0;

  const daemonOf = ({holder}: RangeTerm) => all[indexOf.get(holder.node) ?? -1];
  const isLive = (term: RangeTerm) => {
    const {isUp, reachesStore} = daemonOf(term);
    return isUp && reachesStore;
  };
  const currentMap = (): RangeMap =>
    latestView.maps.get('stock')?.value ?? EMPTY_MAP;

  const viewOf = (index: number) => {
    if (all[index].reachesStore) views[index] = latestView;
    return views[index];
  };

  const namesOf = (terms: readonly RangeTerm[]) =>
    new Set(terms.map(({holder}) => holder.node));

  /** Counts what a change of the map does to holders that are live. */
  const recordChange = (before: RangeMap, after: RangeMap) => {
    const overlapping = (term: RangeTerm) =>
      after.terms.filter(({from, to}) => from <= term.to && to >= term.from);
    const revoked = before.terms.filter(
      term =>
        isLive(term) &&
        (term.state === 'held' || term.state === 'moving') &&
        overlapping(term).some(({state}) => state === 'revoked'),
    );
    const taken = before.terms.filter(
      term =>
        isLive(term) &&
        term.state === 'revoked' &&
        overlapping(term).some(
          other => !isSameIncarnation(other.holder, term.holder),
        ),
    );
    const holders = namesOf(revoked).size;
    tally.wrongRevocations += holders;
    tally.wrongTakes += namesOf(taken).size;
    tally.mostAtOnce = Math.max(tally.mostAtOnce, holders);
    const wronglyRevoked = after.terms.filter(
      term => term.state === 'revoked' && isLive(term),
    );
    tally.mostWronglyRevoked = Math.max(
      tally.mostWronglyRevoked,
      namesOf(wronglyRevoked).size,
    );
  };

  const write = (key: string, value: string) => {
    const before = currentMap();
    const object = {key, value, version: ++revision};
    objects.set(key, object);
    const {view, problem} = applyChange(latestView, object);
    if (problem) throw new Error(problem);
    latestView = view;
    if (key === rangesKey('stock')) {
      tally.writes += 1;
      recordChange(before, currentMap());
    }
    return revision;
  };

  const storeOf = (index: number): ObjectStore => {
    const check = () => {
      if (!all[index].reachesStore) throw new UnavailableError('cut off');
    };
    return {
      get: async key => {
        check();
        return objects.get(key);
      },
      list: async () => ({objects: [], revision}),
      put: async (key, value, expected) => {
        check();
        const current = objects.get(key);
        return (current?.version ?? 0) === expected
          ? {kind: 'stored', version: write(key, value)}
          : {kind: 'conflict', current};
      },
      delete: () => Promise.reject(new Error('not expected')),
      watch: async function* () {},
    };
  };

  const isAnswered = (from: number, to: number) =>
    from === to || (all[to].isUp && reaches(from, to));

  const statusOf = (index: number): InstanceStatus => {
    const id = `i-${all[index].node}`;
    const holdLeftMs = renewedAt[index] + SIMULATED_LEASE_MS - now;
    return {id, born: 1, silent: false, capacity: 80, heat: [], holdLeftMs};
  };

  const startPlanner = (index: number): Planner =>
    createPlanner({
      store: storeOf(index),
      view: () => viewOf(index),
      observeChange: () => {},
      log: () => {},
      readThroughPeer: () => Promise.resolve(undefined),
      node: all[index].node,
      clock: () => now,
      leaseMs: SIMULATED_LEASE_MS,
      probe: async node => {
        const peer = indexOf.get(node) ?? -1;
        probeCounts[index] += 1;
        if (!isAnswered(index, peer)) return undefined;
        answeredAt[index][peer] = now;
        return statusOf(peer);
      },
      probeThrough: async (via, node) => {
        const relay = indexOf.get(via) ?? -1;
        const peer = indexOf.get(node) ?? -1;
        const isReached = isAnswered(index, relay) && isAnswered(relay, peer);
        return isReached ? statusOf(peer) : undefined;
      },
      peerState: (node): PeerStatus => {
        const peer = indexOf.get(node) ?? -1;
        const quietMs = peer === index ? 0 : now - answeredAt[index][peer];
        const isFailing = quietMs >= STEP_MS;
        const liveness = isFailing ? 'unreachable' : 'alive';
        const failingMs = quietMs >= LOST_AFTER_MS ? quietMs : 0;
        return {liveness, quietMs, failingMs};
      },
    });
  const planners = all.map((_, index) => startPlanner(index));

  for (const {node, service, domain} of all) {
    const member = {
      node,
      domain,
      service,
      id: `i-${node}`,
      born: 1,
      slots: 4,
      state: 'ready',
      stopping: false,
    };
    write(memberKey(node), JSON.stringify(member));
  }

  const sendHeartbeat = ({node, isUp, reachesStore}: SimulatedDaemon) => {
    if (!isUp || !reachesStore) return;
    renewedAt[indexOf.get(node) ?? -1] = now;
    const map = currentMap();
    const restored = restore(map, {node, id: `i-${node}`, born: 1});
    if (restored !== map) write(rangesKey('stock'), JSON.stringify(restored));
  };

  const step = async () => {
    now += STEP_MS;
    all.forEach((_, index) => viewOf(index));
    for (const [index, daemon] of all.entries()) {
      const isLate = lateBeats[index] < MAX_LATE_BEATS && random() < 0.2;
      lateBeats[index] = isLate ? lateBeats[index] + 1 : 0;
      if (!isLate) sendHeartbeat(daemon);
    }
    const order = all
      .map((_, index) => ({index, at: random()}))
      .sort((a, b) => a.at - b.at);
    for (const {index} of order) {
      const {isUp, service} = all[index];
      if (isUp && service === 'stock') await planners[index].tick('stock');
    }
    // Daemons that are not members of the service are probed by its requests.
    for (const from of all.keys()) {
      for (const to of all.keys())
        if (isAnswered(from, to)) answeredAt[from][to] = now;
    }
  };

  while (currentMap().terms.length === 0) await step();
  return {
    daemons: all,
    tally,
    now: () => now,
    map: currentMap,
    probeCount: index => probeCounts[index],
    setLinks: links => {
      reaches = links;
    },
    step,
    isServed: () =>
      currentMap().terms.every(
        term =>
          (term.state === 'held' || term.state === 'moving') &&
          daemonOf(term).isUp,
      ),
  };
}
